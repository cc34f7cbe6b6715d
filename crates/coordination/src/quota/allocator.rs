//! The leader's part of the quotas: it divides the budgets of the accounts between the daemons by
//! their recent demand.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use sycamoreflow_state::config::Quota;
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::{
    AccountId, AccountUse, Budget, Credit, LEADER_OVERLAP, LEASE_LIFE, Lease, QuotaGrants,
    QuotaReport, SetNumber, Tolerance, UNITS, UNITS_PER_MS,
};

/// Time constant with which the average demand follows the requests of a daemon. Longer than the
/// interval of reports, so that single requests don't move leases.
const DEMAND_TIME_MS: f64 = 1_000.0;
/// Time constant of the average that tells sparse from steady demand.
const STEADY_TIME_MS: f64 = 5_000.0;
/// Steady demand in requests/s from which a daemon gets a part of the burst, so that it can keep
/// credits for later requests. A single request counts as 0.2.
const MIN_BURST_DEMAND: f64 = 0.1;
/// Steady demand in requests/s from which a daemon gets a part of the rate.
const MIN_RATE_DEMAND: f64 = 0.4;
/// Smallest burst with which a daemon gets a part of the rate.
const MIN_RATE_BURST: u64 = 2;
/// Time in seconds for which a bucket should bear random arrivals: two intervals of reports.
const STOCK_TIME_S: f64 = 0.8;
/// Standard deviations of random arrivals that a bucket should bear.
const STOCK_DEVIATIONS: f64 = 3.0;
/// Interval at which expired sets are dropped and sums are computed anew.
const SWEEP_INTERVAL: Millis = Millis(1_000);
/// Time after which a daemon without leases that has not reported is forgotten.
const FORGET_AFTER: Millis = Millis(10_000);

/// The quotas of one leader during its term. Times are those of the leader's clock, except for the
/// times of reports.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    term: u64,
    tolerance: Tolerance,
    /// Leases are left as they are until this time.
    leases_from: Millis,
    /// No credits are granted until this time.
    credits_from: Millis,
    last_sweep: Millis,
    accounts: IndexMap<AccountId, Account>,
    daemons: BTreeMap<DaemonId, Daemon>,
    answers: Vec<(DaemonId, QuotaGrants)>,
}

#[derive(Clone, Debug)]
struct Account {
    budget: Budget,
    pool: u64,
    refilled: Millis,
    /// Time from which all leases are known, so that the pool may have what isn't leased.
    complete_from: Millis,
    /// Rate and burst that daemons may use.
    out_rate: u64,
    out_burst: u64,
    /// Sum of the demand of all daemons in requests/s, and of the bursts that it needs.
    demand: f64,
    stock: f64,
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    incarnation: u64,
    /// Time of the last report on the daemon's clock, and of its receipt.
    reported_at: Millis,
    received_at: Millis,
    last_number: u64,
    /// Sets of leases that may be in use, with the latest one last.
    sets: Vec<Set>,
    /// Largest leases in `sets`.
    out: IndexMap<AccountId, Lease>,
    usage: IndexMap<AccountId, Usage>,
}

#[derive(Clone, Debug)]
struct Set {
    number: SetNumber,
    /// Time from which the set can't be in use.
    until: Millis,
    leases: Vec<(AccountId, Lease)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    asked: u64,
    /// Time of the last report of `asked` on the daemon's clock.
    at: Millis,
    /// Average demand in requests/s over [`DEMAND_TIME_MS`].
    recent: f64,
    /// The same over [`STEADY_TIME_MS`].
    steady: f64,
}

impl Usage {
    /// Updates the averages with the number of requests at a later time.
    fn update(&mut self, at: Millis, asked: u64) {
        let elapsed_ms = match self.at {
            Millis(0) => DEMAND_TIME_MS,
            since => at.since(since).0 as f64,
        };
        let requests = asked.saturating_sub(self.asked) as f64;
        (self.at, self.asked) = (at, asked);
        let rate = requests * 1_000.0 / elapsed_ms;
        self.recent += (1.0 - (-elapsed_ms / DEMAND_TIME_MS).exp()) * (rate - self.recent);
        self.steady += (1.0 - (-elapsed_ms / STEADY_TIME_MS).exp()) * (rate - self.steady);
    }

