//! One account per process of the memory that clients make it hold.
//!
//! Every connection of a client has a [`Holder`], which records what the connection holds: requests
//! that are not complete, are queued or run, responses that are not written, and the buffers of
//! both. While the sum is within the budget, a change costs a few atomic operations.
//! [`sycamoreflow_coordination::buffers`] decides who gives way beyond it.
//!
//! See `docs/design/client-buffers.md`.

use std::fmt;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_lock::{Semaphore, SemaphoreGuardArc};
use async_std::future::timeout;
use futures::task::AtomicWaker;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use sycamoreflow_coordination::buffers::{
    Activity, Budget, Closing, Holding, PROGRESS_BYTES, connection_to_close, holdings_to_close,
};
use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Memory that each open connection counts for, in bytes: its task, its timer and buffers for an
/// ordinary request.
pub const CONNECTION_BYTES: u64 = 8 * 1024;

/// Memory of a connection that [`CONNECTION_BYTES`] covers, in bytes.
const COVERED_BYTES: u64 = 4 * 1024;

/// Memory counted for each byte of a buffer: a complete body is copied once, and the allocator keeps
/// freed memory in the arena of each thread for reuse.
const ALLOCATION_FACTOR: u64 = 2;

/// Time after which another connection is closed in favour of a new one if none has ended.
const PLACE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time between two log lines about clients that had to give way.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Account of the memory that clients hold. Clones share it.
#[derive(Clone)]
pub struct Buffers {
    shared: Arc<Shared>,
}

struct Shared {
    budget: Budget,
    started: Instant,
    held: AtomicU64,
    /// Whether holders wait for memory. Those that release some then wake them.
    has_waiting: AtomicBool,
    registry: Mutex<Registry>,
}

#[derive(Default)]
struct Registry {
    holders: IndexMap<u64, Arc<State>>,
    next_id: u64,
    /// Bytes of holders that were told to close and have not done so yet.
    leaving: u64,
    /// Holders that wait for memory.
    waiting: IndexSet<u64>,
    logged_at: Option<Millis>,
    closed_since_log: u64,
}

/// What a connection holds, as the account sees it.
struct State {
    id: u64,
    group: u64,
    bytes: AtomicU64,
    activity: AtomicU8,
    /// Time of the last progress of the client, in milliseconds since the start of the account.
    progress_at: AtomicU64,
    has_served: AtomicBool,
    is_leaving: AtomicBool,
    /// Bytes that it was told to release by closing.
    leaving_bytes: AtomicU64,
    waker: AtomicWaker,
}

/// Share of one connection in the account. Dropping it releases what the connection holds.
pub struct Holder {
    buffers: Buffers,
    state: Arc<State>,
    /// Bytes of the client since its progress was last recorded.
    moved: u64,
}

/// Memory reserved for one message. Dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation(#[expect(dead_code, reason = "held for its drop")] Holder);

/// Result of a request for more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The memory is counted for the holder.
    Granted,
    /// There is none left for this holder.
    Refused,
}

impl Buffers {
    /// Creates an account that holds at most `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        let shared = Shared {
            budget: Budget::new(max_bytes),
            started: Instant::now(),
            held: AtomicU64::new(0),
            has_waiting: AtomicBool::new(false),
            registry: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Creates an account without a bound.
    pub fn unbounded() -> Self {
        Self::new(u64::MAX / 2)
    }

