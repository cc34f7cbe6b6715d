//! Invariants that are checked during each run: all replicas apply the same entries, each term has
//! at most one leader, each base has at most one approval, and acknowledged outcomes do not change.

use std::collections::BTreeMap;

use sycamoreflow_state::ids::{ConfigVersion, RequestId};

use crate::machine::Outcome;
use crate::raft::{Membership, Payload, Peer, SharedEntry};

#[derive(Default)]
pub(super) struct Oracle {
    history: BTreeMap<u64, SharedEntry>,
    leaders: BTreeMap<u64, Peer>,
    /// Acknowledged requests with their base version and outcome.
    acknowledged: BTreeMap<RequestId, (ConfigVersion, Outcome)>,
    /// Highest index of an entry whose outcome was acknowledged.
    pub(super) acknowledged_index: u64,
    pub(super) members: Membership,
    pub(super) violation: Option<String>,
}

impl Oracle {
    pub(super) fn report(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    pub(super) fn on_leader(&mut self, term: u64, peer: &Peer) {
        let known = self.leaders.entry(term).or_insert_with(|| peer.clone());
        if known != peer {
            let text = format!("term {term} has the leaders {known:?} and {peer:?}");
            self.report(text);
        }
    }

    pub(super) fn on_apply(&mut self, entry: &SharedEntry) {
        if let Payload::Members(members) = &entry.payload {
            let last = self.history.keys().next_back().copied().unwrap_or(0);
            if entry.index > last {
                self.members = members.clone();
            }
        }
        let known = self
            .history
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        if known != entry {
            let text = format!("entry {} differs between replicas", entry.index);
            self.report(text);
        }
    }

    pub(super) fn on_acknowledged(
        &mut self,
        request: &RequestId,
        base: ConfigVersion,
        index: u64,
        outcome: Outcome,
    ) {
        self.acknowledged_index = self.acknowledged_index.max(index);
        let outcome = without_repeated_flag(outcome);
        if matches!(outcome, Outcome::Approved { .. }) {
            for (other, (other_base, other_outcome)) in &self.acknowledged {
                let won = matches!(other_outcome, Outcome::Approved { .. });
                if won && *other_base == base && other != request {
                    self.violation.get_or_insert(format!(
                        "{other} and {request} were both approved on {base}"
                    ));
                }
            }
        }
        let entry = (base, outcome.clone());
        let known = self.acknowledged.entry(request.clone()).or_insert(entry);
        if known.1 != outcome {
            let text = format!("{request} received {:?} and then {outcome:?}", known.1);
            self.report(text);
        }
    }

    pub(super) fn acknowledged(&self) -> impl Iterator<Item = (&RequestId, &Outcome)> {
        self.acknowledged
            .iter()
            .map(|(request, (_, outcome))| (request, outcome))
    }
}

/// Clears the flag that marks a repeated outcome.
pub(super) fn without_repeated_flag(mut outcome: Outcome) -> Outcome {
    if let Outcome::Approved { repeated, .. } | Outcome::Conflict { repeated, .. } = &mut outcome {
        *repeated = false;
    }
    outcome
}
