//! A daemon's part of the quotas: the buckets of the accounts that it sees, and its reports.

use indexmap::IndexMap;
use sycamoreflow_state::ids::Millis;

use super::{
    AccountId, AccountUse, CREDIT_LIFE, Credit, LEASE_LIFE, Lease, QuotaGrants, QuotaReport,
    SetNumber, UNITS,
};

/// Minimum time between two reports. The leader answers reports at its ticks, which are as far
/// apart.
const URGENT_INTERVAL: Millis = Millis(50);
/// Interval of full reports, which renew leases. Three of them may be lost within [`LEASE_LIFE`].
const FULL_INTERVAL: Millis = Millis(1_000);
/// Time after which credits that weren't granted are requested again.
const ANSWER_TIMEOUT: Millis = Millis(100);
/// Maximum number of requests of an account that wait for a credit. More would exceed the pools of
/// all but the largest accounts.
const MAX_WAITING: u32 = 64;
/// How long requests aren't made to wait for credits after the pool of their account was empty.
const EXHAUSTED_TIME: Millis = Millis(500);
/// Interval at which refused requests are told to return while the daemon has no lease.
const UNLEASED_RETRY_INTERVAL: Millis = Millis(100);
/// Longest time after which a refused request is told to return. Times beyond it start anew, so
/// that requests return evenly spread also when more are refused than the rate permits.
const MAX_RETRY_AFTER: Millis = Millis(4_000);

/// Permission to run one request. It has to be returned with [`QuotaHolder::settle`] or
/// [`QuotaHolder::refund`] when the request has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permit {
    /// State of the bucket that the token came from, see `Account::epoch`.
    epoch: Option<u64>,
    /// Time until which the credit may be used, if it was one.
    credit_until: Option<Millis>,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The request may run.
    Granted(Permit),
    /// A token or a credit may arrive within the given time. The caller has to call
    /// [`QuotaHolder::poll`] until it returns a permit, or [`QuotaHolder::give_up`].
    Wait,
    /// The account has reached its limit. The request may return after this time.
    Refused(Millis),
}

/// The accounts with a limit at one daemon. Times are those of a clock that also runs while the
/// host is suspended.
#[derive(Clone, Debug)]
pub struct QuotaHolder {
    incarnation: u64,
    set: SetNumber,
    /// Highest term of a leader from which an answer was received.
    leader_term: u64,
    /// Time until which the leases of `set` are valid.
    valid_until: Millis,
    reported_at: Millis,
    /// Time of the last full report.
    full_at: Millis,
    answered_at: Millis,
    /// Time of the first report since the last answer.
    unanswered_since: Option<Millis>,
    urgent: bool,
    accounts: IndexMap<AccountId, Account>,
}

#[derive(Clone, Debug, Default)]
struct Account {
    asked: u64,
    /// Value of `asked` in the last report.
    reported: u64,
    lease: Lease,
    tokens: u64,
    refilled: Millis,
    /// Permits that may still be refunded.
    outstanding: u64,
    /// Number of times that permits became void for refunds: with their tokens, the bucket would
    /// have been full in the meantime and discarded them.
    epoch: u64,
    /// Requests that wait for a token.
    waiting: u32,
    /// Credits for which the bucket has no room, and the time until which they may be used.
    ready: u32,
    ready_until: Millis,
    /// Credits that were requested and aren't answered, with the time of the report.
    requested: Vec<(Millis, AccountUse)>,
    /// Time of the last report that was answered with credits.
    credited: Millis,
    exhausted_until: Millis,
    /// Time at which the last refused request was told to return.
    promised_until: Millis,
}

