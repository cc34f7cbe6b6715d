//! Strict framing of requests in a byte stream, sans I/O.
//!
//! HTTP libraries resolve some ambiguous requests silently: hyper drops a `Content-Length` that
//! accompanies `Transfer-Encoding`, and both hyper and async-h1 accept lists of codings. A proxy
//! or upstream that resolves them differently sees other request boundaries, which allows a
//! caller to smuggle a request. Heads are parsed by `httparse`; what is ambiguous is rejected.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, EXPECT, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Uri, Version};

use self::chunked::ChunkedDecoder;

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

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The head is malformed or its framing is ambiguous.
    Malformed,
    /// The request did not arrive in time.
    TimedOut,
    /// The body exceeds its bound.
    BodyTooLarge,
    /// The head exceeds its bound in bytes or headers.
    HeadTooLarge,
}

impl Violation {
    /// Returns the HTTP status and its reason phrase.
    pub(super) fn status(self) -> (u16, &'static str) {
        match self {
            Self::Malformed => (400, "Bad Request"),
            Self::TimedOut => (408, "Request Timeout"),
            Self::BodyTooLarge => (413, "Content Too Large"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
        }
    }
}

/// Where in the stream of requests the last byte was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Position {
    BetweenRequests,
    InHead,
    InBody,
}

impl Position {
    /// Returns the time that the position may last.
    pub(super) fn time_limit(self, idle: Duration, head: Duration, body: Duration) -> Duration {
        match self {
            Self::BetweenRequests => idle,
            Self::InHead => head,
            Self::InBody => body,
        }
    }
}

/// A request that has arrived whole.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) request: Request<Bytes>,
    /// Whether the caller expects the connection to end after the response.
    pub(super) close_after: bool,
}

/// Reads the requests in a stream.
#[derive(Debug)]
pub(super) struct RequestFraming {
    limits: FramingLimits,
    state: State,
    /// Bytes of the head that is being read.
    head: Vec<u8>,
    /// Where the current line of the head starts.
    line_start: usize,
    /// Head of the request whose body is being read.
    parts: Option<Parts>,
    body: BytesMut,
    received: VecDeque<ReceivedRequest>,
    completed: u64,
    /// Whether the caller waits for permission to send the body that is being read.
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
            body: BytesMut::new(),
            received: VecDeque::new(),
            completed: 0,
            expects_continue: false,
        }
    }

    /// Returns the number of requests that were seen whole.
    pub(super) fn completed(&self) -> u64 {
        self.completed
    }

    /// Takes the oldest request that has arrived whole.
    pub(super) fn take_request(&mut self) -> Option<ReceivedRequest> {
        self.received.pop_front()
    }

    /// Returns the number of requests that have arrived whole and were not consumed.
    pub(super) fn received_count(&self) -> usize {
        self.received.len()
    }

    /// Returns whether the caller waits for an interim response before it sends the body. The
    /// next call returns false.
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

    /// Takes the next bytes of the stream. Returns how many of them may be passed on, and the
    /// violation that ends the stream there.
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

    /// Takes bytes of one head or body and returns how many.
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
            // Libraries accept a bare line feed, others don't, so it is ambiguous.
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
        let body = self.body.split().freeze();
        let Some(parts) = self.parts.take() else {
            return;
        };
        self.completed += 1;
        self.received.push_back(ReceivedRequest {
            close_after: closes_connection(&parts),
            request: Request::from_parts(parts, body),
        });
    }
}

/// Returns whether the connection ends after this request.
fn closes_connection(parts: &Parts) -> bool {
    let mut tokens = parts
        .headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    parts.version != Version::HTTP_11
        || tokens.any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Validates a whole head and returns the state that its body starts in.
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

/// Converts a parsed head. Returns `None` if a part is not valid in HTTP.
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

fn header_values<'a>(
    headers: &'a [httparse::Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value.trim_ascii())
}

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

/// Parses digits alone; `str::parse` would accept a sign.
fn parse_digits(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

fn is_chunked(headers: &[httparse::Header<'_>]) -> Result<bool, Violation> {
    let mut codings = header_values(headers, "transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(value), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Violation::Malformed),
    }
}
