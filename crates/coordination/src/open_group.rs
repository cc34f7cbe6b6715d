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
pub const REPLACE_VOTER_AFTER: Millis = Millis(3_000);
/// Silence after which a replica that does not vote is forgotten.
pub const REMOVE_LEARNER_AFTER: Millis = Millis(30_000);

/// Returns the next change of the members, if one is needed. `applicants` are replicas that are no
/// members and have contacted the leader lately.
pub fn next_change(
    replicas: &[ReplicaProgress],
    applicants: &[DaemonId],
    wanted_voters: usize,
) -> Option<MemberChange> {
    let is_voting = |replica: &&ReplicaProgress| replica.role != Role::Learner { promote: false };
    let is_lost = |replica: &&ReplicaProgress| replica.silent_for >= REPLACE_VOTER_AFTER;
    let voters = replicas.iter().filter(is_voting).count();
    let lost_voter = replicas.iter().filter(is_voting).find(is_lost);
    if voters > wanted_voters
        && let Some(lost) = lost_voter
    {
        let id = lost.id.clone();
        return Some(MemberChange::Remove { id });
    }
    let live_voters = replicas.iter().filter(is_voting).filter(|r| !is_lost(r));
    let needs_voter = live_voters.count() < wanted_voters && voters <= wanted_voters;
    if needs_voter {
        let learner = replicas.iter().find(|r| !is_voting(r) && r.reachable);
        if let Some(replica) = learner {
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
    let is_expired = |r: &&ReplicaProgress| !is_voting(r) && r.silent_for >= REMOVE_LEARNER_AFTER;
    let expired = replicas.iter().find(is_expired)?;
    Some(MemberChange::Remove {
        id: expired.id.clone(),
    })
}