    /// Returns the demand in requests/s. Random arrivals don't change it much, since each change of
    /// a lease leaves a part of the rate unused for a while.
    fn demand(self) -> f64 {
        let is_steady = (0.5..2.0).contains(&(self.recent / self.steady));
        if is_steady { self.steady } else { self.recent }
    }

    /// Returns the burst that bears random arrivals at this demand.
    fn stock(self) -> f64 {
        if self.steady < MIN_BURST_DEMAND {
            return 0.0;
        }
        let arrivals = self.demand() * STOCK_TIME_S;
        1.0 + arrivals + STOCK_DEVIATIONS * arrivals.sqrt()
    }
}

impl QuotaAllocator {
    /// Creates the state of a leader that was elected at `now`.
    pub fn new(now: Millis, term: u64, tolerance: Tolerance) -> Self {
        let credits_from = now.after(LEADER_OVERLAP);
        Self {
            term,
            tolerance,
            leases_from: credits_from.after(LEASE_LIFE),
            credits_from,
            last_sweep: now,
            accounts: IndexMap::new(),
            daemons: BTreeMap::new(),
            answers: Vec::new(),
        }
    }

    /// Sets the quotas in force. Leases that exceed a lowered quota are lowered by the next answers.
    pub fn configure(&mut self, now: Millis, quotas: impl IntoIterator<Item = (AccountId, Quota)>) {
        let mut old = std::mem::take(&mut self.accounts);
        for (id, quota) in quotas {
            let budget = Budget::new(quota, &self.tolerance);
            let account = match old.swap_remove(&id) {
                Some(account) => Account { budget, ..account },
                None => Account::new(budget, now.max(self.credits_from), self.leases_from),
            };
            self.accounts.insert(id, account);
        }
        self.sum_up(now);
    }

    /// Processes the report of a daemon. The answer is returned by the next [`Self::tick`].
    pub fn report(&mut self, now: Millis, id: &DaemonId, report: &QuotaReport) {
        let daemon = self.daemons.entry(id.clone()).or_default();
        let is_late = report.incarnation < daemon.incarnation
            || report.incarnation == daemon.incarnation && report.at <= daemon.reported_at;
        if is_late {
            return;
        }
        if report.incarnation > daemon.incarnation {
            for (id, usage) in &daemon.usage {
                if let Some(account) = self.accounts.get_mut(id) {
                    account.update_demand(*usage, Usage::default());
                }
            }
            // The earlier process has ended, and the new one has no tokens.
            let sets = Vec::new();
            daemon.replace_sets(now, sets, &mut self.accounts);
            *daemon = Daemon {
                incarnation: report.incarnation,
                ..Daemon::default()
            };
        }
        daemon.update_usage(report, &mut self.accounts);
        daemon.reported_at = report.at;
        daemon.received_at = now;
        let is_known = daemon.confirm(now, self.term, report, &mut self.accounts);
        let mut grants = QuotaGrants {
            incarnation: report.incarnation,
            at: report.at,
            set: SetNumber {
                term: self.term,
                number: daemon.last_number,
            },
            replaces: (report.set.term != self.term).then_some(report.set),
            leases: None,
            credits: Vec::new(),
        };
        if is_known && report.full {
            let leases = match now < self.leases_from {
                true => daemon.sets.last().map_or(Vec::new(), |s| s.leases.clone()),
                false => daemon.next_leases(&self.accounts),
            };
            daemon.last_number += 1;
            grants.set.number = daemon.last_number;
            grants.leases = Some(leases.clone());
            let mut sets = std::mem::take(&mut daemon.sets);
            sets.push(Set {
                number: grants.set,
                until: now.after(LEASE_LIFE).after(LEADER_OVERLAP),
                leases,
            });
            daemon.replace_sets(now, sets, &mut self.accounts);
        }
        for used in &report.accounts {
            let Some(account) = self.accounts.get_mut(&used.account) else {
                continue;
            };
            let requests = account.take_credits(now, used);
            if used.waiting > 0 || used.stock > 0 {
                grants.credits.push(Credit {
                    account: used.account,
                    requests,
                });
            }
        }
        self.answers.push((id.clone(), grants));
    }