    /// Returns the memory that clients hold at present, in bytes.
    pub fn held(&self) -> u64 {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Returns whether only the part is left that is reserved for small requests.
    pub fn is_scarce(&self) -> bool {
        self.shared.budget.is_scarce(self.held())
    }

    /// Returns the number of connections that take at most three quarters of the account, so that
    /// the rest is left for their requests.
    pub fn max_connections(&self) -> usize {
        (self.shared.budget.max_bytes() / 4 * 3 / CONNECTION_BYTES).max(1) as usize
    }

    /// Returns a number for the connections of one server, which give way to each other only.
    pub fn new_group(&self) -> u64 {
        let mut registry = self.shared.registry.lock();
        registry.next_id += 1;
        registry.next_id
    }

    /// Opens the account of a new connection.
    pub fn open(&self, group: u64) -> Holder {
        self.shared
            .held
            .fetch_add(CONNECTION_BYTES, Ordering::SeqCst);
        self.add(group, Activity::Idle, CONNECTION_BYTES)
    }

    /// Reserves memory for a message that can't wait. Returns `None` if there is none left.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let bytes = ALLOCATION_FACTOR * bytes;
        let limit = self.shared.budget.limit(bytes);
        if !self.shared.take(bytes, limit) {
            let mut registry = self.shared.registry.lock();
            // No holder has the number 0.
            if !self.shared.make_room(&mut registry, bytes, limit, Some(0)) {
                return None;
            }
            drop(registry);
            self.shared.held.fetch_add(bytes, Ordering::SeqCst);
        }
        Some(Reservation(self.add(0, Activity::Running, bytes)))
    }

    /// Records the memory held as a metric.
    pub fn record_held(&self) {
        metrics::gauge!("sycamoreflow_client_buffer_bytes").set(self.held() as f64);
    }

    /// Closes a connection of this group that is idle or stalled, if there is one.
    fn close_idle_connection(&self, group: u64) {
        let mut registry = self.shared.registry.lock();
        let now = self.shared.now();
        let holdings = registry.holdings(now, |state| state.group == group);
        if let Some(id) = connection_to_close(&holdings) {
            metrics::counter!("sycamoreflow_clients_closed_total", "cause" => "connections")
                .increment(1);
            registry.close(&[id], now, self.held());
        }
    }

    /// Waits for a place for a new connection of this group. If there is none, connections that are
    /// idle or stalled are closed.
    pub async fn place(&self, group: u64, places: &Arc<Semaphore>) -> SemaphoreGuardArc {
        loop {
            if let Some(place) = places.try_acquire_arc() {
                return place;
            }
            self.close_idle_connection(group);
            if let Ok(place) = timeout(PLACE_RETRY_DELAY, places.acquire_arc()).await {
                return place;
            }
        }
    }

    fn add(&self, group: u64, activity: Activity, bytes: u64) -> Holder {
        let now = self.shared.now();
        let mut registry = self.shared.registry.lock();
        registry.next_id += 1;
        let state = Arc::new(State {
            id: registry.next_id,
            group,
            bytes: AtomicU64::new(bytes),
            activity: AtomicU8::new(activity as u8),
            progress_at: AtomicU64::new(now.0),
            has_served: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            leaving_bytes: AtomicU64::new(0),
            waker: AtomicWaker::new(),
        });
        registry.holders.insert(state.id, state.clone());
        drop(registry);
        Holder {
            buffers: self.clone(),
            state,
            moved: 0,
        }
    }
}

impl Shared {
    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Counts `bytes` more unless the sum would exceed `limit`.
    fn take(&self, bytes: u64, limit: u64) -> bool {
        let add = |held: u64| held.checked_add(bytes).filter(|held| *held <= limit);
        let ordering = Ordering::SeqCst;
        self.held.fetch_update(ordering, ordering, add).is_ok()
    }

    fn release(&self, bytes: u64) {
        self.held.fetch_sub(bytes, Ordering::SeqCst);
        if self.has_waiting.load(Ordering::SeqCst) {
            self.wake_waiting(&mut self.registry.lock());
        }
    }

    fn wake_waiting(&self, registry: &mut Registry) {
        self.has_waiting.store(false, Ordering::SeqCst);
        for id in std::mem::take(&mut registry.waiting) {
            if let Some(state) = registry.holders.get(&id) {
                state.waker.wake();
            }
        }
    }

