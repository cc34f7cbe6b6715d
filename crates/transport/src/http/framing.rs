//! Strict framing of HTTP/1 requests in a byte stream. This module does no I/O.
//!
//! HTTP libraries accept some ambiguous requests silently: hyper drops a `Content-Length` that
//! accompanies `Transfer-Encoding`, and both hyper and async-h1 accept lists of codings. A proxy
//! or upstream that interprets them differently finds other request boundaries, which allows
//! request smuggling. Heads are parsed by `httparse`, and ambiguous requests are rejected.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, EXPECT, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Uri, Version};

use self::body::BodyBuffer;
use self::chunked::ChunkedDecoder;

/// Memory that a parsed head takes, as a multiple of its bytes, and for each header beyond that.
const HEAD_FACTOR: usize = 2;
const HEADER_BYTES: usize = 96;

/// Largest buffer for heads that is kept between requests, in bytes. Ordinary heads fit into it.
const KEPT_HEAD_BYTES: usize = 4 * 1024;

mod body;
mod chunked;
#[cfg(test)]
mod tests;

/// Size limits of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct FramingLimits {
    pub(super) max_head_bytes: usize,
    pub(super) max_headers: usize,
    pub(super) max_body_bytes: u64,
}

/// Reason for rejecting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The head is malformed or its framing is ambiguous.
    Malformed,
    /// The request was not received within its time limit.
    TimedOut,
    /// The body exceeds its size limit, or a chunked body has too much overhead.
    BodyTooLarge,
    /// The head exceeds its limit on bytes or on the number of headers.
    HeadTooLarge,
    /// There is no memory left for the request, which is not complete.
    NoMemory,
}

impl Violation {
    /// Returns the HTTP status and its reason phrase.
    pub(super) fn status(self) -> (u16, &'static str) {
        match self {
            Self::Malformed => (400, "Bad Request"),
            Self::TimedOut => (408, "Request Timeout"),
            Self::BodyTooLarge => (413, "Content Too Large"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
            Self::NoMemory => (503, "Service Unavailable"),
        }
    }
}

/// Position in the stream after the last byte received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Position {
    BetweenRequests,
    InHead,
    InBody,
}

impl Position {
    /// Returns the timeout that applies to this position.
    pub(super) fn time_limit(self, idle: Duration, head: Duration, body: Duration) -> Duration {
        match self {
            Self::BetweenRequests => idle,
            Self::InHead => head,
            Self::InBody => body,
        }
    }
}

/// A request that was received completely.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) request: Request<Bytes>,
    /// Whether the HTTP version or the headers of the request require closing the connection after
    /// the response.
    pub(super) close_after: bool,
    /// Memory that the request takes, in bytes.
    pub(super) held_bytes: usize,
}

/// Incremental parser that splits a byte stream into requests.
#[derive(Debug)]
pub(super) struct RequestFraming {
    limits: FramingLimits,
    state: State,
    /// Bytes received of the current head.
    head: Vec<u8>,
    /// Offset in `head` at which the current line starts.
    line_start: usize,
    /// Parsed head of the request whose body is being received.
    parts: Option<Parts>,
    /// Memory that `parts` takes, in bytes.
    parts_bytes: usize,
    body: BodyBuffer,
    received: VecDeque<ReceivedRequest>,
    /// Memory that the requests in `received` take, in bytes.
    received_bytes: usize,
    completed: u64,
    /// Whether the caller sent `Expect: 100-continue` and waits before it sends the current body.
    expects_continue: bool,
}

#[derive(Debug)]
enum State {
    Head,
    Body { remaining: u64 },
    Chunked(ChunkedDecoder),
}

impl RequestFraming {
    pub(super) fn new(limits: FramingLimits) -> Self {
        Self {
            limits,
            state: State::Head,
            head: Vec::new(),
            line_start: 0,
            parts: None,
            parts_bytes: 0,
            body: BodyBuffer::default(),
            received: VecDeque::new(),
            received_bytes: 0,
            completed: 0,
            expects_continue: false,
        }
    }

    /// Returns the total number of requests received completely, including those already taken.
    pub(super) fn completed(&self) -> u64 {
        self.completed
    }

