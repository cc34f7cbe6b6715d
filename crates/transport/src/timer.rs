//! Timers for time limits that rarely expire.
//!
//! The runtime's timers notify its reactor whenever one is registered, which costs a system call
//! per request and time limit. Here, one task per shard sleeps until the earliest registered
//! deadline. Most timers are registered with a later deadline and are removed before it passes, so
//! they only cost an insertion into and a removal from a map.

use std::collections::BTreeMap;
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_std::task;
use parking_lot::Mutex;

#[cfg(test)]
mod tests;

/// Number of independent timer maps. Each thread registers its timers in one of them, so threads
/// rarely contend for a lock.
const SHARDS: usize = 8;

type TimerKey = (Instant, u64);

#[derive(Default)]
struct Shard {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    timers: BTreeMap<TimerKey, Waker>,
    /// When the shard's task is due to wake; `None` if it waits for the first timer.
    next_wakeup: Option<Instant>,
    task: Option<Waker>,
}

fn shard(index: usize) -> &'static Shard {
    static ALL: OnceLock<[Shard; SHARDS]> = OnceLock::new();
    let all = ALL.get_or_init(|| {
        for index in 0..SHARDS {
            task::spawn(run_shard(index));
        }
        Default::default()
    });
    &all[index]
}

/// Returns the shard in which the current thread registers its timers.
fn thread_shard() -> usize {
    static NEXT_SHARD: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static THREAD_SHARD: usize = NEXT_SHARD.fetch_add(1, Ordering::Relaxed) % SHARDS;
    }
    THREAD_SHARD.with(|index| *index)
}

/// Wakes the tasks whose timers in a shard are due. Never returns.
async fn run_shard(index: usize) {
    let shard = shard(index);
    let mut sleeping: Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(std::future::pending());
    poll_fn(|cx| {
        loop {
            let earliest = shard.wake_due(cx);
            if let Some(earliest) = earliest {
                let left = earliest.saturating_duration_since(Instant::now());
                sleeping = Box::pin(task::sleep(left));
            }
            if earliest.is_none() || sleeping.as_mut().poll(cx).is_pending() {
                return Poll::<()>::Pending;
            }
        }
    })
    .await;
}

impl Shard {
    /// Wakes the tasks whose timers are due and returns the earliest remaining deadline.
    fn wake_due(&self, cx: &mut Context<'_>) -> Option<Instant> {
        let mut state = self.state.lock();
        let later = state.timers.split_off(&(Instant::now(), u64::MAX));
        let due = std::mem::replace(&mut state.timers, later);
        let earliest = state.timers.first_key_value().map(|((at, _), _)| *at);
        state.next_wakeup = earliest;
        state.task = Some(cx.waker().clone());
        drop(state);
        due.into_values().for_each(Waker::wake);
        earliest
    }

    fn insert(&self, key: TimerKey, waker: Waker) {
        let mut state = self.state.lock();
        state.timers.insert(key, waker);
        if state.next_wakeup.is_some_and(|at| at <= key.0) {
            return;
        }
        state.next_wakeup = Some(key.0);
        let task = state.task.take();
        drop(state);
        if let Some(task) = task {
            task.wake();
        }
    }

    fn remove(&self, key: TimerKey) {
        self.state.lock().timers.remove(&key);
    }
}

/// Future that completes once its deadline has passed. Dropping it removes its timer.
pub(crate) struct Sleep {
    deadline: Instant,
    registered: Option<RegisteredTimer>,
}

struct RegisteredTimer {
    shard: usize,
    id: u64,
    waker: Waker,
}

/// Returns a future that completes at `deadline`.
pub(crate) fn sleep_until(deadline: Instant) -> Sleep {
    Sleep {
        deadline,
        registered: None,
    }
}

/// Returns a future that completes after `duration`, counted from this call.
pub(crate) fn sleep(duration: Duration) -> Sleep {
    sleep_until(Instant::now() + duration)
}

/// Waits for a future until `deadline`. Returns `None` if it is not ready by then.
pub(crate) async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let mut future = std::pin::pin!(future);
    let mut sleep = sleep_until(deadline);
    poll_fn(|cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(output));
        }
        Pin::new(&mut sleep).poll(cx).map(|()| None)
    })
    .await
}

impl Sleep {
    fn deregister(&mut self) {
        if let Some(timer) = self.registered.take() {
            shard(timer.shard).remove((self.deadline, timer.id));
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        if Instant::now() >= self.deadline {
            self.deregister();
            return Poll::Ready(());
        }
        let is_current = |timer: &RegisteredTimer| timer.waker.will_wake(cx.waker());
        if self.registered.as_ref().is_some_and(is_current) {
            return Poll::Pending;
        }
        self.deregister();
        let timer = RegisteredTimer {
            shard: thread_shard(),
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed),
            waker: cx.waker().clone(),
        };
        shard(timer.shard).insert((self.deadline, timer.id), timer.waker.clone());
        self.registered = Some(timer);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.deregister();
    }
}

impl fmt::Debug for Sleep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sleep")
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}
