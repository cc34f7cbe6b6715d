//! Leases under which daemons honour the keys of client accounts (`docs/design/accounts.md`).
//!
//! A daemon that is cut off does not learn that a key was taken away. It therefore honours keys only
//! while it holds a lease: a quorum has confirmed, after a question of the daemon, which
//! configuration is the newest, and the daemon has that one in force. The lease counts from before
//! the question was sent. A configuration that was accepted later than that can't be missing for
//! longer than the lease.
//!
//! Invariants: a lease ends at most one lease time after the moment at which the question was sent,
//! whenever and however often the answer arrives; an answer extends the lease only once the
//! configuration that it names is in force.

use std::collections::VecDeque;

use sycamoreflow_state::ids::{ConfigVersion, Millis};

use crate::failover::longest_search;

#[cfg(test)]
mod tests;

/// Part of the bound on revocations that the lease leaves out, as a divisor: clocks of hosts run at
/// rates that differ by less than a thousandth, and timers fire late by some milliseconds.
const MARGIN_DIVISOR: u64 = 20;

/// Number of questions in one lease time, so that a lease survives three that are lost.
const QUESTIONS_PER_LEASE: u64 = 4;

/// Time for which a replica collects questions before it asks the quorum for all of them at once.
pub const COLLECTION_TIME: Millis = Millis(500);

/// Time that a quorum needs to confirm a version once it has a leader, for the sum in
/// [`longest_renewal`]: the heartbeat interval of the replicas, in which a busy leader answers.
const CONFIRMATION_TIME: Millis = Millis(150);

/// Longest time without a leader after the loss of one, for the sum in [`longest_renewal`]: the
/// longest election timeout and one further round.
const LONGEST_ELECTION: Millis = Millis(1_900);

/// Longest time for which replicas in the minority of a divided group keep their daemons, for the sum
/// in [`longest_renewal`]: their leader steps down after 1.5 s, they disconnect 0.6 s later, and the
/// daemons try another replica within 0.1 s.
const MINORITY_TIME: Millis = Millis(2_200);

/// Maximum number of questions without an answer, and of answers whose configuration is not in
/// force yet. Older ones are forgotten, since they would end before the newer ones.
const MAX_PENDING: usize = 8;

/// Why a daemon holds no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// No replica has been asked within the lease time.
    NotAsked,
    /// No replica has answered.
    Unanswered,
    /// The newest configuration is not in force yet.
    ConfigurationMissing,
}

/// The lease of a daemon. Times must come from a clock that also runs while the host is suspended.
#[derive(Debug)]
pub struct KeyLease {
    duration: Millis,
    asked: VecDeque<Question>,
    /// Answers whose configuration is not in force yet, with the time of their question.
    unmet: VecDeque<(Millis, ConfigVersion)>,
    last_number: u64,
    next_question: Millis,
    valid_until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Question {
    number: u64,
    at: Millis,
}

impl KeyLease {
    /// Creates the state of a daemon that holds no lease. `bound` is the time after the
    /// acknowledgement of a configuration after which no daemon may honour a key that it takes away.
    pub fn new(bound: Millis) -> Self {
        Self {
            duration: lease_duration(bound),
            asked: VecDeque::new(),
            unmet: VecDeque::new(),
            last_number: 0,
            next_question: Millis(0),
            valid_until: Millis(0),
        }
    }

    /// Returns the number of a question that is sent to a replica after `now`. The next one is due
    /// after [`KeyLease::question_interval`].
    pub fn ask(&mut self, now: Millis) -> u64 {
        self.last_number += 1;
        if self.asked.len() >= MAX_PENDING {
            self.asked.pop_front();
        }
        self.asked.push_back(Question {
            number: self.last_number,
            at: now,
        });
        self.next_question = now.after(self.question_interval());
        self.last_number
    }

    /// Processes the answer to a question: after it was asked, a quorum has confirmed that `newest`
    /// is the newest configuration. `in_force` is that of this daemon. An answer to an unknown
    /// question has no effect.
    pub fn answered(
        &mut self,
        number: u64,
        newest: ConfigVersion,
        in_force: Option<ConfigVersion>,
    ) {
        let mut asked = self.asked.iter();
        let Some(at) = asked.find(|q| q.number == number).map(|q| q.at) else {
            return;
        };
        // A later answer counts from a later time, so earlier questions have lost their use.
        self.asked.retain(|q| q.number > number);
        if self.unmet.len() >= MAX_PENDING {
            self.unmet.pop_front();
        }
        self.unmet.push_back((at, newest));
        if let Some(in_force) = in_force {
            self.activated(in_force);
        }
    }

    /// Processes the activation of a configuration. Requests must be served with it from now on.
    pub fn activated(&mut self, in_force: ConfigVersion) {
        let duration = self.duration;
        for (at, newest) in &self.unmet {
            if *newest <= in_force {
                self.valid_until = self.valid_until.max(at.after(duration));
            }
        }
        self.unmet.retain(|(_, newest)| *newest > in_force);
    }

    /// Returns the time at which the lease ends.
    pub fn valid_until(&self) -> Millis {
        self.valid_until
    }

    /// Returns whether the daemon may honour keys.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }

    /// Returns the time between two questions.
    pub fn question_interval(&self) -> Millis {
        question_interval(self.duration)
    }

    /// Returns the delay after which a caller that is refused for want of a lease may retry: the
    /// time until the answer to the next question is expected.
    pub fn retry_after(&self, now: Millis) -> Millis {
        let answer = Millis(COLLECTION_TIME.0 + CONFIRMATION_TIME.0);
        Millis(self.next_question.since(now).0 + answer.0)
    }

    /// Returns why the lease has ended, for logs.
    pub fn lapse(&self, now: Millis) -> Lapse {
        let is_recent = |at: Millis| now.since(at) < self.duration;
        if self.unmet.iter().any(|(at, _)| is_recent(*at)) {
            return Lapse::ConfigurationMissing;
        }
        match self.asked.iter().any(|question| is_recent(question.at)) {
            true => Lapse::Unanswered,
            false => Lapse::NotAsked,
        }
    }
}

/// Returns the time for which an answer is valid, given the bound on revocations.
fn lease_duration(bound: Millis) -> Millis {
    Millis(bound.0 - bound.0 / MARGIN_DIVISOR)
}

fn question_interval(duration: Millis) -> Millis {
    Millis((duration.0 / QUESTIONS_PER_LEASE).max(1))
}

/// Returns the longest age of a lease in a mesh that loses at most `silent` replicas at once, or whose
/// control group is divided: the question before the loss has just been answered, the next one is
/// lost with the replica, and the subscription that takes its place may have to wait for an
/// election. All leases stay valid through
/// such a loss if this is below the bound on revocations, less its margin.
pub fn longest_renewal(bound: Millis, silence_timeout: Millis, silent: usize) -> Millis {
    let interval = question_interval(lease_duration(bound));
    // The search for a replica and the election run at the same time.
    let search = longest_search(silence_timeout, silent)
        .max(LONGEST_ELECTION)
        .max(MINORITY_TIME);
    let confirmation = COLLECTION_TIME.0 + CONFIRMATION_TIME.0;
    Millis(interval.0 + search.0 + confirmation)
}

/// Returns whether a lease for `bound` survives every loss that [`longest_renewal`] covers.
pub fn survives_losses(bound: Millis, silence_timeout: Millis, silent: usize) -> bool {
    longest_renewal(bound, silence_timeout, silent) < lease_duration(bound)
}
