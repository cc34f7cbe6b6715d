#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use sycamoreflow_state::config::Candidate;

use super::*;

const DAEMONS: usize = 4;
const SHARES: [u32; 3] = [150_000, 400_000, 700_000];

fn split(share: u32) -> TrafficSplit {
    TrafficSplit {
        stable: "v1".into(),
        candidate: Some(Candidate {
            version: "v2".into(),
            share: Share(share),
            rollout: 1,
            window: Millis(60_000),
            limit: None,
        }),
        blocked: Vec::new(),
    }
}

fn daemon(index: usize) -> DaemonId {
    format!("d{index}").into()
}

#[derive(Clone, Debug)]
enum Event {
    Calls {
        daemon: usize,
        count: usize,
    },
    Retry(usize),
    Unsent(usize),
    Report(usize),
    DeliverReport {
        leader: usize,
        message: prop::sample::Index,
    },
    SendGrants(usize),
    DeliverGrant(prop::sample::Index),
    /// All daemons report to one leader, and all of its grants arrive.
    Round(usize),
    Restart(usize),
    NewLeader(usize),
    /// One daemon learns of the next step; others may learn of it at other times.
    Step(usize),
    Pass(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let leader = 0usize..2;
    let event = prop_oneof![
        20 => (0..DAEMONS, 1usize..6).prop_map(|(daemon, count)| Event::Calls { daemon, count }),
        2 => (0..DAEMONS).prop_map(Event::Retry),
        1 => (0..DAEMONS).prop_map(Event::Unsent),
        10 => (0..DAEMONS).prop_map(Event::Report),
        14 => (leader.clone(), any::<prop::sample::Index>())
            .prop_map(|(leader, message)| Event::DeliverReport { leader, message }),
        6 => leader.clone().prop_map(Event::SendGrants),
        14 => any::<prop::sample::Index>().prop_map(Event::DeliverGrant),
        8 => leader.clone().prop_map(Event::Round),
        2 => (0..DAEMONS).prop_map(Event::Restart),
        1 => leader.prop_map(Event::NewLeader),
        1 => (0..DAEMONS).prop_map(Event::Step),
        8 => (0u64..4000).prop_map(Event::Pass),
    ];
    prop::collection::vec(event, 1..400)
}

/// Faults that are simulated in daemons and leaders, to verify that the tests detect them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A leader counts units that were ceded to another leader.
    TermIgnored,
    /// A daemon accepts credits that were granted to its earlier incarnation.
    IncarnationIgnored,
    /// A daemon counts repeated grants as new ones.
    GrantsNotCumulative,
    /// A daemon keeps the units that it has ceded.
    RemainderKept,
}

struct Mesh {
    now: Millis,
    counters: Vec<ShareCounter>,
    steps: Vec<usize>,
    incarnations: u64,
    terms: u64,
    leaders: Vec<Vec<CreditPool>>,
    reports: Vec<(usize, u64, ShareReport)>,
    grants: Vec<(DaemonId, Grant)>,
    earned: u64,
    spent: u64,
    fault: Fault,
}

impl Mesh {
    fn new(fault: Fault) -> Self {
        let mut mesh = Self {
            now: Millis(0),
            counters: (0..DAEMONS as u64).map(ShareCounter::new).collect(),
            steps: vec![0; DAEMONS],
            incarnations: DAEMONS as u64,
            terms: 0,
            leaders: vec![Vec::new(), Vec::new()],
            reports: Vec::new(),
            grants: Vec::new(),
            earned: 0,
            spent: 0,
            fault,
        };
        mesh.elect(0);
        mesh.elect(1);
        mesh
    }

    fn elect(&mut self, leader: usize) {
        self.terms += 1;
        self.leaders[leader] = SHARES
            .map(|share| CreditPool::new(self.terms, 1, Share(share)))
            .to_vec();
    }

    fn send(&mut self, index: usize, attempt: Attempt) {
        let share = SHARES[self.steps[index]];
        if attempt == Attempt::First {
            self.earned += u64::from(share);
        }
        let picked = self.counters[index].pick(self.now, &split(share), attempt);
        if picked == "v2".into() {
            self.spent += UNITS_PER_CALL;
        }
    }

    fn report(&mut self, index: usize) {
        let counter = &mut self.counters[index];
        let balance = counter.balance;
        let report = counter.report(self.now);
        if self.fault == Fault::RemainderKept {
            counter.balance = balance;
        }
        self.reports.push((index, counter.incarnation, report));
    }

