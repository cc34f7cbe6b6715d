//! A mesh of daemons with one leader at a time, on a virtual clock.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

/// Longest wait of a request for a token.
const MAX_WAIT: Millis = Millis(150);
const TICK_MS: u64 = 50;
/// Time between two disturbances of a kind.
const DISTURBANCE_INTERVAL_MS: u64 = 1_700;

/// What disturbs the mesh.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Disturbance {
    pub(super) loss: f64,
    pub(super) repeat: f64,
    /// Share of the permitted requests that no upstream can take.
    pub(super) refused: f64,
    /// Longest additional delay of a message. Messages overtake each other.
    pub(super) delay_ms: u64,
    /// Whether requests go to all daemons, instead of those of their callers.
    pub(super) scattered: bool,
    /// Factor of the demand of the second account in the middle third, if it isn't 0.
    pub(super) hot: f64,
    /// Whether all callers move in the middle.
    pub(super) shift: bool,
    pub(super) cuts: bool,
    pub(super) restarts: bool,
    pub(super) freezes: bool,
    pub(super) leaders: bool,
}

impl Disturbance {
    pub(super) fn everything() -> Self {
        Self {
            loss: 0.1,
            repeat: 0.1,
            refused: 0.05,
            delay_ms: 300,
            scattered: false,
            hot: 5.0,
            shift: true,
            cuts: true,
            restarts: true,
            freezes: true,
            leaders: true,
        }
    }
}

struct Node {
    holder: QuotaHolder,
    incarnation: u64,
    cut_until: Millis,
    frozen_until: Millis,
    /// Account and end of the wait of each waiting request, with the time when it was sent.
    waiting: Vec<(usize, Millis)>,
    running: Vec<(Millis, usize, Permit)>,
}

struct Account {
    id: AccountId,
    quota: Quota,
    demand: f64,
    next: f64,
    callers: Vec<usize>,
    sent: Vec<Millis>,
    run: Vec<Millis>,
    /// Time at which the account had used up its burst, if it had.
    burst_used: Option<Millis>,
}

enum Message {
    Report(usize, QuotaReport),
    Grants(usize, QuotaGrants),
}

pub(super) struct World {
    rng: ChaCha8Rng,
    disturbance: Disturbance,
    now: Millis,
    nodes: Vec<Node>,
    accounts: Vec<Account>,
    /// The leader, and its predecessor until the given time.
    leader: QuotaAllocator,
    predecessor: Option<(QuotaAllocator, Millis)>,
    term: u64,
    messages: BTreeMap<(Millis, u64), Message>,
    message_count: u64,
    pub(super) reports: (usize, usize),
}

impl World {
    pub(super) fn new(
        seed: u64,
        daemons: usize,
        accounts: &[(Quota, f64)],
        disturbance: Disturbance,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let total: f64 = accounts.iter().map(|(_, demand)| demand).sum();
        let accounts = accounts
            .iter()
            .enumerate()
            .map(|(index, &(quota, demand))| {
                // Each caller sends about 2 requests/s.
                let callers = (1_000.0 * demand / total).ceil() as usize;
                Account {
                    id: AccountId::of(&format!("account{index}").into()),
                    quota,
                    demand,
                    next: 0.0,
                    callers: (0..callers).map(|_| rng.random_range(0..daemons)).collect(),
                    sent: Vec::new(),
                    run: Vec::new(),
                    burst_used: None,
                }
            });
        let accounts: Vec<Account> = accounts.collect();
        let node = |_| Node {
            holder: new_holder(1, &accounts),
            incarnation: 1,
            cut_until: Millis(0),
            frozen_until: Millis(0),
            waiting: Vec::new(),
            running: Vec::new(),
        };
        let nodes = (0..daemons).map(node).collect();
        let leader = new_leader(Millis(1_000), 1, &accounts);
        Self {
            rng,
            disturbance,
            now: Millis(1_000),
            nodes,
            accounts,
            leader,
            predecessor: None,
            term: 1,
            messages: BTreeMap::new(),
            message_count: 0,
            reports: (0, 0),
        }
    }

    /// Runs the mesh until requests have been sent from `start` for a time.
    pub(super) fn run(&mut self, start: Millis, time: Millis) {
        let end = start.after(time);
        for account in &mut self.accounts {
            account.next = account.next.max(start.0 as f64);
        }
        while self.now < end {
            self.now = self.now.after(Millis(1));
            self.deliver();
            let elapsed = self.now.since(start);
            if self.now >= start {
                self.send_requests(elapsed, time);
                if elapsed.0 % DISTURBANCE_INTERVAL_MS == 100 {
                    self.disturb();
                }
                if self.disturbance.shift && elapsed.0 == time.0 / 2 {
                    self.move_callers();
                }
            }
            for index in 0..self.nodes.len() {
                self.step_node(index);
            }
            if self.now.0.is_multiple_of(TICK_MS) {
                self.tick_leaders();
            }
        }
    }

