//! Pool of idle connections by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::HeaderValue;
use parking_lot::Mutex;

use super::connection::Connection;

/// Minimum time between two sweeps that close expired connections of all addresses.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Idle connections, limited in number per address and in idle time.
pub(super) struct Pool {
    max_idle_connections: usize,
    idle_timeout: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    addresses: HashMap<SocketAddr, AddressPool>,
    swept_at: Option<Instant>,
}

#[derive(Default)]
struct AddressPool {
    /// In the order in which they became idle, the most recent last.
    idle: Vec<IdleConnection>,
    is_probing: bool,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl Pool {
    pub(super) fn new(max_idle_connections: usize, idle_timeout: Duration) -> Self {
        Self {
            max_idle_connections,
            idle_timeout,
            state: Mutex::default(),
        }
    }

    /// Removes and returns the most recently used connection, since it is the least likely to be
    /// closed. If it has been idle for longer than `max_idle_time`, it stays in the pool for other
    /// requests and `None` is returned. Connections that have carried a request with the value
    /// `echoed` are left out.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        max_idle_time: Option<Duration>,
        echoed: Option<&HeaderValue>,
    ) -> Option<Connection> {
        let now = Instant::now();
        let expired: Vec<_>;
        let mut state = self.state.lock();
        let pool = state.addresses.get_mut(&address)?;
        let is_usable =
            |idle: &IdleConnection| echoed.is_none_or(|value| !idle.connection.has_carried(value));
        let position = pool.idle.iter().rposition(is_usable)?;
        let newest = &pool.idle[position];
        let idle = now.duration_since(newest.since);
        let limit = newest.connection.idle_limit.unwrap_or(self.idle_timeout);
        if idle < limit.min(self.idle_timeout) {
            if max_idle_time.is_some_and(|max_idle_time| idle > max_idle_time) {
                return None;
            }
            return Some(pool.idle.remove(position).connection);
        }
        // All before it have been idle for longer. They are closed after the lock is released.
        expired = pool.idle.drain(..=position).collect();
        drop(state);
        drop(expired);
        None
    }

    /// Adds an idle connection. Closes the oldest ones beyond the limit of its address, and sweeps
    /// the pool if a sweep is due.
    pub(super) fn put(&self, connection: Connection) {
        let mut state = self.state.lock();
        let now = Instant::now();
        let pool = state.addresses.entry(connection.address).or_default();
        pool.idle.push(IdleConnection {
            connection,
            since: now,
        });
        let excess = pool.idle.len().saturating_sub(self.max_idle_connections);
        let closed: Vec<_> = pool.idle.drain(..excess).collect();
        let is_sweep_due = state
            .swept_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SWEEP_INTERVAL);
        drop(state);
        drop(closed);
        if is_sweep_due {
            self.close_expired(now);
        }
    }

    /// Closes the connections of all addresses whose idle timeout has passed, and removes
    /// addresses without connections and probes.
    pub(super) fn close_expired(&self, now: Instant) {
        let mut closed = Vec::new();
        let mut state = self.state.lock();
        state.swept_at = Some(now);
        state.addresses.retain(|_, pool| {
            let is_expired = |idle: &IdleConnection| {
                now.saturating_duration_since(idle.since) >= self.idle_timeout
            };
            let expired = pool.idle.iter().take_while(|idle| is_expired(idle)).count();
            closed.extend(pool.idle.drain(..expired));
            !pool.idle.is_empty() || pool.is_probing
        });
        drop(state);
        drop(closed);
    }

    /// Closes the idle connections of an address that were last used before `time`.
    pub(super) fn discard_unused_since(&self, address: SocketAddr, time: Instant) {
        let mut state = self.state.lock();
        let Some(pool) = state.addresses.get_mut(&address) else {
            return;
        };
        let unused = pool
            .idle
            .iter()
            .take_while(|idle| idle.since < time)
            .count();
        let discarded: Vec<_> = pool.idle.drain(..unused).collect();
        drop(state);
        drop(discarded);
    }

    /// Marks a probe of the address as running. Returns false if one is running already.
    pub(super) fn try_start_probe(&self, address: SocketAddr) -> bool {
        let mut state = self.state.lock();
        let pool = state.addresses.entry(address).or_default();
        !std::mem::replace(&mut pool.is_probing, true)
    }

    pub(super) fn finish_probe(&self, address: SocketAddr) {
        if let Some(pool) = self.state.lock().addresses.get_mut(&address) {
            pool.is_probing = false;
        }
    }

    pub(super) fn count(&self, address: SocketAddr) -> usize {
        let state = self.state.lock();
        state
            .addresses
            .get(&address)
            .map_or(0, |pool| pool.idle.len())
    }
}
