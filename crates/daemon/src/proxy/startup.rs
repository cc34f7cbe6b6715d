//! Requests that wait until the daemon has its first view.

use async_std::future::timeout;
use futures::channel::oneshot;
use parking_lot::Mutex;
use sycamoreflow_coordination::startup::{StartupDecision, StartupQueue};
use sycamoreflow_state::ids::Millis;

use crate::clock;

#[cfg(test)]
mod tests;

/// Result of a wait. The error is the delay after which the refused caller may retry.
pub(super) type Result<T> = std::result::Result<T, Millis>;

/// The requests that wait for the first view of a daemon. Which of them wait, and for how long, is
/// decided by [`StartupQueue`].
pub(super) struct ViewWaiters {
    queue: Mutex<StartupQueue>,
    wakers: Mutex<Vec<oneshot::Sender<()>>>,
}

/// Keeps a request counted as waiting until it is dropped, also if its caller leaves.
struct Waiting<'a> {
    queue: &'a Mutex<StartupQueue>,
    bytes: usize,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.queue.lock().leave(self.bytes);
    }
}

impl ViewWaiters {
    /// Creates the waiters of a daemon that has started at `started`.
    pub(super) fn new(started: Millis) -> Self {
        Self {
            queue: Mutex::new(StartupQueue::new(started)),
            wakers: Mutex::default(),
        }
    }

    /// Wakes all waiting requests.
    pub(super) fn wake(&self) {
        for waker in std::mem::take(&mut *self.wakers.lock()) {
            // Fails if the caller of the request has left.
            let _ = waker.send(());
        }
    }

    /// Waits until [`ViewWaiters::wake`], if the request may wait. `is_active` returns whether the
    /// daemon has a view; it is called after the request is registered, so that a view that arrives
    /// at the same time is not missed.
    ///
    /// # Errors
    ///
    /// If the request may not wait, or the view did not arrive in time.
    pub(super) async fn wait(
        &self,
        arrived: Millis,
        remaining: Option<Millis>,
        bytes: usize,
        is_active: impl Fn() -> bool,
    ) -> Result<()> {
        let decision = self.queue.lock().offer(arrived, remaining, bytes);
        let until = match decision {
            StartupDecision::Wait(until) => until,
            StartupDecision::Refuse(retry_after) => return Err(retry_after),
        };
        metrics::counter!("sycamoreflow_calls_waited_for_view_total").increment(1);
        let _waiting = Waiting {
            queue: &self.queue,
            bytes,
        };
        let (tx, rx) = oneshot::channel();
        self.wakers.lock().push(tx);
        if is_active() {
            return Ok(());
        }
        let wait = clock::duration(until.since(clock::now()));
        match timeout(wait, rx).await {
            Ok(_) => Ok(()),
            Err(_) => Err(self.queue.lock().retry_after(clock::now())),
        }
    }
}