    /// Scales all quotas.
    pub(super) fn scale_quotas(&mut self, percent: u32) {
        for account in &mut self.accounts {
            let Quota { rate_per_s, burst } = account.quota;
            account.quota = quota(rate_per_s * percent / 100, burst * percent / 100);
        }
        let quotas: Vec<_> = self.accounts.iter().map(|a| (a.id, a.quota)).collect();
        self.leader.configure(self.now, quotas);
    }

    /// Drops what has been recorded so far, when the accounts have used up their bursts.
    pub(super) fn clear_records(&mut self) {
        for account in &mut self.accounts {
            account.run.clear();
            account.sent.clear();
            account.burst_used = Some(self.now);
        }
    }

    pub(super) fn assert_within_limits(&self) {
        for (index, account) in self.accounts.iter().enumerate() {
            let limit = TOLERANCE.limit_units(account.quota) / u128::from(UNITS);
            let mut first = 0;
            for (last, &at) in account.run.iter().enumerate() {
                while at.since(account.run[first]) > TOLERANCE.window {
                    first += 1;
                }
                let count = (last - first + 1) as u128;
                assert!(
                    count <= limit,
                    "account {index}: {count} over {limit} at {at:?}"
                );
            }
        }
    }

    /// Returns the share that was run of the requests that the quotas permit.
    pub(super) fn served_share(&self) -> f64 {
        let (mut owed, mut served) = (0, 0);
        for account in &self.accounts {
            let permitted = permitted(account);
            owed += permitted;
            served += permitted.min(account.run.len());
        }
        served as f64 / owed as f64
    }

    fn send_requests(&mut self, elapsed: Millis, time: Millis) {
        let is_middle = elapsed.0 > time.0 / 3 && elapsed.0 < time.0 * 2 / 3;
        for index in 0..self.accounts.len() {
            while self.accounts[index].next <= self.now.0 as f64 {
                let is_hot = self.disturbance.hot > 0.0 && index == 1 && is_middle;
                let factor = if is_hot { self.disturbance.hot } else { 1.0 };
                let account = &mut self.accounts[index];
                let uniform: f64 = self.rng.random_range(1e-9..1.0);
                account.next -= uniform.ln() * 1_000.0 / (account.demand * factor);
                let caller = self.rng.random_range(0..account.callers.len());
                let daemon = match self.disturbance.scattered {
                    true => self.rng.random_range(0..self.nodes.len()),
                    false => account.callers[caller],
                };
                self.send_request(index, daemon);
            }
        }
    }

    fn send_request(&mut self, index: usize, daemon: usize) {
        let now = self.now;
        let account = &mut self.accounts[index];
        let node = &mut self.nodes[daemon];
        if now < node.frozen_until {
            return;
        }
        account.sent.push(now);
        match node.holder.take(now, account.id, MAX_WAIT) {
            Take::Granted(permit) => self.start(index, daemon, permit),
            Take::Wait => node.waiting.push((index, now.after(MAX_WAIT))),
            Take::Refused(_) => {}
        }
    }

    /// Runs a request, unless it turns out that no upstream can take it.
    fn start(&mut self, index: usize, daemon: usize, permit: Permit) {
        let node = &mut self.nodes[daemon];
        if self.rng.random_bool(self.disturbance.refused) {
            let refused_at = self.now.after(Millis(200));
            node.running.push((refused_at, index, permit));
            self.accounts[index].sent.pop();
            return;
        }
        node.holder.settle(self.accounts[index].id, permit);
        self.accounts[index].run.push(self.now);
    }

    fn step_node(&mut self, daemon: usize) {
        let now = self.now;
        let node = &mut self.nodes[daemon];
        if now < node.frozen_until {
            return;
        }
        for (at, index, permit) in std::mem::take(&mut node.running) {
            match at <= now {
                true => node.holder.refund(now, self.accounts[index].id, permit),
                false => node.running.push((at, index, permit)),
            }
        }
        for (index, until) in std::mem::take(&mut self.nodes[daemon].waiting) {
            let id = self.accounts[index].id;
            let node = &mut self.nodes[daemon];
            if let Some(permit) = node.holder.poll(now, id) {
                self.start(index, daemon, permit);
            } else if now >= until {
                node.holder.give_up(now, id);
            } else {
                node.waiting.push((index, until));
            }
        }
        let node = &mut self.nodes[daemon];
        if node.holder.next_report().is_some_and(|at| at <= now) {
            let report = node.holder.report(now);
            self.reports.0 += 1;
            self.reports.1 += report.accounts.len();
            if now >= node.cut_until {
                self.post(Message::Report(daemon, report));
            }
        }
    }