    /// Returns the answers to the reports since the last call. It must be called only while the
    /// leader has a quorum.
    pub fn tick(&mut self, now: Millis) -> Vec<(DaemonId, QuotaGrants)> {
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            for daemon in self.daemons.values_mut() {
                let sets = std::mem::take(&mut daemon.sets);
                daemon.replace_sets(now, unexpired(now, sets), &mut self.accounts);
            }
            self.daemons.retain(|_, daemon| {
                !daemon.sets.is_empty() || now.since(daemon.received_at) < FORGET_AFTER
            });
            self.sum_up(now);
        }
        std::mem::take(&mut self.answers)
    }

    /// Returns the number of daemons that may hold leases.
    pub fn holders(&self) -> usize {
        let mut daemons = self.daemons.values();
        daemons.by_ref().filter(|d| !d.sets.is_empty()).count()
    }

    /// Computes the sums of all accounts anew, which differ after a change of the accounts and by
    /// rounding.
    fn sum_up(&mut self, now: Millis) {
        for account in self.accounts.values_mut() {
            account.refill(now);
            (account.out_rate, account.out_burst) = (0, 0);
            (account.demand, account.stock) = (0.0, 0.0);
        }
        for daemon in self.daemons.values() {
            for (id, lease) in &daemon.out {
                if let Some(account) = self.accounts.get_mut(id) {
                    account.out_rate += lease.rate;
                    account.out_burst += u64::from(lease.burst);
                }
            }
            for (id, usage) in &daemon.usage {
                if let Some(account) = self.accounts.get_mut(id) {
                    account.update_demand(Usage::default(), *usage);
                }
            }
        }
    }
}

fn unexpired(now: Millis, mut sets: Vec<Set>) -> Vec<Set> {
    sets.retain(|set| now < set.until);
    sets
}

impl Account {
    fn new(budget: Budget, from: Millis, complete_from: Millis) -> Self {
        Self {
            budget,
            pool: 0,
            refilled: from,
            complete_from,
            out_rate: 0,
            out_burst: 0,
            demand: 0.0,
            stock: 0.0,
        }
    }

    fn update_demand(&mut self, old: Usage, new: Usage) {
        self.demand = (self.demand + new.demand() - old.demand()).max(0.0);
        self.stock = (self.stock + new.stock() - old.stock()).max(0.0);
    }

    /// Fills the pool. It has to be called before each change of what is leased.
    fn refill(&mut self, now: Millis) {
        let whole = self.budget.leased_rate + self.budget.pool_rate;
        let free = whole.saturating_sub(self.out_rate);
        let free = free.min(self.budget.max_pool_rate);
        let early = self.complete_from.min(now).since(self.refilled).0;
        let late = now.since(self.refilled.max(self.complete_from)).0;
        let earned = early.saturating_mul(self.budget.pool_rate);
        let earned = earned.saturating_add(late.saturating_mul(free));
        self.pool = self.pool.saturating_add(earned).min(self.budget.pool_burst);
        self.refilled = self.refilled.max(now);
    }

    /// Takes credits from the pool: for all waiting requests, and for later ones while the pool is
    /// at least half full.
    fn take_credits(&mut self, now: Millis, used: &AccountUse) -> u32 {
        self.refill(now);
        let waiting = u64::from(used.waiting).min(self.pool / UNITS);
        self.pool -= waiting * UNITS;
        let spare = self.pool.saturating_sub(self.budget.pool_burst / 2) / UNITS;
        let stock = u64::from(used.stock).min(spare);
        self.pool -= stock * UNITS;
        (waiting + stock) as u32
    }

    /// Returns the lease of a daemon, in proportion to its part of the demand and bounded by what
    /// other daemons can't use. `out` is what the daemon itself may use already.
    fn next_lease(&self, usage: Usage, out: Lease) -> Lease {
        if usage.steady < MIN_BURST_DEMAND {
            return Lease::default();
        }
        let part = usage.demand() / self.demand.max(usage.demand());
        let stock = usage.stock() / self.stock.max(usage.stock());
        let free_burst = self.free_burst(out);
        let burst = (self.budget.leased_burst as f64 * stock) as u64;
        let burst = match usage.steady < MIN_RATE_DEMAND {
            true => burst.min(usage.stock().ceil() as u64),
            false => burst,
        };
        let burst = burst.max(1).min(free_burst);
        if burst == 0 {
            return Lease::default();
        }
        let used_by_others = self.out_rate.saturating_sub(out.rate);
        let free_rate = self.budget.leased_rate.saturating_sub(used_by_others);
        // A bucket that is often full discards tokens, which the pool would give to others.
        let useful = match usage.steady < MIN_RATE_DEMAND || burst < MIN_RATE_BURST {
            true => 0.0,
            false => burst as f64 / (burst + 1) as f64,
        };
        let rate = (self.budget.leased_rate as f64 * part * useful) as u64;
        Lease {
            rate: rate.min(free_rate),
            burst: u32::try_from(burst).unwrap_or(u32::MAX),
        }
    }

