//! Stream that guards an HTTP library against its peer: strict framing, size and time limits.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};
use parking_lot::Mutex;

use super::framing::{FramingLimits, Position, RequestFraming, Violation};
use crate::timer::{Sleep, sleep_until};

/// Time limits of a guarded stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct GuardTimes {
    /// Between two requests.
    pub(super) idle: Duration,
    /// From the first byte of a head to its last.
    pub(super) head: Duration,
    /// From the end of a head to the end of the body.
    pub(super) body: Duration,
    /// Without the peer taking a byte of a response.
    pub(super) write_stall: Duration,
}

/// State that the guard shares with the code that runs the requests.
#[derive(Clone, Default)]
pub(super) struct Progress(Arc<Mutex<ProgressState>>);

#[derive(Default)]
struct ProgressState {
    /// Responses that were handed to the library and are not yet flushed.
    unflushed: u64,
    violation: Option<Violation>,
}

impl Progress {
    /// Notes that the response to a request was handed to the library.
    pub(super) fn answered(&self) {
        self.0.lock().unflushed += 1;
    }

    /// Returns the violation that ended the stream, if one did.
    pub(super) fn violation(&self) -> Option<Violation> {
        self.0.lock().violation
    }

    fn set_violation(&self, violation: Violation) {
        self.0.lock().violation = Some(violation);
    }

    /// Returns the number of responses that a flush has completed.
    fn take_unflushed(&self) -> u64 {
        std::mem::take(&mut self.0.lock().unflushed)
    }
}

/// A timer that is set again only if it would fire too late, since most deadlines are replaced
/// by a later one before they pass.
#[derive(Default)]
struct Alarm {
    armed: Option<(Instant, Sleep)>,
}

impl Alarm {
    fn poll(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        loop {
            if let Some((at, timer)) = &mut self.armed
                && *at <= deadline
                && Pin::new(timer).poll(cx).is_pending()
            {
                return Poll::Pending;
            }
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            self.armed = Some((deadline, sleep_until(deadline)));
        }
    }
}

/// A connection whose requests are checked before the HTTP library sees them.
///
/// A violation is held back until all earlier requests are answered, so that no response is cut.
/// Then reading fails, and [`Progress::violation`] tells what to answer.
pub(super) struct Guard {
    stream: TcpStream,
    framing: RequestFraming,
    times: GuardTimes,
    progress: Progress,
    alarm: Alarm,
    read_since: Instant,
    position: Position,
    write_alarm: Alarm,
    write_blocked_since: Option<Instant>,
    /// Requests whose responses were flushed.
    flushed: u64,
    /// Reader that waits for the response to be flushed.
    held_back: Option<Waker>,
}

impl Guard {
    pub(super) fn new(
        stream: TcpStream,
        limits: FramingLimits,
        times: GuardTimes,
        progress: Progress,
    ) -> Self {
        Self {
            stream,
            framing: RequestFraming::new(limits),
            times,
            progress,
            alarm: Alarm::default(),
            read_since: Instant::now(),
            position: Position::BetweenRequests,
            write_alarm: Alarm::default(),
            write_blocked_since: None,
            flushed: 0,
            held_back: None,
        }
    }

    fn take(&mut self, bytes: &[u8]) -> usize {
        let (accepted, violation) = self.framing.push(bytes);
        if let Some(violation) = violation {
            self.progress.set_violation(violation);
        }
        let position = self.framing.position();
        if position != self.position {
            self.position = position;
            self.read_since = Instant::now();
        }
        accepted
    }

    /// Returns whether all whole requests are answered.
    fn is_reading(&self) -> bool {
        self.flushed >= self.framing.completed()
    }

    fn poll_violation(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        if self.is_reading() {
            return Poll::Ready(io::Error::new(
                io::ErrorKind::InvalidData,
                "request rejected",
            ));
        }
        self.held_back = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Is ready when the current position has lasted too long.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if !self.is_reading() {
            return Poll::Pending;
        }
        let GuardTimes {
            idle, head, body, ..
        } = self.times;
        let deadline = self.read_since + self.position.limit(idle, head, body);
        if self.alarm.poll(cx, deadline).is_pending() {
            return Poll::Pending;
        }
        if self.position == Position::BetweenRequests {
            return Poll::Ready(Ok(0));
        }
        self.progress.set_violation(Violation::TimedOut);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn write_progress<T>(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if outcome.is_ready() {
            self.write_blocked_since = None;
            return outcome;
        }
        let since = *self.write_blocked_since.get_or_insert_with(Instant::now);
        let deadline = since + self.times.write_stall;
        let late = self.write_alarm.poll(cx, deadline);
        late.map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Guard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        loop {
            if this.progress.violation().is_some() {
                return this.poll_violation(cx).map(Err);
            }
            match Pin::new(&mut this.stream).poll_read(cx, buf) {
                Poll::Ready(Ok(0)) if this.position == Position::BetweenRequests => {
                    return Poll::Ready(Ok(0));
                }
                Poll::Ready(Ok(0)) => {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
                Poll::Ready(Ok(count)) => match this.take(&buf[..count]) {
                    0 => continue,
                    accepted => return Poll::Ready(Ok(accepted)),
                },
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return this.poll_late(cx),
            }
        }
    }
}

impl AsyncWrite for Guard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.write_progress(cx, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.write_progress(cx, outcome)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(outcome, Poll::Ready(Ok(()))) {
            let flushed = self.progress.take_unflushed();
            if flushed == 0 {
                return outcome;
            }
            self.flushed += flushed;
            self.read_since = Instant::now();
            if let Some(reader) = self.held_back.take() {
                reader.wake();
            }
        }
        outcome
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
