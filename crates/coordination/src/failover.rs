//! Failover of a daemon's subscription: which replica it tries next, and when.
//!
//! A replica that is frozen or cut off sends neither an answer nor a refusal, so an attempt to
//! subscribe to it ends only by a timeout. A daemon therefore does not wait for the end of an
//! attempt: it starts the next one after a delay, keeps the earlier ones open, and takes the first
//! subscription that is admitted. [`longest_search`] computes from the settings how long the search
//! takes at most if several replicas are silent (`docs/design.md`, section 2.6).
//!
//! Invariants:
//! - At most one attempt per replica is in progress, and at most [`MAX_OVERLAPPING`] in total.
//! - Every known replica without an attempt in progress is tried once before any is tried again.
//! - Replicas that were silent when they were last tried come after all others.

use indexmap::{IndexMap, IndexSet};
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use sycamoreflow_state::ids::{DaemonId, Millis};

use backoff::{BACKOFF_MIN, Backoff};

mod backoff;

#[cfg(test)]
mod tests;

/// Largest number of replicas whose simultaneous loss a control group of seven voters tolerates.
pub const MAX_SILENT_REPLICAS: usize = 3;

/// Maximum number of attempts in progress: one at each silent replica and one at a replica that
/// answers.
pub const MAX_OVERLAPPING: usize = MAX_SILENT_REPLICAS + 1;

/// Delay between the starts of two attempts while the daemon replaces a subscription that was
/// silent, as a divisor of the silence timeout. The daemon has been out of date for that timeout
/// already.
const DELAY_DIVISOR_AFTER_SILENCE: u64 = 5;

/// The same delay in all other cases, such as the restart of a replica. It is longer, because many
/// daemons may reconnect at the same time and replicas are slower to answer then.
const DELAY_DIVISOR: u64 = 2;

/// Delay of the next attempt after a replica has completed its handshake. Such a replica runs and
/// answers once it knows whether it has a quorum, which takes up to an election after a restart of
/// the group. Trying the other replicas meanwhile would only slow the election down.
const ADMISSION_DELAY: Millis = Millis(900);

/// What a daemon has to do next to find a replica that admits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Start an attempt at this replica.
    Start(DaemonId),
    /// Do nothing until this time, or until an attempt makes progress.
    WaitUntil(Millis),
    /// Do nothing until an attempt makes progress.
    Wait,
}

/// How an attempt or a subscription has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The replica has sent nothing for the time of a timeout.
    Silent,
    /// The replica, or the system of its host, has refused or closed the link.
    Closed,
    /// The replica has asked to wait before the next attempt.
    RetryAfter(Millis),
}

/// The state of a daemon's search for a replica.
#[derive(Debug)]
pub struct Failover {
    silence_timeout: Millis,
    max_backoff: Millis,
    backoff: Backoff,
    /// Delay between the starts of two attempts in the present search.
    delay: Millis,
    /// Replicas still to be tried in this pass, the next one last.
    untried: Vec<DaemonId>,
    /// Attempts in progress. The value is the time until which the attempt prevents others, because
    /// its replica has completed the handshake.
    in_progress: IndexMap<DaemonId, Millis>,
    /// Replicas that were silent when they were last tried.
    silent: IndexSet<DaemonId>,
    next_start: Millis,
    passes: u64,
}

impl Failover {
    /// Creates the state of a daemon that has just started and may try a replica immediately.
    ///
    /// `max_backoff` bounds the wait after a failed attempt. `silence_timeout` is the time without
    /// a message after which a link ends.
    pub fn new(silence_timeout: Millis, max_backoff: Millis) -> Self {
        Self {
            silence_timeout,
            max_backoff,
            backoff: Backoff::new(max_backoff),
            delay: Millis(silence_timeout.0 / DELAY_DIVISOR),
            untried: Vec::new(),
            in_progress: IndexMap::new(),
            silent: IndexSet::new(),
            next_start: Millis(0),
            passes: 0,
        }
    }