impl QuotaHolder {
    /// Creates a holder without leases. `incarnation` must increase with every start of the daemon.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            set: SetNumber::default(),
            leader_term: 0,
            valid_until: Millis(0),
            reported_at: Millis(0),
            full_at: Millis(0),
            answered_at: Millis(0),
            unanswered_since: None,
            urgent: false,
            accounts: IndexMap::new(),
        }
    }

    /// Sets the accounts that have a limit. Others aren't counted any longer.
    pub fn set_limited(&mut self, limited: impl IntoIterator<Item = AccountId>) {
        let mut old = std::mem::take(&mut self.accounts);
        for id in limited {
            let account = old.swap_remove(&id).unwrap_or_default();
            self.accounts.insert(id, account);
        }
    }

    /// Returns whether the holder has leases that are valid.
    pub fn has_leases(&self, now: Millis) -> bool {
        now < self.valid_until
    }

    /// Decides on a request of an account, which can wait for `max_wait`. Accounts without a limit
    /// are always granted.
    pub fn take(&mut self, now: Millis, id: AccountId, max_wait: Millis) -> Take {
        self.expire(now);
        let is_answered = self
            .unanswered_since
            .is_none_or(|since| now.since(since) < CREDIT_LIFE);
        let Some(account) = self.accounts.get_mut(&id) else {
            return Take::Granted(Permit::default());
        };
        account.asked += 1;
        account.refill(now);
        let token = account.spend(u64::from(account.waiting) + 1);
        let unclaimed = account.ready > account.waiting;
        let permit = token.or_else(|| unclaimed.then(|| account.use_ready(now)).flatten());
        if let Some(permit) = permit {
            return Take::Granted(permit);
        }
        let ahead = u64::from(account.waiting) + 1;
        let refills_in_time = account.time_until(ahead).is_some_and(|t| t <= max_wait);
        let may_get_credit = is_answered
            && max_wait > Millis(0)
            && now >= account.exhausted_until
            && account.waiting < MAX_WAITING;
        if !refills_in_time && !may_get_credit {
            return Take::Refused(account.promise_return(now));
        }
        account.waiting += 1;
        self.urgent |= may_get_credit;
        Take::Wait
    }

    /// Returns a permit for a waiting request if there is one now.
    pub fn poll(&mut self, now: Millis, id: AccountId) -> Option<Permit> {
        self.expire(now);
        let Some(account) = self.accounts.get_mut(&id) else {
            return Some(Permit::default());
        };
        account.refill(now);
        let permit = account.use_ready(now).or_else(|| account.spend(1))?;
        account.waiting = account.waiting.saturating_sub(1);
        Some(permit)
    }

    /// Ends the wait of a request without a permit. Returns the time after which it may return.
    pub fn give_up(&mut self, now: Millis, id: AccountId) -> Millis {
        let Some(account) = self.accounts.get_mut(&id) else {
            return Millis(0);
        };
        account.waiting = account.waiting.saturating_sub(1);
        account.promise_return(now)
    }

    /// Returns the time until the bucket of an account has a whole token, if its lease refills it.
    pub fn time_until_token(&mut self, now: Millis, id: AccountId) -> Option<Millis> {
        let account = self.accounts.get_mut(&id)?;
        account.refill(now);
        account.time_until(1)
    }

    /// Ends a request that has run or may have run.
    pub fn settle(&mut self, id: AccountId, permit: Permit) {
        if let Some(account) = self.accounts.get_mut(&id)
            && permit.epoch == Some(account.epoch)
        {
            account.outstanding = account.outstanding.saturating_sub(1);
        }
    }

    /// Ends a request that has not run, and returns its token unless the bucket would have
    /// discarded it.
    pub fn refund(&mut self, now: Millis, id: AccountId, permit: Permit) {
        self.expire(now);
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        account.refill(now);
        if permit.epoch == Some(account.epoch) && account.outstanding > 0 {
            account.outstanding -= 1;
            account.tokens += UNITS;
        }
        if let Some(until) = permit.credit_until {
            account.add_ready(now, 1, until);
        }
    }

    /// Returns the time at which the next report is due, or `None` while no account is in use.
    pub fn next_report(&self) -> Option<Millis> {
        let full = self.full_at.after(FULL_INTERVAL);
        if self.urgent {
            return Some(self.reported_at.after(URGENT_INTERVAL).min(full));
        }
        let mut accounts = self.accounts.values();
        accounts.any(Account::is_in_use).then_some(full)
    }

    /// Returns whether a report is urgent, because a request waits for the answer.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Returns the report to send now.
    pub fn report(&mut self, now: Millis) -> QuotaReport {
        self.expire(now);
        let at = now.max(self.reported_at.after(Millis(1)));
        self.reported_at = at;
        self.unanswered_since.get_or_insert(at);
        self.urgent = false;
        let is_known = self.leader_term == self.set.term;
        let full = !is_known || now.since(self.full_at) >= FULL_INTERVAL;
        if full {
            self.full_at = at;
        }
        let mut held = Vec::new();
        let mut accounts = Vec::new();
        for (&id, account) in &mut self.accounts {
            account.refill(now);
            if account.lease != Lease::default() && !is_known {
                held.push((id, account.lease));
            }
            let used = account.use_since(now, id);
            if full && account.is_in_use() || used.waiting > 0 || used.stock > 0 {
                account.reported = account.asked;
                account.requested.push((at, used));
                accounts.push(used);
            }
        }
        QuotaReport {
            incarnation: self.incarnation,
            at,
            set: self.set,
            held: (!is_known).then_some(held),
            full,
            accounts,
        }
    }

    /// Applies an answer of the leader. Returns whether waiting requests should be polled.
    pub fn apply(&mut self, now: Millis, grants: &QuotaGrants) -> bool {
        let is_ours = grants.incarnation == self.incarnation && grants.at <= self.reported_at;
        if !is_ours || grants.set.term < self.leader_term {
            return false;
        }
        self.expire(now);
        if grants.at > self.answered_at {
            self.answered_at = grants.at;
            self.unanswered_since = None;
        }
        if grants.set.term > self.leader_term {
            self.leader_term = grants.set.term;
            // The new leader has to learn which leases are in use here.
            self.urgent |= grants.leases.is_none();
        }
        if let Some(leases) = &grants.leases
            && now < grants.at.after(LEASE_LIFE)
            && self.is_next(grants)
        {
            self.install(now, grants.set, leases);
            self.valid_until = grants.at.after(LEASE_LIFE);
        }
        if now < grants.at.after(CREDIT_LIFE) {
            for credit in &grants.credits {
                if let Some(account) = self.accounts.get_mut(&credit.account) {
                    account.add_credit(now, grants.at, credit);
                }
            }
        }
        true
    }

    fn is_next(&self, grants: &QuotaGrants) -> bool {
        match grants.set.term == self.set.term {
            true => grants.set.number > self.set.number,
            false => grants.replaces == Some(self.set),
        }
    }

    fn install(&mut self, now: Millis, set: SetNumber, leases: &[(AccountId, Lease)]) {
        self.set = set;
        let leases: IndexMap<AccountId, Lease> = leases.iter().copied().collect();
        for (id, account) in &mut self.accounts {
            account.refill(now);
            account.lease = leases.get(id).copied().unwrap_or_default();
            account.limit_tokens();
        }
    }

    /// Drops all leases with their tokens if they have expired.
    fn expire(&mut self, now: Millis) {
        if now < self.valid_until || self.valid_until == Millis(0) {
            return;
        }
        self.valid_until = Millis(0);
        for account in self.accounts.values_mut() {
            account.lease = Lease::default();
            account.limit_tokens();
        }
    }
}

