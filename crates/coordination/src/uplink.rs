//! Admission of large answers by the bandwidth of the host's link (`docs/design/large-answers.md`).
//!
//! All answers of a host leave through one link. A burst of large answers fills its queue, and
//! small answers then wait behind them for longer than their callers do, although the upstream has
//! free slots. The daemon beside the upstream therefore estimates how much is still to be sent, and
//! refuses a call whose answer is probably large while the link has enough to do. The call has not
//! run, so another host with a free link may run it.
//!
//! Routes with small answers are never refused here. Invariant: a large answer is never refused
//! while the link has nothing to send, so each of them can be sent, however large it is.

use indexmap::IndexMap;
use sycamoreflow_state::ids::{Millis, RouteName};

#[cfg(test)]
mod tests;

/// Answers up to this size in bytes are small: they take a millisecond at 100 Mbit/s, and some ten
/// at the slowest links of small hosts.
const SMALL_ANSWER_BYTES: f64 = 16.0 * 1024.0;
/// Time for which the link may be busy before further large answers are refused. Short calls have
/// targets of a few hundred milliseconds, of which they may spend a part in the queue of the link.
const MAX_BUSY_TIME: Millis = Millis(150);
/// Weight of one answer in the moving average of the sizes of a route.
const SIZE_WEIGHT: f64 = 0.1;
/// Maximum number of routes whose answer sizes are kept. Answers of others count as small.
const MAX_ROUTES: usize = 64;

/// What a host has to send, as far as answers of its upstreams go.
#[derive(Clone, Debug)]
pub struct Uplink {
    bytes_per_ms: f64,
    /// Bytes that are queued, or expected of calls that run.
    backlog: f64,
    updated: Millis,
    /// Mean answer sizes in bytes by route.
    sizes: IndexMap<RouteName, f64>,
}

/// Part of the link that a running call is expected to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserved(f64);

impl Uplink {
    /// Creates the state of an idle link. With 0 bytes per second, every answer is admitted.
    pub fn new(now: Millis, bytes_per_s: u64) -> Self {
        Self {
            bytes_per_ms: bytes_per_s as f64 / 1_000.0,
            backlog: 0.0,
            updated: now,
            sizes: IndexMap::new(),
        }
    }

    /// Admits a call of `route`, or returns `None` if its answer is probably large and the link has
    /// enough to send.
    pub fn admit(&mut self, now: Millis, route: &RouteName) -> Option<Reserved> {
        if self.bytes_per_ms == 0.0 {
            return Some(Reserved(0.0));
        }
        self.drain(now);
        let expected = self.sizes.get(route).copied().unwrap_or(0.0);
        let is_large = expected > SMALL_ANSWER_BYTES;
        let limit = self.bytes_per_ms * MAX_BUSY_TIME.0 as f64;
        if is_large && self.backlog > 0.0 && self.backlog + expected > limit {
            return None;
        }
        self.backlog += expected;
        Some(Reserved(expected))
    }

    /// Records that a call has ended with an answer of `bytes`, or without one.
    pub fn ended(
        &mut self,
        now: Millis,
        route: &RouteName,
        reserved: Reserved,
        bytes: Option<usize>,
    ) {
        if self.bytes_per_ms == 0.0 {
            return;
        }
        self.drain(now);
        let sent = bytes.unwrap_or(0) as f64;
        self.backlog = (self.backlog + sent - reserved.0).max(0.0);
        if bytes.is_none() {
            return;
        }
        if let Some(mean) = self.sizes.get_mut(route) {
            *mean += (sent - *mean) * SIZE_WEIGHT;
        } else if self.sizes.len() < MAX_ROUTES {
            self.sizes.insert(route.clone(), sent);
        }
    }

    /// Returns the time until the link has sent what is known.
    pub fn busy_for(&mut self, now: Millis) -> Millis {
        if self.bytes_per_ms == 0.0 {
            return Millis(0);
        }
        self.drain(now);
        Millis((self.backlog / self.bytes_per_ms) as u64)
    }

    fn drain(&mut self, now: Millis) {
        let elapsed = now.since(self.updated).0 as f64;
        self.backlog = (self.backlog - elapsed * self.bytes_per_ms).max(0.0);
        self.updated = now;
    }
}
