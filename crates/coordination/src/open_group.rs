//! Membership of a control group whose replicas are not listed by an operator.
//!
//! Replicas discover the group through seeds and apply for membership. The leader maintains a
//! target number of voters among the reachable replicas. It replaces a voter that has been silent
//! for [`REPLACE_VOTER_AFTER`] with another replica: it adds the new voter first and then removes
//! the old one, so that the group never has fewer voters than the target. All other replicas are
//! learners, which serve subscribers but do not vote.

use sycamoreflow_state::ids::{DaemonId, Millis};

use crate::raft::{MemberChange, ReplicaProgress, Role};

#[cfg(test)]
mod tests;

/// Time without a message after which a voter is replaced, if another replica is available. It is
/// twice the time after which a leader without a quorum steps down, so that an election alone does
/// not cause a replacement.
pub const REPLACE_VOTER_AFTER: Millis = Millis(3_000);
/// Time without a message after which a learner is removed from the group.
pub const REMOVE_LEARNER_AFTER: Millis = Millis(30_000);

/// Returns the next membership change, or `None` if none is needed.
///
/// `replicas` is the progress of all members. `applicants` are replicas that have recently
/// contacted the leader and are not members. `wanted_voters` is the target number of voters.
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