    fn deliver_report(&mut self, leader: usize, message: usize) {
        let Some(&(index, incarnation, mut report)) = self.reports.get(message) else {
            return;
        };
        for pool in &mut self.leaders[leader] {
            if self.fault == Fault::TermIgnored && report.term > 0 {
                report.term = pool.term;
            }
            pool.report(self.now, &daemon(index), incarnation, &report);
        }
    }

    fn deliver_grant(&mut self, message: usize) {
        let Some((name, mut grant)) = self.grants.get(message).cloned() else {
            return;
        };
        let index = (0..DAEMONS).find(|i| daemon(*i) == name).unwrap();
        let counter = &mut self.counters[index];
        if self.fault == Fault::IncarnationIgnored {
            grant.incarnation = counter.incarnation;
        }
        if self.fault == Fault::GrantsNotCumulative {
            grant.credits += counter.account.credits;
        }
        counter.grant(self.now, &grant);
    }

    fn send_grants(&mut self, leader: usize) {
        for pool in &mut self.leaders[leader] {
            self.grants.extend(pool.grants(self.now));
        }
    }

    fn round(&mut self, leader: usize) {
        let (reports, grants) = (self.reports.len(), self.grants.len());
        for index in 0..DAEMONS {
            self.report(index);
        }
        for message in reports..self.reports.len() {
            self.deliver_report(leader, message);
        }
        self.send_grants(leader);
        for message in grants..self.grants.len() {
            self.deliver_grant(message);
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Calls { daemon, count } => {
                for _ in 0..count {
                    self.send(daemon, Attempt::First);
                }
            }
            Event::Retry(index) => self.send(index, Attempt::Retry),
            Event::Unsent(index) => {
                if self.counters[index].account.candidate > 0 {
                    self.counters[index].refund_unsent(1);
                    self.spent -= UNITS_PER_CALL;
                }
            }
            Event::Report(index) => self.report(index),
            Event::DeliverReport { leader, message } => {
                self.deliver_report(leader, message.index(self.reports.len().max(1)));
            }
            Event::SendGrants(leader) => self.send_grants(leader),
            Event::DeliverGrant(message) => {
                self.deliver_grant(message.index(self.grants.len().max(1)));
            }
            Event::Round(leader) => self.round(leader),
            Event::Restart(index) => {
                self.incarnations += 1;
                self.counters[index] = ShareCounter::new(self.incarnations);
            }
            Event::NewLeader(leader) => self.elect(leader),
            Event::Step(index) => self.steps[index] = (self.steps[index] + 1).min(2),
            Event::Pass(ms) => self.now = self.now.after(Millis(ms)),
        }
    }
}

fn check_cap(fault: Fault, cases: u32) -> Result<(), String> {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&events(), |events| {
            let mut mesh = Mesh::new(fault);
            for event in &events {
                mesh.apply(event);
                prop_assert!(
                    mesh.spent <= mesh.earned,
                    "{} > {}",
                    mesh.spent,
                    mesh.earned
                );
            }
            Ok(())
        })
        .map_err(|error| error.to_string())
}

/// Guards against a candidate that receives more than its share after lost, repeated and late
/// reports and grants, restarts, leader changes (with two leaders acting at once), and steps that
/// reach daemons at different times.
#[test]
fn pick_cap_holds() {
    check_cap(Fault::None, 2000).unwrap();
}

/// Verifies that the check above detects faulty implementations.
#[rstest]
#[case::cumulative(Fault::GrantsNotCumulative)]
#[case::remainder(Fault::RemainderKept)]
fn pick_broken_variant(#[case] fault: Fault) {
    assert!(check_cap(fault, 3000).is_err());
}

/// Sends `calls` calls at each daemon. After each of them, all daemons report to `leader` and
/// receive its grants.
fn run_rounds(mesh: &mut Mesh, leader: usize, calls: usize) {
    for _ in 0..calls {
        for index in 0..DAEMONS {
            mesh.send(index, Attempt::First);
        }
        mesh.now = mesh.now.after(CEDE_AFTER);
        mesh.round(leader);
    }
}

/// Guards against units that a second leader grants again.
#[rstest]
#[case::correct(Fault::None, true)]
#[case::broken(Fault::TermIgnored, false)]
fn grants_leader_change(#[case] fault: Fault, #[case] within_cap: bool) {
    let mut mesh = Mesh::new(fault);
    run_rounds(&mut mesh, 0, 40);
    assert!(mesh.spent > 10 * UNITS_PER_CALL);
    run_rounds(&mut mesh, 1, 20);
    assert_eq!(mesh.spent <= mesh.earned, within_cap);
}