    fn post(&mut self, message: Message) {
        if self.disturbance.loss > 0.0 && self.rng.random_bool(self.disturbance.loss) {
            return;
        }
        let copies = match &message {
            Message::Grants(daemon, grants) if self.rng.random_bool(self.disturbance.repeat) => {
                vec![Message::Grants(*daemon, grants.clone()), message]
            }
            _ => vec![message],
        };
        for copy in copies {
            // Replicas forward reports at their ticks.
            let longest = match &copy {
                Message::Report(..) => TICK_MS + 10,
                Message::Grants(..) => 10,
            };
            let mut delay = self.rng.random_range(2..longest);
            if self.disturbance.delay_ms > 0 && self.rng.random_bool(0.1) {
                delay += self.rng.random_range(0..self.disturbance.delay_ms);
            }
            self.message_count += 1;
            let key = (self.now.after(Millis(delay)), self.message_count);
            self.messages.insert(key, copy);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Message::Report(daemon, report) => {
                    let id = daemon_id(daemon);
                    // Half of the daemons are still connected to the old leader.
                    let leader = match &mut self.predecessor {
                        Some((old, _)) if daemon % 2 == 0 => old,
                        _ => &mut self.leader,
                    };
                    leader.report(self.now, &id, &report);
                }
                Message::Grants(daemon, grants) => {
                    let node = &mut self.nodes[daemon];
                    if self.now >= node.cut_until && self.now >= node.frozen_until {
                        node.holder.apply(self.now, &grants);
                    }
                }
            }
        }
    }

    fn tick_leaders(&mut self) {
        let mut answers = self.leader.tick(self.now);
        if let Some((old, until)) = &mut self.predecessor {
            answers.extend(old.tick(self.now));
            if self.now >= *until {
                self.predecessor = None;
            }
        }
        for (id, grants) in answers {
            let daemon = id.as_str()[1..].parse().expect("an index");
            self.post(Message::Grants(daemon, grants));
        }
    }

    fn disturb(&mut self) {
        let Disturbance {
            cuts,
            restarts,
            freezes,
            leaders,
            ..
        } = self.disturbance;
        for _ in 0..self.nodes.len() / 8 {
            let daemon = self.rng.random_range(0..self.nodes.len());
            let duration = Millis(self.rng.random_range(200..9_000));
            let node = &mut self.nodes[daemon];
            if cuts {
                node.cut_until = self.now.after(duration);
            }
            if freezes && self.rng.random_bool(0.5) {
                node.frozen_until = self.now.after(duration);
            }
            if restarts && self.rng.random_bool(0.5) {
                node.incarnation += 1;
                node.holder = new_holder(node.incarnation, &self.accounts);
                node.waiting.clear();
                node.running.clear();
            }
        }
        if leaders && self.predecessor.is_none() && self.rng.random_bool(0.4) {
            self.term += 1;
            let new = new_leader(self.now, self.term, &self.accounts);
            let old = std::mem::replace(&mut self.leader, new);
            self.predecessor = Some((old, self.now.after(QUORUM_TIMEOUT)));
        }
    }

    fn move_callers(&mut self) {
        let daemons = self.nodes.len();
        for account in &mut self.accounts {
            for caller in &mut account.callers {
                *caller = (*caller + daemons / 2) % daemons;
            }
        }
    }
}

fn daemon_id(daemon: usize) -> DaemonId {
    format!("d{daemon}").into()
}

fn new_holder(incarnation: u64, accounts: &[Account]) -> QuotaHolder {
    let mut holder = QuotaHolder::new(incarnation);
    holder.set_limited(accounts.iter().map(|account| account.id));
    holder
}

fn new_leader(now: Millis, term: u64, accounts: &[Account]) -> QuotaAllocator {
    let mut leader = QuotaAllocator::new(now, term, TOLERANCE);
    leader.configure(now, accounts.iter().map(|a| (a.id, a.quota)));
    leader
}

/// Returns how many of the requests a single token bucket permits.
fn permitted(account: &Account) -> usize {
    let limit = u64::from(account.quota.burst).max(1) * UNITS;
    let rate = u64::from(account.quota.rate_per_s) * UNITS_PER_MS;
    let (mut tokens, mut last) = match account.burst_used {
        Some(at) => (0, at),
        None => (limit, Millis(0)),
    };
    let mut count = 0;
    for &at in &account.sent {
        tokens = limit.min(tokens + at.since(last).0 * rate);
        last = at;
        if tokens >= UNITS {
            tokens -= UNITS;
            count += 1;
        }
    }
    count
}
