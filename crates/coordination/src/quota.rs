//! Quotas of client accounts over all daemons, as leases of rates and credits
//! (`docs/design/quotas.md`).
//!
//! Each daemon has a token bucket for each account that it sees. The leader leases to it a part of
//! the account's rate, at which the bucket is refilled, and a part of the account's burst, to which
//! it is bounded ([`Lease`]). The rate that isn't leased fills a pool at the leader, which grants
//! single requests ([`Credit`]) to daemons that run short: those that see an account for the first
//! time, and those that see it so rarely that a part of its rate would be of no use to them.
//!
//! In any window, the requests that are permitted are at most the sum of the leased rates and the
//! rate of the pool times its length, plus the sum of the leased bursts, the burst of the pool and
//! the credits that are under way. `Budget` divides the limit of an account such that this sum
//! never exceeds it. That sum holds because of the following invariants:
//!
//! - A raised bucket isn't filled, and a lowered one discards tokens.
//! - A lease counts as used by its daemon until the daemon has confirmed a later one, or until it
//!   has expired. Its life counts from the moment when the daemon *sent* the report to which it is
//!   the answer, on a clock that also runs while the host is suspended.
//! - A credit may be used for [`CREDIT_LIFE`] from that moment, or becomes a token of the bucket.
//!   Each report receives credits at most once.
//! - A new leader leaves all leases as daemons report them, and grants no credits, until nothing
//!   that its predecessors granted and that isn't reported can be valid.
//! - A daemon that has restarted has neither leases nor tokens.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use sycamoreflow_state::config::{Quota, Share};
use sycamoreflow_state::ids::{Millis, TenantName};

use crate::raft::QUORUM_TIMEOUT;

pub mod allocator;
pub mod holder;
#[cfg(test)]
mod tests;

/// How long a daemon may use its leases after the report that they answer. It covers the loss of
/// the leader and of the replica that serves the daemon: silence of a link, election, admission.
pub const LEASE_LIFE: Millis = Millis(4_000);
/// How long a credit may be used after the report that it answers. Covers a round trip to a busy
/// leader, and bounds the credits that are under way.
pub const CREDIT_LIFE: Millis = Millis(500);
/// How long an earlier leader may continue to answer after its successor was elected: until it
/// notices that it has no quorum, with a margin for answers of replicas that were under way.
pub const LEADER_OVERLAP: Millis = Millis(QUORUM_TIMEOUT.0 + 500);

/// Units per request in which tokens are counted: a rate of 1 request/s earns 1000 units per
/// millisecond.
const UNITS: u64 = 1_000_000;
/// Units per millisecond of a rate of 1 request/s.
const UNITS_PER_MS: u64 = UNITS / 1_000;
/// Smallest number of requests by which an account may exceed its rate in a window. With less,
/// there are no whole requests to divide between daemons.
const MIN_BURST: u64 = 4;
/// Part of a rate that is never leased, so that the pool can serve demand that moves.
const POOL_PART: u64 = 4;
/// Rate that isn't leased in addition, in requests/s, up to half of the rate. Small accounts move
/// faster than leases can follow.
const SPARSE_POOL_RATE: u64 = 10;

/// Identifies an account in messages, which contain many of them. It is a hash of the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountId(pub u64);

impl AccountId {
    /// Returns the identifier of the account with this name.
    pub fn of(name: &TenantName) -> Self {
        let hash: [u8; 32] = Sha256::digest(name.as_str().as_bytes()).into();
        let (first, _) = hash.split_at(8);
        Self(first.iter().fold(0, |id, &byte| id << 8 | u64::from(byte)))
    }
}

/// How far the requests of an account may exceed its quota in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Millis,
    /// Share of the quota in a window by which it may be exceeded.
    pub overage: Share,
    /// Number of requests by which it may be exceeded in addition.
    pub slack: u32,
}

impl Tolerance {
    /// Returns the largest number of requests of an account that may run in a window, in units.
    fn limit_units(&self, quota: Quota) -> u128 {
        let units = u128::from(UNITS);
        let rate = u128::from(quota.rate_per_s) * u128::from(UNITS_PER_MS);
        let base = rate * u128::from(self.window.0) + u128::from(quota.burst) * units;
        let overage = base * u128::from(self.overage.0) / u128::from(Share::ALL.0);
        base + overage + u128::from(self.slack) * units
    }
}

/// Division of the limit of an account between leases and the pool. It depends on the quota and the
/// tolerance only, so that a leader and its successor use the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Budget {
    /// Rate of all leases together, in units per millisecond.
    leased_rate: u64,
    /// Bounds of all buckets together, in requests.
    leased_burst: u64,
    /// Rate that the pool has in addition to what isn't leased, in units per millisecond.
    pool_rate: u64,
    /// Largest rate of the pool, which bounds the credits that are under way.
    max_pool_rate: u64,
    /// Bound of the pool in units.
    pool_burst: u64,
}

