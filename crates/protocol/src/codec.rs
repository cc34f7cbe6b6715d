//! Encoding of messages as CBOR frames of bounded size.
//!
//! The decoder allocates at most a small multiple of the frame's length and limits the nesting
//! depth, so that arbitrary bytes from a peer exhaust neither memory nor the stack.

use std::fmt;
use std::io::{self, Write};

use serde::Serialize;
use serde::de::DeserializeOwned;

#[cfg(test)]
mod tests;

/// Maximum length of an encoded frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Maximum nesting depth that [`decode`] accepts.
const MAX_DEPTH: usize = 64;

/// Initial capacity of the buffer of [`encode`] in bytes. Most messages without a body fit into it.
const INITIAL_CAPACITY: usize = 512;

/// Result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Why a message cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The frame would exceed [`MAX_FRAME_BYTES`].
    TooLarge,
    /// The frame ends within the message.
    Truncated,
    /// The frame contains bytes after the message.
    TrailingBytes,
    /// The frame does not contain a message of the expected type, or the message cannot be encoded
    /// as CBOR.
    Malformed(String),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "frame exceeds {MAX_FRAME_BYTES} bytes"),
            Self::Truncated => f.write_str("frame ends within the message"),
            Self::TrailingBytes => f.write_str("frame has bytes after the message"),
            Self::Malformed(detail) => write!(f, "malformed message: {detail}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message into a frame.
///
/// # Errors
///
/// [`CodecError::TooLarge`] if the frame would exceed [`MAX_FRAME_BYTES`];
/// [`CodecError::Malformed`] if the message cannot be encoded as CBOR.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Result<Vec<u8>> {
    let mut writer = BoundedWriter {
        bytes: Vec::with_capacity(INITIAL_CAPACITY),
        exceeded: false,
    };
    let outcome = ciborium::into_writer(message, &mut writer);
    if writer.exceeded {
        return Err(CodecError::TooLarge);
    }
    match outcome {
        Ok(()) => Ok(writer.bytes),
        Err(error) => Err(CodecError::Malformed(error.to_string())),
    }
}

/// Decodes a frame that contains exactly one message.
///
/// # Errors
///
/// Fails if the frame exceeds [`MAX_FRAME_BYTES`], is truncated, is nested too deeply, has trailing
/// bytes or does not contain a valid `T`.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T> {
    if frame.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge);
    }
    let mut rest = frame;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH);
    let message = message.map_err(decode_error)?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes);
    }
    Ok(message)
}

fn decode_error(error: ciborium::de::Error<io::Error>) -> CodecError {
    match error {
        ciborium::de::Error::Io(_) => CodecError::Truncated,
        other => CodecError::Malformed(other.to_string()),
    }
}

/// A buffer that refuses to grow beyond [`MAX_FRAME_BYTES`].
struct BoundedWriter {
    bytes: Vec<u8>,
    /// Whether a write was refused.
    exceeded: bool,
}

impl Write for BoundedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.bytes.len() + buf.len() > MAX_FRAME_BYTES {
            self.exceeded = true;
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
