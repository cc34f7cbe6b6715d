//! Fault injection. Tests enable a fault to verify that their checks detect it.

use super::Raft;

/// A deliberate violation of the algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Acknowledgements and votes are sent before the writes that they depend on are synced.
    AcknowledgeBeforeSync,
    /// A replica votes for every candidate of a term that requests its vote.
    VoteTwice,
    /// Entries of older terms are committed as soon as a quorum has stored them.
    CommitOlderTerm,
    /// Members are identified by their id only, regardless of their disk.
    ReplacedDiskVotes,
    /// Reads are answered without confirmation by a quorum.
    UnconfirmedReads,
}

/// The enabled fault, if any. Only test builds can enable one.
#[derive(Debug, Default)]
pub(super) struct Faults {
    #[cfg(test)]
    pub(super) on: Option<Fault>,
}

impl Raft {
    #[cfg(test)]
    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.faults.on == Some(fault)
    }

    #[cfg(not(test))]
    #[allow(clippy::unused_self, reason = "the test build reads the switch")]
    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        let _ = (&self.faults, fault);
        false
    }

    pub(super) fn ignores_incarnation(&self) -> bool {
        self.has_fault(Fault::ReplacedDiskVotes)
    }
}
