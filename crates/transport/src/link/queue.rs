//! Bounded queue from the senders to the writer task of a link.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use parking_lot::Mutex;

use super::SendError;

/// Queue of encoded frames.
///
/// Frames count against the limits until they are written, so senders are still refused or
/// blocked while the writer has taken a batch that it cannot write yet.
pub(super) struct SendQueue {
    max_frames: usize,
    max_bytes: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    frames: VecDeque<Bytes>,
    unwritten_frames: usize,
    unwritten_bytes: usize,
    closed: bool,
    writer_waker: Option<Waker>,
    blocked_senders: Vec<Waker>,
}

impl SendQueue {
    pub(super) fn new(max_frames: usize, max_bytes: usize) -> Self {
        Self {
            max_frames,
            max_bytes,
            state: Mutex::default(),
        }
    }

    pub(super) fn push(&self, frame: Bytes) -> Result<(), SendError> {
        let mut state = self.state.lock();
        self.try_push(&mut state, &frame)?;
        let writer = state.writer_waker.take();
        drop(state);
        if let Some(writer) = writer {
            writer.wake();
        }
        Ok(())
    }

    pub(super) async fn push_waiting(&self, frame: Bytes) -> Result<(), SendError> {
        poll_fn(|cx| {
            let mut state = self.state.lock();
            match self.try_push(&mut state, &frame) {
                Err(SendError::Full) => {
                    state.blocked_senders.push(cx.waker().clone());
                    Poll::Pending
                }
                Err(error) => Poll::Ready(Err(error)),
                Ok(()) => {
                    let writer = state.writer_waker.take();
                    drop(state);
                    if let Some(writer) = writer {
                        writer.wake();
                    }
                    Poll::Ready(Ok(()))
                }
            }
        })
        .await
    }

    fn try_push(&self, state: &mut State, frame: &Bytes) -> Result<(), SendError> {
        if state.closed {
            return Err(SendError::Closed);
        }
        let fits =
            state.unwritten_bytes + frame.len() <= self.max_bytes || state.unwritten_frames == 0;
        if state.unwritten_frames >= self.max_frames || !fits {
            return Err(SendError::Full);
        }
        state.unwritten_frames += 1;
        state.unwritten_bytes += frame.len();
        state.frames.push_back(frame.clone());
        Ok(())
    }

    /// Moves all queued frames into `batch`, which must be empty. Returns false if the queue is
    /// closed and empty.
    pub(super) fn poll_take(
        &self,
        cx: &mut Context<'_>,
        batch: &mut VecDeque<Bytes>,
    ) -> Poll<bool> {
        let mut state = self.state.lock();
        if !state.frames.is_empty() {
            std::mem::swap(&mut state.frames, batch);
            return Poll::Ready(true);
        }
        if state.closed {
            return Poll::Ready(false);
        }
        state.writer_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Returns whether the queue holds frames that the writer has not taken.
    pub(super) fn has_frames(&self) -> bool {
        !self.state.lock().frames.is_empty()
    }

    /// Releases the space of a written frame of `bytes` bytes and wakes the blocked senders.
    pub(super) fn release(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.unwritten_frames -= 1;
        state.unwritten_bytes -= bytes;
        let blocked_senders = std::mem::take(&mut state.blocked_senders);
        drop(state);
        blocked_senders.into_iter().for_each(Waker::wake);
    }

    pub(super) fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        let writer = state.writer_waker.take();
        let blocked_senders = std::mem::take(&mut state.blocked_senders);
        drop(state);
        writer
            .into_iter()
            .chain(blocked_senders)
            .for_each(Waker::wake);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state.lock().closed
    }
}