/// Guards against credits that are spent again after a restart, when all daemons restart at once
/// and late grants arrive.
#[rstest]
#[case::correct(Fault::None, true)]
#[case::broken(Fault::IncarnationIgnored, false)]
fn grants_mass_restart(#[case] fault: Fault, #[case] within_cap: bool) {
    let mut mesh = Mesh::new(fault);
    run_rounds(&mut mesh, 0, 40);
    assert!(mesh.spent > 10 * UNITS_PER_CALL);
    for index in 0..DAEMONS {
        mesh.apply(&Event::Restart(index));
        mesh.send(index, Attempt::First);
    }
    for message in 0..mesh.grants.len() {
        mesh.deliver_grant(message);
    }
    for _ in 0..10 {
        (0..DAEMONS).for_each(|index| mesh.send(index, Attempt::First));
    }
    assert_eq!(mesh.spent <= mesh.earned, within_cap);
}

/// Simulates `daemons` daemons with one call per `interval` milliseconds each. Returns the number
/// of calls and the number of calls to the candidate.
fn run_low_traffic(daemons: usize, interval: u64, share: u32, duration: u64) -> (u64, u64) {
    let mut counters: Vec<ShareCounter> = (0..daemons as u64).map(ShareCounter::new).collect();
    let mut pool = CreditPool::new(1, 1, Share(share));
    let (mut calls, mut candidate) = (0, 0);
    for time in (0..duration).step_by(10) {
        let now = Millis(time);
        for (index, counter) in counters.iter_mut().enumerate() {
            if (time + 10 * (index as u64 * 37 % (interval / 10))).is_multiple_of(interval) {
                calls += 1;
                let picked = counter.pick(now, &split(share), Attempt::First);
                candidate += u64::from(picked == "v2".into());
            }
            if time % 1000 == 0 {
                let report = counter.report(now);
                pool.report(now, &daemon(index), index as u64, &report);
            }
        }
        if time % 1000 == 500 {
            for (name, grant) in pool.grants(now) {
                let index: usize = name.as_str()[1..].parse().unwrap();
                counters[index].grant(now, &grant);
            }
        }
    }
    (calls, candidate)
}

/// Guards against a candidate that receives too few calls because no daemon has enough of them to
/// earn a whole call.
#[rstest]
#[case::hundred_daemons(100, 5_000, 10_000, 600_000)]
#[case::thousand_daemons(1_000, 20_000, 1_000, 600_000)]
#[case::few_daemons(9, 200, 10_000, 300_000)]
fn grants_low_traffic(
    #[case] daemons: usize,
    #[case] interval: u64,
    #[case] share: u32,
    #[case] duration: u64,
) {
    let (calls, candidate) = run_low_traffic(daemons, interval, share, duration);
    let cap = calls * u64::from(share) / UNITS_PER_CALL;
    assert!(candidate <= cap, "{candidate} of at most {cap}");
    assert!(candidate * 10 >= cap * 8, "{candidate} of at most {cap}");
}

/// Guards against traffic to a version that was stopped at this daemon or rolled back, at any
/// share.
#[rstest]
fn pick_excluded(#[values(500_000, 1_000_000)] share: u32, #[values(false, true)] blocked: bool) {
    let mut counter = ShareCounter::new(1);
    let mut split = split(share);
    if blocked {
        split.blocked.push("v2".into());
    } else {
        counter.stop(1);
    }
    for time in 0..10 {
        let picked = counter.pick(Millis(time), &split, Attempt::First);
        assert_eq!(picked, "v1".into());
    }
}

/// Guards against a full share that doesn't send all calls to the candidate, and a comparison that
/// sends none to the stable version.
#[rstest]
#[case::all(false, 12)]
#[case::comparing(true, 3)]
fn pick_full_share(#[case] comparing: bool, #[case] expected: usize) {
    let mut counter = ShareCounter::new(1);
    counter.pick(Millis(0), &split(Share::ALL.0), Attempt::First);
    counter.set_comparing(comparing);
    let to_candidate = (0..12)
        .map(|_| counter.pick(Millis(1), &split(Share::ALL.0), Attempt::First))
        .filter(|version| *version == "v2".into())
        .count();
    assert_eq!(to_candidate, expected);
}
