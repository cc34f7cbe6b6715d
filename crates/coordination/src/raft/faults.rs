//! Deliberate faults that tests switch on to prove that their checks notice them.

use super::Raft;

/// A violation of the algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Acknowledgements and votes do not wait for the disk.
    AcknowledgeBeforeSync,
    /// A vote is given to each candidate that asks.
    VoteTwice,
    /// Entries of older terms are committed by counting replicas.
    CommitOlderTerm,
    /// Voters are recognised by their name only, whatever their disk.
    ReplacedDiskVotes,
    /// Reads are answered without asking a quorum.
    UnconfirmedReads,
}

/// The fault that is switched on. Outside tests there is none.
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
