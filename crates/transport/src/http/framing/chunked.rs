//! Decoding of a chunked body.

use bytes::BytesMut;

use super::Violation;

/// Bytes of a chunked body that are not data: sizes, extensions and trailers. A body of 1 MiB in
/// chunks of 512 bytes has about 14 KiB of them.
const MAX_OVERHEAD_BYTES: u64 = 64 * 1024;

/// Most hexadecimal digits of a chunk size, so that it fits into 64 bits with room to add.
const MAX_SIZE_DIGITS: u32 = 15;

/// State of a chunked body that is being read.
#[derive(Debug)]
pub(super) struct Chunked {
    step: Step,
    data_left: u64,
    overhead_left: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Size { size: u64, digits: u32 },
    Extension { size: u64 },
    SizeEnd { size: u64 },
    Data { remaining: u64 },
    DataCr,
    DataLf,
    TrailerStart,
    Trailer,
    TrailerLf,
    EndLf,
    Done,
}

const FIRST: Step = Step::Size { size: 0, digits: 0 };

impl Chunked {
    pub(super) fn new(max_data: u64) -> Self {
        Self {
            step: FIRST,
            data_left: max_data,
            overhead_left: MAX_OVERHEAD_BYTES,
        }
    }

    /// Takes bytes up to the end of the body and appends the data among them to `body`. Returns how
    /// many bytes were taken, and whether the body ended.
    pub(super) fn push(
        &mut self,
        bytes: &[u8],
        body: &mut BytesMut,
    ) -> Result<(usize, bool), Violation> {
        let mut taken = 0;
        while taken < bytes.len() {
            if let Step::Data { remaining } = self.step {
                let count = remaining.min((bytes.len() - taken) as u64);
                body.extend_from_slice(&bytes[taken..taken + count as usize]);
                taken += count as usize;
                self.step = match remaining - count {
                    0 => Step::DataCr,
                    remaining => Step::Data { remaining },
                };
                continue;
            }
            self.step = self.next(bytes[taken])?;
            taken += 1;
            if matches!(self.step, Step::Done) {
                return Ok((taken, true));
            }
        }
        Ok((taken, false))
    }

    fn next(&mut self, byte: u8) -> Result<Step, Violation> {
        self.overhead_left = self
            .overhead_left
            .checked_sub(1)
            .ok_or(Violation::BodyTooLarge)?;
        let step = match (self.step, byte) {
            (Step::Size { size, digits }, byte) => return size_byte(size, digits, byte),
            (Step::Extension { size }, b'\r') => Step::SizeEnd { size },
            (Step::Extension { .. } | Step::Trailer, b'\n') => return Err(Violation::Malformed),
            (Step::Extension { size }, _) => Step::Extension { size },
            (Step::SizeEnd { size: 0 }, b'\n') => Step::TrailerStart,
            (Step::SizeEnd { size }, b'\n') => {
                let left = self.data_left.checked_sub(size);
                self.data_left = left.ok_or(Violation::BodyTooLarge)?;
                Step::Data { remaining: size }
            }
            (Step::DataCr, b'\r') => Step::DataLf,
            (Step::DataLf, b'\n') => FIRST,
            (Step::TrailerStart, b'\r') => Step::EndLf,
            (Step::TrailerStart, b'\n') => return Err(Violation::Malformed),
            (Step::TrailerStart, _) => Step::Trailer,
            (Step::Trailer, b'\r') => Step::TrailerLf,
            (Step::Trailer, _) => Step::Trailer,
            (Step::TrailerLf, b'\n') => Step::TrailerStart,
            (Step::EndLf, b'\n') => Step::Done,
            _ => return Err(Violation::Malformed),
        };
        Ok(step)
    }
}

fn size_byte(size: u64, digits: u32, byte: u8) -> Result<Step, Violation> {
    if let Some(digit) = char::from(byte).to_digit(16) {
        if digits == MAX_SIZE_DIGITS {
            return Err(Violation::Malformed);
        }
        return Ok(Step::Size {
            size: size * 16 + u64::from(digit),
            digits: digits + 1,
        });
    }
    match byte {
        _ if digits == 0 => Err(Violation::Malformed),
        b';' => Ok(Step::Extension { size }),
        b'\r' => Ok(Step::SizeEnd { size }),
        _ => Err(Violation::Malformed),
    }
}