    fn free_burst(&self, out: Lease) -> u64 {
        let used_by_others = self.out_burst.saturating_sub(u64::from(out.burst));
        self.budget.leased_burst.saturating_sub(used_by_others)
    }
}

impl Daemon {
    /// Updates which sets the daemon may use. Returns whether they are known, so that a set can be
    /// granted.
    fn confirm(
        &mut self,
        now: Millis,
        term: u64,
        report: &QuotaReport,
        accounts: &mut IndexMap<AccountId, Account>,
    ) -> bool {
        let mut sets = unexpired(now, std::mem::take(&mut self.sets));
        let mut is_known = true;
        if report.set.term == term {
            // The daemon may have been forgotten meanwhile.
            self.last_number = self.last_number.max(report.set.number);
            sets.retain(|set| set.number >= report.set);
        } else if let Some(held) = &report.held {
            // An answer to an earlier report may still be under way, and remains counted.
            sets.retain(|set| set.number.term == term);
            let held = Set {
                number: report.set,
                until: now.after(LEASE_LIFE).after(LEADER_OVERLAP),
                leases: held.clone(),
            };
            sets.insert(0, held);
        } else {
            is_known = report.set == SetNumber::default();
        }
        self.replace_sets(now, sets, accounts);
        is_known
    }

    fn replace_sets(
        &mut self,
        now: Millis,
        sets: Vec<Set>,
        accounts: &mut IndexMap<AccountId, Account>,
    ) {
        self.sets = sets;
        let mut out: IndexMap<AccountId, Lease> = IndexMap::new();
        for &(id, lease) in self.sets.iter().flat_map(|set| &set.leases) {
            let largest = out.entry(id).or_default();
            *largest = largest.max(lease);
        }
        for (id, lease) in &self.out {
            if let Some(account) = accounts.get_mut(id) {
                account.refill(now);
                account.out_rate = account.out_rate.saturating_sub(lease.rate);
                account.out_burst = account.out_burst.saturating_sub(u64::from(lease.burst));
            }
        }
        for (id, lease) in &out {
            if let Some(account) = accounts.get_mut(id) {
                account.out_rate += lease.rate;
                account.out_burst += u64::from(lease.burst);
            }
        }
        self.out = out;
    }

    fn update_usage(&mut self, report: &QuotaReport, accounts: &mut IndexMap<AccountId, Account>) {
        let is_first = self.reported_at == Millis(0);
        let mut idle: IndexMap<AccountId, u64> = IndexMap::new();
        if report.full {
            idle.extend(self.usage.iter().map(|(id, usage)| (*id, usage.asked)));
        }
        for used in &report.accounts {
            let id = used.account;
            idle.swap_remove(&id);
            let usage = self.usage.entry(id).or_default();
            let old = *usage;
            usage.update(report.at, used.asked);
            // The first report to a new leader counts all requests since the daemon has started.
            if is_first && report.set != SetNumber::default() {
                let held = report.held.iter().flatten().find(|(held, _)| *held == id);
                let held = held.map_or(Lease::default(), |(_, lease)| *lease);
                usage.recent = held.rate as f64 / UNITS_PER_MS as f64;
                usage.steady = usage.recent;
            }
            let new = *usage;
            if let Some(account) = accounts.get_mut(&id) {
                account.update_demand(old, new);
            }
        }
        for (id, asked) in idle {
            let Some(usage) = self.usage.get_mut(&id) else {
                continue;
            };
            let old = *usage;
            usage.update(report.at, asked);
            let new = *usage;
            if let Some(account) = accounts.get_mut(&id) {
                account.update_demand(old, new);
            }
        }
    }

    fn next_leases(&self, accounts: &IndexMap<AccountId, Account>) -> Vec<(AccountId, Lease)> {
        let mut leases = Vec::new();
        for (&id, usage) in &self.usage {
            let Some(account) = accounts.get(&id) else {
                continue;
            };
            let out = self.out.get(&id).copied().unwrap_or_default();
            let lease = account.next_lease(*usage, out);
            if lease != Lease::default() {
                leases.push((id, lease));
            }
        }
        leases
    }
}