impl Account {
    fn is_in_use(&self) -> bool {
        self.asked != self.reported || self.lease != Lease::default() || self.waiting > 0
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.since(self.refilled);
        self.refilled = now;
        let earned = elapsed.0.saturating_mul(self.lease.rate);
        self.tokens = self.tokens.saturating_add(earned);
        self.limit_tokens();
    }

    /// Discards the tokens that exceed the burst.
    fn limit_tokens(&mut self) {
        let limit = self.lease.burst_units();
        if self.tokens.saturating_add(self.outstanding * UNITS) > limit {
            self.epoch += 1;
            self.outstanding = 0;
        }
        self.tokens = self.tokens.min(limit);
    }

    /// Takes a token if the bucket has at least `needed`.
    fn spend(&mut self, needed: u64) -> Option<Permit> {
        if self.tokens < needed * UNITS {
            return None;
        }
        self.tokens -= UNITS;
        self.outstanding += 1;
        Some(Permit {
            epoch: Some(self.epoch),
            credit_until: None,
        })
    }

    fn use_ready(&mut self, now: Millis) -> Option<Permit> {
        if self.ready == 0 || now >= self.ready_until {
            self.ready = 0;
            return None;
        }
        self.ready -= 1;
        // With room in the bucket, the credit is a token of it, which can be returned for longer.
        if self.tokens + (self.outstanding + 1) * UNITS <= self.lease.burst_units() {
            self.tokens += UNITS;
            return self.spend(1);
        }
        Some(Permit {
            epoch: None,
            credit_until: Some(self.ready_until),
        })
    }

