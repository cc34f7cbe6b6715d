//! Decides which clients give way when the memory or the connections of a process are used up.
//!
//! Each connection of a client is a [`Holding`]. While the sum of all holdings is within the
//! [`Budget`], every client may hold what the limits of its request allow. Beyond it, holdings are
//! closed in a fixed order: those without progress first, the largest of them first, and the rest
//! by size. A holding whose requests are running is never closed, since whether they have run
//! would become unknown to their callers.
//!
//! A limit for each remote address would not help: many ordinary callers share one, see
//! `docs/design/client-buffers.md`.

use std::cmp::Reverse;

use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Time without progress after which a client that is sending or reading is considered stalled. A
/// client on a working network delivers its next bytes within a few round trips.
pub const STALL_TIME: Millis = Millis(1_000);

/// Time for which a connection must have been idle before it is closed in favour of a new one. The
/// first request of a new connection arrives within it.
pub const MIN_IDLE_TIME: Millis = Millis(250);

/// Bytes that a client has to send or read to count as making progress. With [`STALL_TIME`] it is a
/// rate of 1 KiB/s, which every caller that meets its deadline exceeds.
pub const PROGRESS_BYTES: u64 = 1_024;

/// Largest holding that may use the reserved part of the budget, in bytes. It covers a head of the
/// largest allowed size and an ordinary body.
pub const SMALL_BYTES: u64 = 64 * 1024;

/// Part of the budget that only small holdings may use, as a divisor.
const RESERVED_DIVISOR: u64 = 8;

/// What the client of a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It has no request in progress.
    Idle,
    /// It is sending a request.
    Receiving,
    /// It waits for its responses.
    Running,
    /// It has responses to read.
    Sending,
}

/// What one connection holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Number of the connection. Older connections have lower numbers.
    pub id: u64,
    /// Memory that it holds, in bytes.
    pub bytes: u64,
    /// What its client is doing.
    pub activity: Activity,
    /// Time since its client last made progress.
    pub quiet: Millis,
    /// Whether a request of it has been answered.
    pub has_served: bool,
}

impl Holding {
    fn is_stalled(&self) -> bool {
        self.quiet >= STALL_TIME
    }
}

/// Bound on the sum of all holdings.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    max_bytes: u64,
}

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(max_bytes: u64) -> Self {
        Self { max_bytes }
    }

    /// Returns the bound in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Returns whether only the reserved part is left when `held` bytes are taken.
    pub fn is_scarce(&self, held: u64) -> bool {
        held >= self.limit(u64::MAX)
    }

    /// Returns the bound in bytes for a holding that grows to `bytes`. A part of the budget is left
    /// to small ones, so that ordinary requests are served beside large ones.
    pub fn limit(&self, bytes: u64) -> u64 {
        if bytes <= SMALL_BYTES {
            return self.max_bytes;
        }
        self.max_bytes - self.max_bytes / RESERVED_DIVISOR
    }
}

/// Holdings to close, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closing {
    /// Their numbers.
    pub ids: Vec<u64>,
    /// Whether enough memory becomes free. If not, all that may be closed are listed.
    pub is_enough: bool,
}

/// Returns the holdings to close so that at least `shortage` bytes become free.
pub fn holdings_to_close(holdings: &[Holding], shortage: u64) -> Closing {
    let may_close = |holding: &&Holding| {
        matches!(holding.activity, Activity::Receiving | Activity::Sending) && holding.bytes > 0
    };
    let mut candidates: Vec<&Holding> = holdings.iter().filter(may_close).collect();
    candidates.sort_by_key(|h| (!h.is_stalled(), Reverse(h.bytes), h.id));
    let mut ids = Vec::new();
    let mut freed = 0;
    for holding in candidates {
        if freed >= shortage {
            break;
        }
        freed += holding.bytes;
        ids.push(holding.id);
    }
    Closing {
        ids,
        is_enough: freed >= shortage,
    }
}

/// Returns the connection to close in favour of a new one: an idle one, or else one whose client is
/// stalled. Connections that have served no request come first, then those that have been without
/// progress for longest. Returns `None` if all are in use.
pub fn connection_to_close(holdings: &[Holding]) -> Option<u64> {
    let class = |holding: &Holding| match holding.activity {
        Activity::Idle if holding.quiet >= MIN_IDLE_TIME => Some(0),
        Activity::Receiving | Activity::Sending if holding.is_stalled() => Some(1),
        _ => None,
    };
    let candidates = holdings.iter().filter_map(|h| {
        let order = (class(h)?, h.has_served, Reverse(h.quiet), h.id);
        Some((order, h.id))
    });
    candidates.min().map(|(_, id)| id)
}