    /// Removes and returns the oldest complete request.
    pub(super) fn take_request(&mut self) -> Option<ReceivedRequest> {
        let request = self.received.pop_front()?;
        self.received_bytes -= request.held_bytes;
        Some(request)
    }

    /// Returns the memory that the complete requests take which have not been taken, in bytes.
    pub(super) fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Returns the memory that the incomplete request takes, in bytes.
    pub(super) fn partial_bytes(&self) -> usize {
        let head = match self.head.capacity() {
            kept if kept <= KEPT_HEAD_BYTES && self.head.is_empty() => 0,
            capacity => capacity,
        };
        head + self.parts_bytes + self.body.held_bytes()
    }

    /// Returns by how many bytes the buffer of the current body grows if `count` bytes of it
    /// arrive.
    pub(super) fn body_growth(&self, count: usize) -> usize {
        let count = match self.state {
            State::Head => 0,
            State::Body { remaining } => count.min(remaining as usize),
            State::Chunked(_) => count,
        };
        self.body.growth(count)
    }

    /// Returns the number of complete requests that have not been taken yet.
    pub(super) fn received_count(&self) -> usize {
        self.received.len()
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body, and clears the
    /// flag.
    pub(super) fn take_expectation(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    pub(super) fn position(&self) -> Position {
        match self.state {
            State::Head if self.head.is_empty() => Position::BetweenRequests,
            State::Head => Position::InHead,
            State::Body { .. } | State::Chunked(_) => Position::InBody,
        }
    }

    /// Processes the next bytes of the stream. Returns how many bytes were accepted and may
    /// be passed on, and the violation that ends the stream after them, if any.
    pub(super) fn push(&mut self, bytes: &[u8]) -> (usize, Option<Violation>) {
        let mut accepted = 0;
        while accepted < bytes.len() {
            match self.push_part(&bytes[accepted..]) {
                Ok(count) => accepted += count,
                Err(violation) => return (accepted, Some(violation)),
            }
        }
        (accepted, None)
    }

    /// Processes bytes up to the end of the current head or body and returns how many were
    /// consumed.
    fn push_part(&mut self, bytes: &[u8]) -> Result<usize, Violation> {
        match &mut self.state {
            State::Head => self.push_head(bytes),
            State::Body { remaining } => {
                let count = (*remaining).min(bytes.len() as u64);
                *remaining -= count;
                let is_whole = *remaining == 0;
                self.body.extend_from_slice(&bytes[..count as usize]);
                if is_whole {
                    self.finish_request();
                }
                Ok(count as usize)
            }
            State::Chunked(decoder) => {
                let (count, done) = decoder.push(bytes, &mut self.body)?;
                if done {
                    self.finish_request();
                }
                Ok(count)
            }
        }
    }

    fn push_head(&mut self, bytes: &[u8]) -> Result<usize, Violation> {
        let mut consumed = 0;
        while let Some(offset) = bytes[consumed..].iter().position(|byte| *byte == b'\n') {
            self.head
                .extend_from_slice(&bytes[consumed..=consumed + offset]);
            consumed += offset + 1;
            self.check_head_size()?;
            let line = &self.head[self.line_start..];
            // Some HTTP implementations accept a bare line feed and others don't, so it is
            // ambiguous.
            if !line.ends_with(b"\r\n") {
                return Err(Violation::Malformed);
            }
            let is_empty = line.len() == 2;
            if !is_empty {
                self.line_start = self.head.len();
                continue;
            }
            if self.line_start > 0 {
                self.finish_head()?;
                return Ok(consumed);
            }
            // An empty line before the request line is skipped, as RFC 9112 recommends.
            self.head.clear();
        }
        self.head.extend_from_slice(&bytes[consumed..]);
        self.check_head_size()?;
        Ok(bytes.len())
    }

    fn check_head_size(&self) -> Result<(), Violation> {
        if self.head.len() > self.limits.max_head_bytes {
            return Err(Violation::HeadTooLarge);
        }
        Ok(())
    }

    fn finish_head(&mut self) -> Result<(), Violation> {
        let (parts, state) = parse_head(&self.head, &self.limits)?;
        self.state = state;
        self.parts_bytes = self.head.len() * HEAD_FACTOR + parts.headers.len() * HEADER_BYTES;
        if self.head.capacity() > KEPT_HEAD_BYTES {
            self.head = Vec::new();
        }
        self.head.clear();
        self.line_start = 0;
        let has_body = !matches!(self.state, State::Head);
        let expectation = parts.headers.get(EXPECT);
        self.expects_continue = has_body
            && expectation.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue"));
        self.parts = Some(parts);
        if !has_body {
            self.finish_request();
        }
        Ok(())
    }

    fn finish_request(&mut self) {
        self.state = State::Head;
        self.expects_continue = false;
        let body = self.body.take();
        let held_bytes = std::mem::take(&mut self.parts_bytes) + body.len();
        let Some(parts) = self.parts.take() else {
            return;
        };
        self.completed += 1;
        self.received.push_back(ReceivedRequest {
            close_after: closes_connection(&parts),
            request: Request::from_parts(parts, body),
            held_bytes,
        });
        self.received_bytes += held_bytes;
    }
}

/// Returns whether the connection must be closed after this request: on `Connection: close`, and
/// for HTTP/1.0, where keep-alive is not supported.
fn closes_connection(parts: &Parts) -> bool {
    let mut tokens = parts
        .headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    parts.version != Version::HTTP_11
        || tokens.any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Parses and validates a complete head. Returns its parts and the state in which the body starts.
fn parse_head(head: &[u8], limits: &FramingLimits) -> Result<(Parts, State), Violation> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Violation::HeadTooLarge),
        _ => return Err(Violation::Malformed),
    }
    if request.method == Some("CONNECT") {
        return Err(Violation::Malformed);
    }
    let is_http_11 = request.version == Some(1);
    let length = content_length(request.headers)?;
    let chunked = is_chunked(request.headers)?;
    let hosts = header_values(request.headers, "host").count();
    if hosts > 1 || (is_http_11 && hosts == 0) {
        return Err(Violation::Malformed);
    }
    let state = match (length, chunked) {
        (Some(_), true) => return Err(Violation::Malformed),
        (None, true) if !is_http_11 => return Err(Violation::Malformed),
        (None, true) => State::Chunked(ChunkedDecoder::new(limits.max_body_bytes)),
        (Some(length), false) if length > limits.max_body_bytes => {
            return Err(Violation::BodyTooLarge);
        }
        (Some(remaining), false) if remaining > 0 => State::Body { remaining },
        _ => State::Head,
    };
    let parts = convert_head(&request).ok_or(Violation::Malformed)?;
    Ok((parts, state))
}

