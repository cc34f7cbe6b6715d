//! Buffer of a body that is being received.

use bytes::{Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Size of the segments of a large body in bytes. One buffer that doubles would be copied each time,
/// and the buffers that it leaves behind would fragment the memory of the process.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Received bytes of a body, in segments of equal size.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    full: Vec<BytesMut>,
    last: BytesMut,
}

impl BodyBuffer {
    pub(super) fn extend_from_slice(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.last.len() == SEGMENT_BYTES {
                let next = BytesMut::with_capacity(SEGMENT_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next));
            }
            let room = SEGMENT_BYTES - self.last.len();
            let (fitting, rest) = bytes.split_at(room.min(bytes.len()));
            self.reserve(fitting.len());
            self.last.extend_from_slice(fitting);
            bytes = rest;
        }
    }

    /// Makes room in the last segment for `count` bytes. `BytesMut` itself doubles its capacity
    /// without regard to [`SEGMENT_BYTES`].
    fn reserve(&mut self, count: usize) {
        let needed = self.last.len() + count;
        if needed <= self.last.capacity() {
            return;
        }
        let capacity = needed.max(2 * self.last.capacity()).min(SEGMENT_BYTES);
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.last);
        self.last = grown;
    }

    /// Returns the memory that the buffer takes, in bytes.
    pub(super) fn held_bytes(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.capacity()
    }

    /// Returns by how many bytes the memory grows at most if `count` bytes are added.
    pub(super) fn growth(&self, count: usize) -> usize {
        if count <= self.last.capacity() - self.last.len() {
            return 0;
        }
        let beyond = count.saturating_sub(SEGMENT_BYTES - self.last.len());
        SEGMENT_BYTES - self.last.capacity() + beyond.next_multiple_of(SEGMENT_BYTES)
    }

    /// Removes and returns the whole body. A body of one segment is not copied.
    pub(super) fn take(&mut self) -> Bytes {
        let last = std::mem::take(&mut self.last);
        if self.full.is_empty() {
            return last.freeze();
        }
        let length = self.full.len() * SEGMENT_BYTES + last.len();
        let mut whole = Vec::with_capacity(length);
        for segment in std::mem::take(&mut self.full) {
            whole.extend_from_slice(&segment);
        }
        whole.extend_from_slice(&last);
        whole.into()
    }
}
