//! The planned stop of this daemon, as the requests in progress see it.

use std::future::Future;
use std::pin::pin;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::channel;
use async_std::future::timeout;
use futures::future::{Either, select};
use sycamoreflow_coordination::stop::Stop;
use sycamoreflow_state::ids::Millis;

use crate::clock;

/// Whether and when the daemon stops. The decisions are those of [`Stop`].
#[derive(Debug)]
pub struct PlannedStop {
    stop: OnceLock<Stop>,
    /// Closed when the stop begins. No message is ever sent on it.
    begin: channel::Sender<()>,
    begun: channel::Receiver<()>,
    ended: AtomicUsize,
}

impl Default for PlannedStop {
    fn default() -> Self {
        let (begin, begun) = channel::bounded(1);
        Self {
            stop: OnceLock::new(),
            begin,
            begun,
            ended: AtomicUsize::new(0),
        }
    }
}

impl PlannedStop {
    /// Begins the stop, which ends after `drain_timeout`. Has no effect if it has begun before.
    pub fn begin(&self, drain_timeout: Millis) {
        self.stop
            .get_or_init(|| Stop::new(clock::now(), drain_timeout));
        self.begin.close();
    }

    /// Returns the stop if it has begun.
    pub fn get(&self) -> Option<Stop> {
        self.stop.get().copied()
    }

    /// Returns whether the stop has begun and requires the results of all work by now. Deadlines on
    /// links are rounded down to milliseconds, so the result of a call may come one earlier.
    pub fn is_due(&self) -> bool {
        let stop = self.get();
        stop.is_some_and(|stop| clock::now().after(Millis(1)) >= stop.answers_due())
    }

    /// Counts a request of a caller or a call of another daemon that the stop has ended.
    pub fn record_ended(&self) {
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests and calls that the stop has ended.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }

    /// Runs `work` to its end, or returns `None` and drops it when the stop requires its result
    /// earlier ([`Stop::answers_due`]).
    pub async fn run_until_due<F: Future>(&self, work: F) -> Option<F::Output> {
        let mut work = pin!(work);
        if let Either::Left((output, _)) = select(work.as_mut(), pin!(self.begun.recv())).await {
            return Some(output);
        }
        let left = self.get()?.answers_due().since(clock::now());
        timeout(clock::duration(left), work).await.ok()
    }
}