/// Converts a parsed head to the types of the `http` crate. Returns `None` if they reject a part.
fn convert_head(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut built = Request::new(());
    *built.method_mut() = Method::from_bytes(request.method?.as_bytes()).ok()?;
    *built.uri_mut() = request.path?.parse::<Uri>().ok()?;
    *built.version_mut() = match request.version? {
        1 => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    built.headers_mut().reserve(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        built.headers_mut().append(name, value);
    }
    Some(built.into_parts().0)
}

/// Returns the values of all headers with this name, ignoring case.
fn header_values<'a>(
    headers: &'a [httparse::Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value.trim_ascii())
}

/// Returns the value of `Content-Length`. Repeated headers must agree.
fn content_length(headers: &[httparse::Header<'_>]) -> Result<Option<u64>, Violation> {
    let mut length = None;
    for value in header_values(headers, "content-length") {
        let value = parse_digits(value).ok_or(Violation::Malformed)?;
        if length.is_some_and(|earlier| earlier != value) {
            return Err(Violation::Malformed);
        }
        length = Some(value);
    }
    Ok(length)
}

/// Parses a number that consists of digits only; `str::parse` would accept a sign.
fn parse_digits(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Returns whether the body is chunked. Any other transfer coding is rejected.
fn is_chunked(headers: &[httparse::Header<'_>]) -> Result<bool, Violation> {
    let mut codings = header_values(headers, "transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(value), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Violation::Malformed),
    }
}
