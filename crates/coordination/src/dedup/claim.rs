//! State machine of one send with an idempotency key at the entry daemon.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_bytes::ByteBuf;
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use super::{ClaimId, ClaimReply, Grant, Group, Key, KeyReply, KeyRequest, SendId};
use crate::fingerprint::Fingerprint;

/// Time to wait for the replies of all holders, and before a message is sent again.
const ROUND_TIMEOUT: Millis = Millis(100);
/// Minimum delay before another round, and upper limit of the exponential backoff.
const BACKOFF_RANGE: (Millis, Millis) = (Millis(5), Millis(200));
/// Number of sends after which a message is no longer resent once the caller has its response.
const MAX_SETTLE_SENDS: u32 = 5;

/// An action that the daemon must carry out for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message to the holder and pass its reply to [`KeyClaim::reply`].
    Send(DaemonId, KeyRequest),
    /// Forward the request, then call [`KeyClaim::answered`] or [`KeyClaim::failed`].
    Run,
    /// Return this answer to the caller. It may come from an earlier send.
    Return(ByteBuf),
    /// Return this failure to the caller. Its verdict covers all sends with the key that ended
    /// before this one began.
    Fail(Failure),
}

/// One send of a request with an idempotency key.
///
/// Call [`KeyClaim::tick`] every few milliseconds until [`KeyClaim::is_done`] returns `true`, which
/// may be after the response to the caller.
#[derive(Debug)]
pub struct KeyClaim {
    key: Key,
    id: ClaimId,
    fingerprint: Fingerprint,
    group: Group,
    deadline: Millis,
    rng: ChaCha8Rng,
    /// Whether a holder has reported a claim of another send.
    contended: bool,
    /// Whether a majority of the holders had no claim of another send in some round. This proves
    /// that no send that ended before this one began has run.
    unclaimed: bool,
    state: State,
}

#[derive(Debug)]
enum State {
    New,
    /// Collects the replies to the current round until the given time.
    Claiming(Millis, BTreeMap<DaemonId, ClaimReply>),
    /// Waits until the given time before the next round.
    BackingOff(Millis),
    Running,
    /// Stores the answer at a majority of the holders.
    Completing(Broadcast, ByteBuf),
    /// The caller has its response; the outcome is still being sent to the holders.
    Settling(Broadcast),
    Done,
}

/// A message that is sent repeatedly to the holders that have not confirmed it.
#[derive(Debug)]
struct Broadcast {
    request: KeyRequest,
    missing: BTreeSet<DaemonId>,
    next_send: Millis,
    sends: u32,
}

impl KeyClaim {
    /// Creates the state of a send. `deadline` is that of the caller; the time until then must be
    /// far shorter than the holders' retention period. `seed` randomises the delays between rounds,
    /// so that competing sends do not collide again.
    pub fn new(
        key: Key,
        send: SendId,
        fingerprint: Fingerprint,
        group: Group,
        deadline: Millis,
        seed: u64,
    ) -> Self {
        Self {
            key,
            id: ClaimId { send, round: 0 },
            fingerprint,
            group,
            deadline,
            rng: ChaCha8Rng::seed_from_u64(seed),
            contended: false,
            unclaimed: false,
            state: State::New,
        }
    }

    /// Returns whether the send is complete and needs no further calls of [`KeyClaim::tick`].
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Starts the first round and returns the messages to send.
    pub fn start(&mut self, now: Millis) -> Vec<Action> {
        self.begin_round(now)
    }

    /// Applies a change of the group. A group whose epoch is not later than the known one is
    /// ignored.
    pub fn set_group(&mut self, now: Millis, group: Group) -> Vec<Action> {
        if group.epoch <= self.group.epoch {
            return Vec::new();
        }
        let old = std::mem::replace(&mut self.group, group);
        match &mut self.state {
            State::Claiming(..) => {
                let mut actions = self.send_to_all(&old, &self.release());
                actions.extend(self.begin_round(now));
                actions
            }
            State::Completing(broadcast, _) => {
                broadcast.missing = self.group.holders.iter().cloned().collect();
                broadcast.resend(now)
            }
            _ => Vec::new(),
        }
    }