    fn add_ready(&mut self, now: Millis, requests: u32, until: Millis) {
        if now >= self.ready_until {
            self.ready = 0;
        }
        if requests == 0 || now >= until {
            return;
        }
        self.ready_until = match self.ready {
            0 => until,
            _ => self.ready_until.min(until),
        };
        self.ready += requests;
    }

    fn add_credit(&mut self, now: Millis, at: Millis, credit: &Credit) {
        if self.credited >= at {
            return;
        }
        self.credited = at;
        self.requested.retain(|(requested, _)| *requested > at);
        self.refill(now);
        let for_waiting = credit.requests.min(self.waiting.saturating_sub(self.ready));
        if credit.requests < self.waiting.saturating_sub(self.ready) {
            self.exhausted_until = now.after(EXHAUSTED_TIME);
        }
        let room = self.lease.burst_units().saturating_sub(self.tokens) / UNITS;
        let stored = u64::from(credit.requests - for_waiting).min(room);
        self.tokens += stored * UNITS;
        self.limit_tokens();
        self.add_ready(now, credit.requests - stored as u32, at.after(CREDIT_LIFE));
    }

    /// Returns the time until the bucket has a number of whole tokens.
    fn time_until(&self, tokens: u64) -> Option<Millis> {
        if self.lease.rate == 0 || u64::from(self.lease.burst) < tokens {
            return None;
        }
        let missing = (tokens * UNITS).saturating_sub(self.tokens);
        Some(Millis(missing.div_ceil(self.lease.rate)))
    }

    /// Returns the use of the account, without the credits that have been requested already.
    fn use_since(&mut self, now: Millis, id: AccountId) -> AccountUse {
        self.requested
            .retain(|(at, _)| now.since(*at) < ANSWER_TIMEOUT);
        let mut used = AccountUse {
            account: id,
            asked: self.asked,
            waiting: self.waiting.saturating_sub(self.ready),
            stock: self.missing_stock(),
        };
        for (_, requested) in &self.requested {
            used.waiting = used.waiting.saturating_sub(requested.waiting);
            used.stock = used.stock.saturating_sub(requested.stock);
        }
        used
    }

    /// Returns the number of credits that fill half of the bucket.
    fn missing_stock(&self) -> u32 {
        let stock = u64::from(self.lease.burst.div_ceil(2));
        stock.saturating_sub(self.tokens / UNITS) as u32
    }

    /// Returns when a refused request may return: in the order of refusal, at the rate at which
    /// the account is refilled here.
    fn promise_return(&mut self, now: Millis) -> Millis {
        let interval = match self.lease.rate {
            0 => UNLEASED_RETRY_INTERVAL,
            rate => Millis(UNITS.div_ceil(rate)),
        };
        let first = self.time_until(1).unwrap_or(UNLEASED_RETRY_INTERVAL);
        let next = self.promised_until.after(interval).max(now.after(first));
        self.promised_until = match next.since(now) <= MAX_RETRY_AFTER {
            true => next,
            false => now.after(first.min(MAX_RETRY_AFTER)),
        };
        self.promised_until.since(now)
    }
}