impl Budget {
    fn new(quota: Quota, tolerance: &Tolerance) -> Self {
        let rate = u64::from(quota.rate_per_s) * UNITS_PER_MS;
        let by_rate = u128::from(rate) * u128::from(tolerance.window.0);
        let burst = tolerance.limit_units(quota).saturating_sub(by_rate);
        let burst = u64::try_from(burst)
            .unwrap_or(u64::MAX)
            .max(MIN_BURST * UNITS);
        let max_pool_rate = rate.min(burst / 3 / CREDIT_LIFE.0);
        let sparse = (rate / 2).min(SPARSE_POOL_RATE * UNITS_PER_MS);
        let pool_rate = (rate / POOL_PART + sparse).min(max_pool_rate);
        let rest = burst - max_pool_rate * CREDIT_LIFE.0;
        let pool_burst = rest / 8;
        Self {
            leased_rate: rate - pool_rate,
            leased_burst: (rest - pool_burst) / UNITS,
            pool_rate,
            max_pool_rate,
            pool_burst,
        }
    }
}

/// Part of an account's quota that a daemon may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct Lease {
    /// Rate at which the bucket is refilled, in units (millionths of a request) per millisecond.
    pub rate: u64,
    /// Bound of the bucket in requests.
    pub burst: u32,
}

impl From<(u64, u32)> for Lease {
    fn from((rate, burst): (u64, u32)) -> Self {
        Self { rate, burst }
    }
}

impl From<Lease> for (u64, u32) {
    fn from(lease: Lease) -> Self {
        (lease.rate, lease.burst)
    }
}

impl Lease {
    fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    fn burst_units(self) -> u64 {
        u64::from(self.burst) * UNITS
    }
}

/// Identifies a set of leases: the term of the leader that granted it, and a number that increases
/// with every set for a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct SetNumber {
    /// Term of the leader.
    pub term: u64,
    /// Number of the set within the term.
    pub number: u64,
}

impl From<(u64, u64)> for SetNumber {
    fn from((term, number): (u64, u64)) -> Self {
        Self { term, number }
    }
}

impl From<SetNumber> for (u64, u64) {
    fn from(set: SetNumber) -> Self {
        (set.term, set.number)
    }
}

/// What a daemon reports to the leader about the accounts that are in use at it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct QuotaReport {
    /// Number that increases with every start of the daemon.
    pub incarnation: u64,
    /// Time of the report on the clock of the daemon. It increases with every report.
    pub at: Millis,
    /// Set of leases in use.
    pub set: SetNumber,
    /// Leases of that set, for a leader that has not granted them itself.
    pub held: Option<Vec<(AccountId, Lease)>>,
    /// Whether `accounts` contains all accounts that are in use or leased. Otherwise it contains
    /// those that need credits.
    pub full: bool,
    /// Use of the accounts.
    pub accounts: Vec<AccountUse>,
}

/// Use of one account at a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(AccountId, u64, u32, u32)",
    into = "(AccountId, u64, u32, u32)"
)]
pub struct AccountUse {
    /// The account.
    pub account: AccountId,
    /// Requests since the daemon has started.
    pub asked: u64,
    /// Requests that wait for a credit.
    pub waiting: u32,
    /// Credits that the bucket has room for, for later requests.
    pub stock: u32,
}

impl From<(AccountId, u64, u32, u32)> for AccountUse {
    fn from((account, asked, waiting, stock): (AccountId, u64, u32, u32)) -> Self {
        Self {
            account,
            asked,
            waiting,
            stock,
        }
    }
}

impl From<AccountUse> for (AccountId, u64, u32, u32) {
    fn from(used: AccountUse) -> Self {
        (used.account, used.asked, used.waiting, used.stock)
    }
}

/// Credits of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(AccountId, u32)", into = "(AccountId, u32)")]
pub struct Credit {
    /// The account.
    pub account: AccountId,
    /// Number of requests that may run. 0 if the pool is empty.
    pub requests: u32,
}

impl From<(AccountId, u32)> for Credit {
    fn from((account, requests): (AccountId, u32)) -> Self {
        Self { account, requests }
    }
}

impl From<Credit> for (AccountId, u32) {
    fn from(credit: Credit) -> Self {
        (credit.account, credit.requests)
    }
}

/// The leader's answer to a [`QuotaReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct QuotaGrants {
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Time of the report that this answers, on the clock of the daemon.
    pub at: Millis,
    /// Set of leases that `leases` forms. Without `leases`, only its term has a meaning.
    pub set: SetNumber,
    /// Set that must be in use at the daemon for `leases` to replace it, if it is of an earlier
    /// term.
    pub replaces: Option<SetNumber>,
    /// All leases of the daemon, in the answer to a full report. Accounts that are not contained
    /// have none.
    pub leases: Option<Vec<(AccountId, Lease)>>,
    /// Credits.
    pub credits: Vec<Credit>,
}
