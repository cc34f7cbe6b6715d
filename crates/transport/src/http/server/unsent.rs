//! Responses of a connection that are not written yet.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{Method, Response, StatusCode};

use crate::http::headers::remove_hop_by_hop;

/// Bodies of at least this size in bytes are written from their own buffer. Smaller ones are copied
/// behind their heads, which saves system calls.
const MIN_SHARED_BODY: usize = 16 * 1024;

/// Largest buffer that is kept between responses, in bytes. Ordinary responses fit into it.
const KEPT_BYTES: usize = 4 * 1024;

/// Bytes to write, in order.
#[derive(Default)]
pub(super) struct Unsent {
    /// Bytes before those in `tail`.
    chunks: VecDeque<Bytes>,
    tail: BytesMut,
    /// Memory that `chunks` take, in bytes. A chunk takes it until all of it is written.
    chunk_bytes: usize,
    /// Bytes of the first chunk that are written.
    written: usize,
}

impl Unsent {
    pub(super) fn len(&self) -> usize {
        self.chunk_bytes - self.written + self.tail.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the bytes take.
    pub(super) fn held_bytes(&self) -> usize {
        match self.tail.capacity() {
            kept if kept <= KEPT_BYTES && self.is_empty() => 0,
            capacity => self.chunk_bytes + capacity,
        }
    }

    /// Returns the next bytes to write. They are empty only if there are none.
    pub(super) fn front(&self) -> &[u8] {
        match self.chunks.front() {
            Some(chunk) => chunk,
            None => &self.tail,
        }
    }

    /// Removes the next `count` bytes, which have been written.
    pub(super) fn advance(&mut self, count: usize) {
        let Some(chunk) = self.chunks.front_mut() else {
            self.tail.advance(count);
            if self.tail.is_empty() && self.tail.capacity() > KEPT_BYTES {
                self.tail = BytesMut::new();
            }
            return;
        };
        chunk.advance(count);
        self.written += count;
        if chunk.is_empty() {
            self.chunks.pop_front();
            self.chunk_bytes -= std::mem::take(&mut self.written);
        }
    }

    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
    }

    /// Appends a serialized response.
    pub(super) fn push_response(&mut self, response: Response<Bytes>, close: bool) {
        write_head(&mut self.tail, &response, close);
        let body = response.into_body();
        if body.len() < MIN_SHARED_BODY {
            self.tail.extend_from_slice(&body);
            return;
        }
        let head = std::mem::take(&mut self.tail).freeze();
        self.chunk_bytes += head.len() + body.len();
        self.chunks.extend([head, body]);
    }
}

/// Sets the framing headers of a response from its actual body, and removes hop-by-hop headers.
pub(super) fn apply_framing(response: Response<Bytes>, method: &Method) -> Response<Bytes> {
    let (mut parts, mut body) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    if parts.status.is_informational() {
        parts.status = StatusCode::BAD_GATEWAY;
        body = Bytes::new();
    }
    let is_bodiless = matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if is_bodiless || method == Method::HEAD {
        body = Bytes::new();
    }
    // In a response to HEAD and in a 304, `Content-Length` is the length of the omitted body.
    if method != Method::HEAD && parts.status != StatusCode::NOT_MODIFIED {
        parts.headers.remove(CONTENT_LENGTH);
        if !is_bodiless {
            parts.headers.insert(CONTENT_LENGTH, body.len().into());
        }
    }
    Response::from_parts(parts, body)
}

/// Appends the serialized head of a response to `buf`.
fn write_head(buf: &mut BytesMut, response: &Response<Bytes>, close: bool) {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("");
    let line = format!("HTTP/1.1 {} {reason}\r\n", status.as_str());
    buf.extend_from_slice(line.as_bytes());
    for (name, value) in response.headers() {
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    if close {
        buf.extend_from_slice(b"connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
}