    /// Returns the next step, given the replicas that the daemon knows. After [`Step::Start`], the
    /// attempt counts as in progress until [`failed`](Self::failed) or
    /// [`admitted`](Self::admitted).
    pub fn next_step(&mut self, now: Millis, known: &[DaemonId], rng: &mut impl Rng) -> Step {
        if self.in_progress.len() >= MAX_OVERLAPPING {
            return Step::Wait;
        }
        let decided_at = self.in_progress.values().max().copied();
        let start = self.next_start.max(decided_at.unwrap_or_default());
        if now < start {
            return Step::WaitUntil(start);
        }
        let is_idle = |replica: &DaemonId| !self.in_progress.contains_key(replica);
        self.untried.retain(|r| known.contains(r) && is_idle(r));
        if self.untried.is_empty() {
            self.untried = known.iter().filter(|r| is_idle(r)).cloned().collect();
            self.untried.shuffle(rng);
            // The last element is tried first.
            let silent = &self.silent;
            self.untried
                .sort_by_key(|replica| !silent.contains(replica));
        }
        let Some(replica) = self.untried.pop() else {
            return Step::Wait;
        };
        if self.untried.is_empty() {
            self.passes += 1;
        }
        self.next_start = now.after(self.delay);
        self.in_progress.insert(replica.clone(), now);
        Step::Start(replica)
    }

    /// Returns how often the daemon has started an attempt at the last untried replica.
    pub fn passes(&self) -> u64 {
        self.passes
    }

    /// Records that a replica has completed the handshake of an attempt, so that it runs.
    pub fn answered(&mut self, now: Millis, replica: &DaemonId) {
        self.silent.shift_remove(replica);
        if let Some(decided_at) = self.in_progress.get_mut(replica) {
            *decided_at = now.after(ADMISSION_DELAY);
        }
    }

    /// Records that an attempt has failed. Returns the time until the next one.
    pub fn failed(
        &mut self,
        now: Millis,
        replica: &DaemonId,
        ended: Ended,
        rng: &mut impl Rng,
    ) -> Millis {
        self.in_progress.shift_remove(replica);
        self.record(replica, ended);
        let wait = self.backoff.next_wait(rng, self.untried.is_empty());
        self.next_start = match ended {
            Ended::RetryAfter(asked) => {
                let jitter = Millis(rng.random_range(0..=BACKOFF_MIN.0));
                now.after(asked).after(jitter)
            }
            Ended::Silent | Ended::Closed => self.next_start.min(now.after(wait)),
        };
        self.next_start.since(now)
    }

    /// Records that an attempt has been admitted. The other attempts are abandoned.
    pub fn admitted(&mut self, replica: &DaemonId) {
        self.silent.shift_remove(replica);
        self.in_progress.clear();
    }

    /// Records that a subscription has ended after `lasted`, and starts a new search. Returns the
    /// time until the first attempt.
    pub fn subscription_ended(
        &mut self,
        now: Millis,
        replica: &DaemonId,
        ended: Ended,
        lasted: Millis,
        rng: &mut impl Rng,
    ) -> Millis {
        if lasted > self.max_backoff {
            self.backoff.reset();
        }
        self.untried.clear();
        let divisor = match ended {
            Ended::Silent => DELAY_DIVISOR_AFTER_SILENCE,
            Ended::Closed | Ended::RetryAfter(_) => DELAY_DIVISOR,
        };
        self.delay = Millis(self.silence_timeout.0 / divisor);
        self.next_start = Millis(u64::MAX);
        self.failed(now, replica, ended, rng)
    }

    fn record(&mut self, replica: &DaemonId, ended: Ended) {
        if ended == Ended::Silent {
            self.silent.insert(replica.clone());
        } else {
            self.silent.shift_remove(replica);
        }
    }
}

/// Returns the longest time from the moment at which `silent` replicas fall silent together until
/// the attempt at a replica that answers has started, for a daemon that was subscribed to one of
/// them in a stable subscription.
///
/// The silent replica that the daemon was subscribed to is tried last, and each of the others may
/// be drawn before a replica that answers.
pub fn longest_search(silence_timeout: Millis, silent: usize) -> Millis {
    let delay = silence_timeout.0 / DELAY_DIVISOR_AFTER_SILENCE;
    let others = silent.saturating_sub(1) as u64;
    Millis(silence_timeout.0 + BACKOFF_MIN.0 + others * delay)
}