    /// Processes the reply of a holder. Replies to earlier rounds are ignored.
    pub fn reply(&mut self, now: Millis, from: &DaemonId, reply: KeyReply) -> Vec<Action> {
        if !self.group.holders.contains(from) {
            return Vec::new();
        }
        match (&mut self.state, reply) {
            (State::Claiming(_, replies), KeyReply::Claim(id, reply)) if id == self.id => {
                replies.insert(from.clone(), reply);
                let complete = replies.len() == self.group.holders.len();
                self.evaluate(now, complete)
            }
            (State::Completing(broadcast, _), KeyReply::Stored(id)) if id == self.id => {
                broadcast.missing.remove(from);
                self.return_stored()
            }
            (State::Settling(broadcast), KeyReply::Done(id) | KeyReply::Stored(id))
                if id == self.id =>
            {
                broadcast.missing.remove(from);
                if broadcast.missing.is_empty() {
                    self.state = State::Done;
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Processes timeouts: resends messages, starts the next round, or fails at the deadline.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let expired = now >= self.deadline;
        match &mut self.state {
            State::Claiming(until, _) if *until <= now || expired => self.evaluate(now, true),
            State::BackingOff(_) if expired => self.fail(now, self.unresolved_failure()),
            State::BackingOff(until) if *until <= now => self.begin_round(now),
            // The answer belongs to this request, so it is returned even though no majority has
            // stored it yet. The claim still prevents a second run.
            State::Completing(_, answer) if expired => {
                let answer = answer.clone();
                self.settle();
                vec![Action::Return(answer)]
            }
            State::Completing(broadcast, _) => broadcast.resend_if_due(now),
            State::Settling(broadcast) if broadcast.sends >= MAX_SETTLE_SENDS => {
                self.state = State::Done;
                Vec::new()
            }
            State::Settling(broadcast) => broadcast.resend_if_due(now),
            _ => Vec::new(),
        }
    }

    /// Records the answer to the request after [`Action::Run`]. It is returned to the caller once a
    /// majority of the holders has stored it, or at the deadline.
    pub fn answered(&mut self, now: Millis, answer: Vec<u8>) -> Vec<Action> {
        let answer = ByteBuf::from(answer);
        let request = KeyRequest::Complete {
            key: self.key.clone(),
            claim: self.id.clone(),
            fingerprint: self.fingerprint,
            answer: answer.clone(),
        };
        let mut broadcast = Broadcast::new(request, &self.group);
        let actions = broadcast.resend(now);
        self.state = State::Completing(broadcast, answer);
        actions
    }

    /// Records that the request failed after [`Action::Run`]. The verdict of `failure` must cover
    /// all attempts.
    pub fn failed(&mut self, now: Millis, failure: Failure) -> Vec<Action> {
        self.fail(now, failure)
    }

    fn begin_round(&mut self, now: Millis) -> Vec<Action> {
        if now >= self.deadline {
            return self.fail(now, self.unresolved_failure());
        }
        self.id.round += 1;
        self.state = State::Claiming(now.after(ROUND_TIMEOUT), BTreeMap::new());
        let request = KeyRequest::Claim {
            key: self.key.clone(),
            claim: self.id.clone(),
            fingerprint: self.fingerprint,
            epoch: self.group.epoch,
        };
        self.send_to_all(&self.group, &request)
    }

    /// Evaluates the replies to the current round. The send fails only when the round is
    /// `complete`, since the reply of one more holder may show that the request has run.
    fn evaluate(&mut self, now: Millis, complete: bool) -> Vec<Action> {
        let State::Claiming(_, replies) = &self.state else {
            return Vec::new();
        };
        let replies: Vec<(&DaemonId, &ClaimReply)> = replies.iter().collect();
        let other = |r: &ClaimReply| matches!(r, ClaimReply::Running | ClaimReply::Unresolved);
        self.contended |= replies.iter().any(|(_, reply)| other(reply));
        let free = |r: &ClaimReply| matches!(r, ClaimReply::Full | ClaimReply::Granted(_));
        let count = replies.iter().filter(|(_, reply)| free(reply)).count();
        self.unclaimed |= count >= self.group.majority();
        let finished = replies.iter().find_map(|(_, reply)| match reply {
            ClaimReply::Finished(answer) => Some(answer.clone()),
            _ => None,
        });
        if let Some(answer) = finished {
            return self.return_earlier(now, answer);
        }
        if now < self.deadline && has_majority(&replies, self.group.majority()) {
            self.state = State::Running;
            return vec![Action::Run];
        }
        if !complete {
            return Vec::new();
        }
        if let Some(failure) = self.refusal(&replies) {
            return self.fail(now, failure);
        }
        if now >= self.deadline {
            return self.fail(now, self.unresolved_failure());
        }
        let wait = self.backoff();
        self.state = State::BackingOff(now.after(wait));
        self.send_to_all(&self.group, &self.release())
    }

    /// Returns the failure that the replies prove, if they prove one.
    fn refusal(&self, replies: &[(&DaemonId, &ClaimReply)]) -> Option<Failure> {
        let majority = |matches: fn(&ClaimReply) -> bool| {
            let count = replies.iter().filter(|(_, reply)| matches(reply)).count();
            count >= self.group.majority()
        };
        if majority(|reply| matches!(reply, ClaimReply::Unresolved)) {
            return Some(Failure::may_have_run(Reason::KeyUnresolved));
        }
        if majority(|reply| matches!(reply, ClaimReply::OtherRequest)) {
            return Some(Failure::not_run(Reason::BadRequest));
        }
        let full = |reply: &ClaimReply| matches!(reply, ClaimReply::Full);
        if self.unclaimed && !self.contended && replies.iter().any(|(_, reply)| full(reply)) {
            return Some(Failure::not_run(Reason::Overloaded));
        }
        None
    }

    /// Returns the failure of a send that reached its deadline without a majority of grants.
    fn unresolved_failure(&self) -> Failure {
        if self.contended {
            return Failure::may_have_run(Reason::KeyUnresolved);
        }
        if self.unclaimed {
            return Failure::not_run(Reason::DeadlineExceeded);
        }
        Failure::may_have_run(Reason::KeyHoldersUnavailable)
    }

    fn return_earlier(&mut self, now: Millis, answer: Option<ByteBuf>) -> Vec<Action> {
        let response = match answer {
            Some(answer) => Action::Return(answer),
            None => Action::Fail(Failure {
                verdict: Verdict::Ran,
                reason: Reason::KeyUnresolved,
            }),
        };
        let mut actions = vec![response];
        actions.extend(self.begin_settling(now, self.release()));
        actions
    }

    fn return_stored(&mut self) -> Vec<Action> {
        let State::Completing(broadcast, answer) = &self.state else {
            return Vec::new();
        };
        let stored = self.group.holders.len() - broadcast.missing.len();
        if stored < self.group.majority() {
            return Vec::new();
        }
        let answer = answer.clone();
        self.settle();
        vec![Action::Return(answer)]
    }

    fn fail(&mut self, now: Millis, failure: Failure) -> Vec<Action> {
        let ran = matches!(self.state, State::Running) && failure.verdict != Verdict::NotRun;
        let request = if ran {
            KeyRequest::Abandon {
                key: self.key.clone(),
                claim: self.id.clone(),
            }
        } else {
            self.release()
        };
        let mut actions = vec![Action::Fail(failure)];
        actions.extend(self.begin_settling(now, request));
        actions
    }

    fn begin_settling(&mut self, now: Millis, request: KeyRequest) -> Vec<Action> {
        let mut broadcast = Broadcast::new(request, &self.group);
        let actions = broadcast.resend(now);
        self.state = State::Settling(broadcast);
        actions
    }

    /// Continues to send the answer to the remaining holders after the caller has received it.
    fn settle(&mut self) {
        let state = std::mem::replace(&mut self.state, State::Done);
        if let State::Completing(broadcast, _) = state
            && !broadcast.missing.is_empty()
        {
            self.state = State::Settling(broadcast);
        }
    }

    fn release(&self) -> KeyRequest {
        KeyRequest::Release {
            key: self.key.clone(),
            claim: self.id.clone(),
        }
    }

    fn send_to_all(&self, group: &Group, request: &KeyRequest) -> Vec<Action> {
        let holders = group.holders.iter();
        holders
            .map(|id| Action::Send(id.clone(), request.clone()))
            .collect()
    }

    fn backoff(&mut self) -> Millis {
        let (shortest, longest) = BACKOFF_RANGE;
        let doublings = self.id.round.min(16);
        let limit = shortest.0.saturating_mul(1 << doublings).min(longest.0);
        Millis(self.rng.random_range(shortest.0..=limit))
    }
}

impl Broadcast {
    fn new(request: KeyRequest, group: &Group) -> Self {
        Self {
            request,
            missing: group.holders.iter().cloned().collect(),
            next_send: Millis(0),
            sends: 0,
        }
    }

    fn resend(&mut self, now: Millis) -> Vec<Action> {
        self.next_send = now.after(ROUND_TIMEOUT);
        self.sends += 1;
        let missing = self.missing.iter();
        missing
            .map(|id| Action::Send(id.clone(), self.request.clone()))
            .collect()
    }

    fn resend_if_due(&mut self, now: Millis) -> Vec<Action> {
        if now < self.next_send {
            return Vec::new();
        }
        self.resend(now)
    }
}

/// Returns whether at least `majority` holders have granted the claim in incarnations that are
/// consistent with each other: no grant comes from an incarnation that another granting holder knew
/// to have been superseded, because the restarted holder had already copied records from it.
///
/// It checks that one holder is consistent with `majority - 1` others. With three holders, that is
/// any consistent pair.
fn has_majority(replies: &[(&DaemonId, &ClaimReply)], majority: usize) -> bool {
    let grants: Vec<(&DaemonId, &Grant)> = replies
        .iter()
        .filter_map(|(id, reply)| match reply {
            ClaimReply::Granted(grant) => Some((*id, grant)),
            _ => None,
        })
        .collect();
    let consistent_with = |a: &(&DaemonId, &Grant)| {
        let consistent = |b: &&(&DaemonId, &Grant)| is_current(a, b.1) && is_current(b, a.1);
        grants.iter().filter(consistent).count()
    };
    grants
        .iter()
        .any(|grant| consistent_with(grant) >= majority)
}

/// Returns whether `other` knows no later incarnation of the holder than the one that made `grant`.
fn is_current(grant: &(&DaemonId, &Grant), other: &Grant) -> bool {
    let latest = other.known.get(grant.0);
    latest.is_none_or(|boot| *boot <= grant.1.boot)
}
