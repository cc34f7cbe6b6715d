//! Membership changes, one at a time.

use sycamoreflow_state::ids::{DaemonId, Millis};

use super::types::{
    Incarnation, Member, MemberChange, Membership, Payload, Peer, Refusal, Role, Token,
};
use super::{Raft, State};

/// Time without contact to the old disk after which a replica on a new disk is re-admitted. Two
/// processes that run with the same id therefore do not replace each other repeatedly.
const REPLACEMENT_TIMEOUT: Millis = Millis(1000);
/// Time for which a probe counts as evidence that the sender is running.
pub(super) const PROBE_TTL: Millis = Millis(3000);
/// Maximum number of unadmitted replicas that a leader tracks.
const MAX_UNADMITTED: usize = 64;

impl Raft {
    pub(super) fn on_change(&mut self, token: Token, change: MemberChange) {
        let next = match self.next_members(change) {
            Ok(next) => next,
            Err(refusal) => {
                self.reject_proposal(token, refusal);
                return;
            }
        };
        let index = self.append_members(next);
        self.accept_proposal(token, index);
    }

    fn append_members(&mut self, members: Membership) -> u64 {
        let index = self.append_as_leader(Payload::Members(members));
        self.update_progress();
        index
    }

    /// Returns why a change is not allowed at present. The previous change and an entry of the
    /// current term must be committed first. Otherwise two leaders could commit with quorums that
    /// share no voter.
    fn change_refusal(&self) -> Option<Refusal> {
        let State::Leader(state) = &self.state else {
            return Some(Refusal::NotLeader);
        };
        if self.commit < state.term_start {
            return Some(Refusal::NotReady);
        }
        (self.members_index > self.commit).then_some(Refusal::ChangePending)
    }

    fn next_members(&self, change: MemberChange) -> Result<Membership, Refusal> {
        if let Some(refusal) = self.change_refusal() {
            return Err(refusal);
        }
        let mut next = self.members.clone();
        match change {
            MemberChange::AddLearner { id, promote } => {
                if next.members.contains_key(&id) {
                    return Err(Refusal::InvalidChange);
                }
                let incarnation = self.unadmitted_disk(&id).ok_or(Refusal::UnknownReplica)?;
                let role = Role::Learner { promote };
                next.members.insert(id, Member { incarnation, role });
            }
            MemberChange::Promote { id } => {
                let member = next.members.get_mut(&id).ok_or(Refusal::UnknownReplica)?;
                if member.role == Role::Voter {
                    return Err(Refusal::InvalidChange);
                }
                if !self.has_caught_up(&id) {
                    return Err(Refusal::NotCaughtUp);
                }
                member.role = Role::Voter;
            }
            MemberChange::Remove { id } => {
                if id == self.local.id {
                    return Err(Refusal::InvalidChange);
                }
                next.members.remove(&id).ok_or(Refusal::UnknownReplica)?;
                if !self.is_quorum_reachable(&next) {
                    return Err(Refusal::QuorumAtRisk);
                }
            }
        }
        Ok(next)
    }

    /// Records a probe of a replica that is not a member on its current disk.
    pub(super) fn record_unadmitted(&mut self, peer: Peer) {
        let now = self.now;
        if self.members.member(&peer).is_some() {
            return;
        }
        let State::Leader(state) = &mut self.state else {
            return;
        };
        let unadmitted = &mut state.unadmitted;
        unadmitted.retain(|_, (_, at)| now.since(*at) < PROBE_TTL);
        if unadmitted.len() < MAX_UNADMITTED || unadmitted.contains_key(&peer.id) {
            unadmitted.insert(peer.id, (peer.incarnation, now));
        }
    }

    fn unadmitted_disk(&self, id: &DaemonId) -> Option<Incarnation> {
        let State::Leader(state) = &self.state else {
            return None;
        };
        let (incarnation, at) = state.unadmitted.get(id)?;
        (self.now.since(*at) < PROBE_TTL).then_some(*incarnation)
    }

    fn has_caught_up(&self, id: &DaemonId) -> bool {
        let State::Leader(state) = &self.state else {
            return false;
        };
        state.progress.get(id).is_some_and(|progress| {
            progress.matched >= self.commit
                && self.now.since(progress.last_contact) < REPLACEMENT_TIMEOUT
        })
    }

    /// Starts the next automatic change, if one is due: re-admits a replica whose disk was
    /// replaced, or promotes a learner that has caught up.
    pub(super) fn maintain_members(&mut self) {
        if self.change_refusal().is_some() {
            return;
        }
        let next = self.replacement().or_else(|| self.promotion());
        if let Some(next) = next {
            self.append_members(next);
            self.replicate_to_all();
            self.advance_commit();
        }
    }

    fn replacement(&self) -> Option<Membership> {
        let State::Leader(state) = &self.state else {
            return None;
        };
        for (id, member) in &self.members.members {
            let silent = state.progress.get(id).is_some_and(|progress| {
                self.now.since(progress.last_contact) >= REPLACEMENT_TIMEOUT
            });
            let Some(incarnation) = self.unadmitted_disk(id).filter(|_| silent) else {
                continue;
            };
            if incarnation == member.incarnation {
                continue;
            }
            let promote = matches!(member.role, Role::Voter | Role::Learner { promote: true });
            let role = Role::Learner { promote };
            let mut next = self.members.clone();
            next.members
                .insert(id.clone(), Member { incarnation, role });
            return Some(next);
        }
        None
    }

    fn promotion(&self) -> Option<Membership> {
        for (id, member) in &self.members.members {
            if member.role == (Role::Learner { promote: true }) && self.has_caught_up(id) {
                let change = MemberChange::Promote { id: id.clone() };
                return self.next_members(change).ok();
            }
        }
        None
    }
}
