//! Membership of a control group whose replicas are not named by an operator.
//!
//! Replicas find the group through seeds and apply for membership. The leader keeps a wanted number
//! of voters among the replicas that it hears: a voter that has been silent for long is replaced by
//! another replica, first by adding the new voter and then by removing the old one, so that the
//! group never has fewer voters than wanted. Further replicas serve subscribers only.

use sycamoreflow_state::ids::{DaemonId, Millis};

use crate::raft::{MemberChange, ReplicaProgress, Role};

#[cfg(test)]
mod tests;

/// Silence after which a voter is replaced if another replica can take its place. It is twice the
/// time after which a leader steps down without a quorum, so that an election does not count.
pub const REPLACE_AFTER: Millis = Millis(3_000);
/// Silence after which a replica that does not vote is forgotten.
pub const FORGET_AFTER: Millis = Millis(30_000);

/// Returns the next change of the members, if one is needed. `applicants` are replicas that are no
/// members and have contacted the leader lately.
pub fn next_change(
    replicas: &[ReplicaProgress],
    applicants: &[DaemonId],
    wanted_voters: usize,
) -> Option<MemberChange> {
    let voting = |replica: &&ReplicaProgress| replica.role != Role::Learner { promote: false };
    let is_lost = |replica: &&ReplicaProgress| replica.silent_for >= REPLACE_AFTER;
    let voters = replicas.iter().filter(voting).count();
    let lost = replicas.iter().filter(voting).find(is_lost);
    if voters > wanted_voters
        && let Some(lost) = lost
    {
        let id = lost.id.clone();
        return Some(MemberChange::Remove { id });
    }
    let heard = replicas.iter().filter(voting).filter(|r| !is_lost(r));
    let needs_voter = heard.count() < wanted_voters && voters <= wanted_voters;
    if needs_voter {
        let caught_up = replicas.iter().find(|r| !voting(r) && r.reachable);
        if let Some(replica) = caught_up {
            let id = replica.id.clone();
            return Some(MemberChange::Promote { id });
        }
    }
    if let Some(id) = applicants.first() {
        return Some(MemberChange::AddLearner {
            id: id.clone(),
            promote: needs_voter,
        });
    }
    let gone = |r: &&ReplicaProgress| !voting(r) && r.silent_for >= FORGET_AFTER;
    let gone = replicas.iter().find(gone)?;
    Some(MemberChange::Remove {
        id: gone.id.clone(),
    })
}
