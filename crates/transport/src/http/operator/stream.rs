//! Stream that limits what async-h1 reads.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};
use http_types::Response;
use parking_lot::Mutex;

use super::violation_response;
use crate::http::framing::{FramingLimits, Position, RequestFraming, Violation};

/// A connection that carries one request, which is validated as it is read. async-h1 requires
/// `Clone`; clones share the connection and the state.
#[derive(Clone, Debug)]
pub(super) struct BoundedStream {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    framing: RequestFraming,
    violation: Option<Violation>,
    has_read: bool,
}

impl BoundedStream {
    pub(super) fn new(stream: TcpStream, limits: FramingLimits) -> Self {
        let state = State {
            framing: RequestFraming::new(limits),
            violation: None,
            has_read: false,
        };
        Self {
            stream,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns whether any bytes were received.
    pub(super) fn has_read(&self) -> bool {
        self.state.lock().has_read
    }

    /// Returns whether the request was received completely.
    pub(super) fn is_complete(&self) -> bool {
        self.state.lock().framing.completed() > 0
    }

    /// Returns the error response for the violation found, or for a malformed request if none was.
    pub(super) fn rejection(&self) -> Response {
        let violation = self.state.lock().violation;
        violation_response(violation.unwrap_or(Violation::Malformed))
    }
}

impl State {
    /// Validates received bytes. Returns how many of them may be passed to async-h1, and fails if
    /// there are none.
    fn receive(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.has_read = true;
        let (accepted, violation) = self.framing.push(bytes);
        if violation.is_some() {
            self.violation = violation;
        }
        if accepted == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(accepted)
    }

    /// Returns 0 at the end of the stream, or an error if it ends within a request.
    fn check_eof(&self) -> io::Result<usize> {
        if self.framing.position() == Position::BetweenRequests {
            return Ok(0);
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        {
            let state = self.state.lock();
            if state.violation.is_some() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            // No more bytes are read after the first complete request.
            if state.framing.completed() > 0 {
                return Poll::Ready(Ok(0));
            }
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let mut state = self.state.lock();
        let outcome = match count {
            0 => state.check_eof(),
            _ => state.receive(&buf[..count]),
        };
        Poll::Ready(outcome)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