    /// Closes holders so that `grown` more bytes fit below `limit` once they have closed. Returns
    /// whether they will. If `grows` names the holder that needs the memory, none is closed unless
    /// that is enough without it.
    fn make_room(
        &self,
        registry: &mut Registry,
        grown: u64,
        limit: u64,
        grows: Option<u64>,
    ) -> bool {
        let held = self.held.load(Ordering::SeqCst);
        let shortage = (held + grown).saturating_sub(limit);
        let shortage = shortage.saturating_sub(registry.leaving);
        if shortage == 0 {
            return true;
        }
        let now = self.now();
        let holdings = registry.holdings(now, |_| true);
        let Closing { ids, is_enough } = holdings_to_close(&holdings, shortage);
        if let Some(id) = grows
            && (!is_enough || ids.contains(&id))
        {
            return false;
        }
        metrics::counter!("sycamoreflow_clients_closed_total", "cause" => "memory")
            .increment(ids.len() as u64);
        registry.close(&ids, now, held);
        is_enough
    }
}

impl Registry {
    fn holdings(&self, now: Millis, select: impl Fn(&State) -> bool) -> Vec<Holding> {
        let staying = |state: &&Arc<State>| !state.is_leaving.load(Ordering::Relaxed);
        let states = self.holders.values().filter(staying);
        let selected = states.filter(|state| select(state));
        selected.map(|state| state.holding(now)).collect()
    }

    /// Tells holders to close, and logs it if the last such line is old enough.
    fn close(&mut self, ids: &[u64], now: Millis, held: u64) {
        for id in ids {
            let Some(state) = self.holders.get(id) else {
                continue;
            };
            state.is_leaving.store(true, Ordering::SeqCst);
            let bytes = state.bytes.load(Ordering::SeqCst);
            state.leaving_bytes.store(bytes, Ordering::SeqCst);
            self.leaving += bytes;
            state.waker.wake();
        }
        self.closed_since_log += ids.len() as u64;
        self.log(now, held);
    }

    fn log(&mut self, now: Millis, held: u64) {
        if self
            .logged_at
            .is_some_and(|at| now.since(at) < LOG_INTERVAL)
        {
            return;
        }
        self.logged_at = Some(now);
        let closed = std::mem::take(&mut self.closed_since_log);
        let open = self.holders.len();
        tracing::warn!(event = "clients_closed", closed, open, held_bytes = held);
    }
}

impl State {
    fn holding(&self, now: Millis) -> Holding {
        let progress_at = Millis(self.progress_at.load(Ordering::Relaxed));
        Holding {
            id: self.id,
            bytes: self.bytes.load(Ordering::Relaxed),
            activity: match self.activity.load(Ordering::Relaxed) {
                activity if activity == Activity::Idle as u8 => Activity::Idle,
                activity if activity == Activity::Receiving as u8 => Activity::Receiving,
                activity if activity == Activity::Sending as u8 => Activity::Sending,
                _ => Activity::Running,
            },
            quiet: now.since(progress_at),
            has_served: self.has_served.load(Ordering::Relaxed),
        }
    }
}

impl Holder {
    /// Records what the connection holds, `bytes`, after it has grown or shrunk. Memory that is
    /// taken already can't be refused: holders are closed if the sum exceeds the budget, this one
    /// among them if it comes first in the order.
    pub fn set_bytes(&self, bytes: u64) {
        let counted = counted_bytes(bytes);
        let before = self.state.bytes.load(Ordering::Relaxed);
        if counted == before || self.state.is_leaving.load(Ordering::Relaxed) {
            return;
        }
        let shared = &self.buffers.shared;
        if counted < before {
            self.state.bytes.store(counted, Ordering::SeqCst);
            shared.release(before - counted);
            return;
        }
        self.state.bytes.store(counted, Ordering::SeqCst);
        let grown = counted - before;
        let held = shared.held.fetch_add(grown, Ordering::SeqCst) + grown;
        let limit = shared.budget.max_bytes();
        if held > limit {
            shared.make_room(&mut shared.registry.lock(), 0, limit, None);
        }
    }

