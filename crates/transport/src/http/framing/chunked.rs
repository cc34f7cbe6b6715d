//! Incremental decoder of chunked bodies.

use super::Violation;
use super::body::BodyBuffer;

/// Limit on the bytes of a chunked body that are not data: chunk sizes, extensions and trailers.
/// [`OVERHEAD_PER_DATA_BYTE`] more are allowed for each byte of data.
const MAX_OVERHEAD_BYTES: u64 = 64 * 1024;

/// A chunk of one byte has 5 bytes beside its data, and 12 if its size is written with 8 digits. Only
/// the data is kept, so small chunks cost no memory.
const OVERHEAD_PER_DATA_BYTE: u64 = 16;

/// Maximum number of hexadecimal digits of a chunk size, which keeps arithmetic on sizes within 64
/// bits.
const MAX_SIZE_DIGITS: u32 = 15;

/// Decoder of one chunked body.
#[derive(Debug)]
pub(super) struct ChunkedDecoder {
    step: Step,
    remaining_data: u64,
    remaining_overhead: u64,
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

const INITIAL_STEP: Step = Step::Size { size: 0, digits: 0 };

impl ChunkedDecoder {
    pub(super) fn new(max_data_bytes: u64) -> Self {
        Self {
            step: INITIAL_STEP,
            remaining_data: max_data_bytes,
            remaining_overhead: MAX_OVERHEAD_BYTES,
        }
    }

    /// Decodes bytes up to the end of the body and appends the data to `body`. Returns how many
    /// bytes were consumed, and whether the body is complete. Trailers are validated and dropped.
    pub(super) fn push(
        &mut self,
        bytes: &[u8],
        body: &mut BodyBuffer,
    ) -> Result<(usize, bool), Violation> {
        let mut consumed = 0;
        while consumed < bytes.len() {
            if let Step::Data { remaining } = self.step {
                let count = remaining.min((bytes.len() - consumed) as u64);
                body.extend_from_slice(&bytes[consumed..consumed + count as usize]);
                consumed += count as usize;
                self.step = match remaining - count {
                    0 => Step::DataCr,
                    remaining => Step::Data { remaining },
                };
                continue;
            }
            self.step = self.next_step(bytes[consumed])?;
            consumed += 1;
            if matches!(self.step, Step::Done) {
                return Ok((consumed, true));
            }
        }
        Ok((consumed, false))
    }

    /// Returns the step that follows a byte outside the chunk data.
    fn next_step(&mut self, byte: u8) -> Result<Step, Violation> {
        self.remaining_overhead = self
            .remaining_overhead
            .checked_sub(1)
            .ok_or(Violation::BodyTooLarge)?;
        let step = match (self.step, byte) {
            (Step::Size { size, digits }, byte) => return next_size_step(size, digits, byte),
            (Step::Extension { size }, b'\r') => Step::SizeEnd { size },
            (Step::Extension { .. } | Step::Trailer, b'\n') => return Err(Violation::Malformed),
            (Step::Extension { size }, _) => Step::Extension { size },
            (Step::SizeEnd { size: 0 }, b'\n') => Step::TrailerStart,
            (Step::SizeEnd { size }, b'\n') => {
                let remaining = self.remaining_data.checked_sub(size);
                self.remaining_data = remaining.ok_or(Violation::BodyTooLarge)?;
                self.remaining_overhead += size.saturating_mul(OVERHEAD_PER_DATA_BYTE);
                Step::Data { remaining: size }
            }
            (Step::DataCr, b'\r') => Step::DataLf,
            (Step::DataLf, b'\n') => INITIAL_STEP,
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

/// Returns the step that follows a byte of a chunk size.
fn next_size_step(size: u64, digits: u32, byte: u8) -> Result<Step, Violation> {
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
