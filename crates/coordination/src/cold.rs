//! Limit of the calls that a daemon sends to an upstream which is cold.
//!
//! After its start, an upstream bears few calls for a while, and crashes if it gets many more. The
//! daemon beside it knows every call that it sends, so a token bucket here bounds the calls of all
//! daemons in any second, also of those that know nothing of the cold start
//! (`docs/design/cold-endpoints.md`).
//!
//! Invariant: while the upstream is cold, at most `rate` + `burst` − [`MARGIN`] calls are sent in
//! any second, also if the daemon restarts meanwhile: a new limiter starts without tokens.

use sycamoreflow_state::config::ColdStart;
use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Calls by which the limiter stays below its limit in any second. Two calls that are sent within
/// one second plus the variation of their delays may arrive within one second.
pub const MARGIN: f64 = 1.0;

/// Number of reports that end a suspicion. A report may have been sent before the upstream became
/// cold and arrive late; the one after it was sent after the daemon had acknowledged that report.
const CONFIRMING_REPORTS: u8 = 2;

/// Lowest rate in calls per second, so that a wait is finite whatever the configuration says.
const MIN_RATE: f64 = 0.1;

/// The limiter of one upstream. All times are monotonic.
#[derive(Clone, Debug)]
pub struct ColdLimiter {
    cfg: Option<ColdStart>,
    /// When the upstream, of which nothing else is known, became cold.
    since: Millis,
    /// Until when the upstream is cold, as its latest report says. `None` without such a report.
    told: Option<Millis>,
    /// Number of reports that have to arrive before they are believed.
    unconfirmed: u8,
    tokens: f64,
    refilled: Millis,
}

impl ColdLimiter {
    /// Creates the limiter of an upstream that was announced `now`. It is cold until its first
    /// report says otherwise.
    pub fn new(now: Millis, cfg: Option<ColdStart>) -> Self {
        Self {
            cfg,
            since: now,
            told: None,
            unconfirmed: 0,
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Replaces the configuration. Without one, nothing is limited.
    pub fn configure(&mut self, cfg: Option<ColdStart>) {
        self.cfg = cfg;
    }

    /// Records that the upstream reports to be cold for another `cold_for`. A report that does not
    /// tell changes nothing.
    pub fn reported(&mut self, now: Millis, cold_for: Option<Millis>) {
        let Some(cold_for) = cold_for else {
            return;
        };
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
        self.told = Some(now.after(cold_for));
    }

    /// Records that the upstream may have become cold without a report of it. It counts as cold
    /// until enough reports say otherwise, or, if it never tells, for the configured time.
    pub fn suspect(&mut self, now: Millis) {
        self.since = now;
        if self.told.is_some() {
            self.unconfirmed = CONFIRMING_REPORTS;
        }
    }

    /// Returns whether the upstream is cold, or may be.
    pub fn is_cold(&self, now: Millis) -> bool {
        let Some(cfg) = &self.cfg else {
            return false;
        };
        let until = self.told.unwrap_or(self.since.after(cfg.duration));
        self.unconfirmed > 0 || now < until
    }

    /// Returns the time until the upstream takes another call, or zero if it takes one now.
    pub fn wait(&mut self, now: Millis) -> Millis {
        if !self.is_cold(now) {
            return Millis(0);
        }
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        Millis((missing / self.rate() * 1_000.0).ceil() as u64)
    }

    /// Counts a call that is about to be sent. Returns `false` if it must not be sent.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.is_cold(now) && self.tokens < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.since(self.refilled).0 as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed * self.rate()).min(self.capacity());
        self.refilled = self.refilled.max(now);
    }

    /// Returns the largest number of calls in any second.
    fn limit(&self) -> f64 {
        let limit = self.cfg.map(|cfg| cfg.rate + f64::from(cfg.burst) - MARGIN);
        limit.unwrap_or_default()
    }

    /// Returns the number of tokens that can accumulate, at least the one that a call needs.
    fn capacity(&self) -> f64 {
        let burst = self.cfg.map_or(0, |cfg| cfg.burst);
        (f64::from(burst) - MARGIN).max(1.0)
    }

    /// Returns the tokens per second: the configured rate, or less where the limit leaves less
    /// beside the capacity.
    fn rate(&self) -> f64 {
        let rate = self.cfg.map_or(0.0, |cfg| cfg.rate);
        rate.min(self.limit() - self.capacity()).max(MIN_RATE)
    }
}