    /// Counts the memory for a connection that is about to hold `bytes`. Waits while holders that
    /// have to give way are closing.
    pub fn poll_grow(&self, bytes: u64, cx: &mut Context<'_>) -> Poll<Growth> {
        let counted = counted_bytes(bytes);
        let before = self.state.bytes.load(Ordering::Relaxed);
        if counted <= before {
            return Poll::Ready(Growth::Granted);
        }
        self.state.waker.register(cx.waker());
        let shared = &self.buffers.shared;
        let grown = counted - before;
        let limit = shared.budget.limit(counted);
        if shared.take(grown, limit) {
            self.state.bytes.store(counted, Ordering::SeqCst);
            return Poll::Ready(Growth::Granted);
        }
        let mut registry = shared.registry.lock();
        // Memory that is released from here on wakes this holder.
        shared.has_waiting.store(true, Ordering::SeqCst);
        registry.waiting.insert(self.state.id);
        if shared.take(grown, limit) {
            self.state.bytes.store(counted, Ordering::SeqCst);
            return Poll::Ready(Growth::Granted);
        }
        if shared.make_room(&mut registry, grown, limit, Some(self.state.id)) {
            return Poll::Pending;
        }
        metrics::counter!("sycamoreflow_clients_closed_total", "cause" => "refused").increment(1);
        registry.close(&[self.state.id], shared.now(), self.buffers.held());
        Poll::Ready(Growth::Refused)
    }

    /// Returns whether the connection has to close, and otherwise wakes the task when it has to.
    pub fn is_leaving(&self, cx: &Context<'_>) -> bool {
        self.state.waker.register(cx.waker());
        self.state.is_leaving.load(Ordering::SeqCst)
    }

    /// Waits until the connection has to close.
    pub async fn leaving(&self) {
        poll_fn(|cx| match self.is_leaving(cx) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }

    /// Records what the client is doing. A change counts as progress.
    pub fn set_activity(&mut self, activity: Activity) {
        let before = self.state.activity.swap(activity as u8, Ordering::Relaxed);
        if before != activity as u8 {
            self.mark_progress();
        }
    }

    /// Records that the client has sent or read bytes.
    pub fn record_moved(&mut self, bytes: usize) {
        self.moved += bytes as u64;
        if self.moved >= PROGRESS_BYTES {
            self.mark_progress();
        }
    }

    /// Records that a request of the connection has been answered.
    pub fn set_served(&self) {
        self.state.has_served.store(true, Ordering::Relaxed);
    }

    fn mark_progress(&mut self) {
        self.moved = 0;
        let now = self.buffers.shared.now();
        self.state.progress_at.store(now.0, Ordering::Relaxed);
    }
}

/// Returns what a connection that holds `bytes` counts for.
fn counted_bytes(bytes: u64) -> u64 {
    CONNECTION_BYTES + ALLOCATION_FACTOR * bytes.saturating_sub(COVERED_BYTES)
}

impl Drop for Holder {
    fn drop(&mut self) {
        let shared = &self.buffers.shared;
        let bytes = self.state.bytes.load(Ordering::SeqCst);
        let mut registry = shared.registry.lock();
        registry.holders.swap_remove(&self.state.id);
        shared.held.fetch_sub(bytes, Ordering::SeqCst);
        registry.leaving -= self.state.leaving_bytes.load(Ordering::SeqCst);
        shared.wake_waiting(&mut registry);
    }
}

impl fmt::Debug for Buffers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Buffers")
            .field("budget", &self.shared.budget)
            .field("held", &self.held())
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holder")
            .field("id", &self.state.id)
            .field("bytes", &self.state.bytes)
            .finish_non_exhaustive()
    }
}
