use super::allocator::QuotaAllocator;
use super::holder::{Permit, QuotaHolder, Take};
use super::*;
use rstest::rstest;
use sycamoreflow_state::ids::DaemonId;

mod world;

use world::{Disturbance, World};

const TOLERANCE: Tolerance = Tolerance {
    window: Millis(5_000),
    overage: Share::percent(10),
    slack: 20,
};
const SEEDS: u64 = 4;

fn quota(rate_per_s: u32, burst: u32) -> Quota {
    Quota { rate_per_s, burst }
}

/// Returns accounts whose usual demand follows a Zipf distribution with the exponent 1.2, with
/// quotas of 1.6 times the demand.
fn skewed_accounts(count: usize, total: f64) -> Vec<(Quota, f64)> {
    let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let demands = weights.iter().map(|weight| total * weight / sum);
    let with_quota = |demand: f64| {
        let rate = (1.6 * demand).ceil() as u32;
        (quota(rate, rate), demand)
    };
    demands.map(with_quota).collect()
}

/// Guards against a division of an account's limit that exceeds it in a window, for small and
/// huge quotas.
#[rstest]
#[case::single(quota(1, 1))]
#[case::small(quota(4, 4))]
#[case::without_burst(quota(50, 0))]
#[case::large(quota(900, 900))]
#[case::huge(quota(u32::MAX, u32::MAX))]
fn budget_within_limit(#[case] quota: Quota) {
    let budget = Budget::new(quota, &TOLERANCE);
    let rate = u128::from(budget.leased_rate + budget.pool_rate);
    assert_eq!(rate, u128::from(quota.rate_per_s) * 1_000);
    let burst = u128::from(budget.leased_burst) * u128::from(UNITS)
        + u128::from(budget.pool_burst)
        + u128::from(budget.max_pool_rate) * u128::from(CREDIT_LIFE.0);
    assert!(rate * 5_000 + burst <= TOLERANCE.limit_units(quota));
    assert!(budget.leased_burst > 0 && budget.pool_burst >= UNITS);
}

/// Guards against exceeded limits under loss, repeated and reordered messages, cuts, restarts,
/// freezes and changes of leader, in which the old leader goes on answering half of the daemons;
/// and, in calm, against refusals of what accounts may send.
#[rstest]
#[case::calm(Disturbance::default(), 0.95)]
#[case::scattered(Disturbance { scattered: true, ..Disturbance::default() }, 0.95)]
#[case::lossy(Disturbance { loss: 0.1, repeat: 0.1, delay_ms: 300, ..Disturbance::default() }, 0.0)]
#[case::hot(Disturbance { hot: 7.5, ..Disturbance::default() }, 0.95)]
#[case::shift(Disturbance { shift: true, ..Disturbance::default() }, 0.95)]
#[case::refused(Disturbance { refused: 0.05, ..Disturbance::default() }, 0.0)]
#[case::cuts(Disturbance { cuts: true, ..Disturbance::default() }, 0.0)]
#[case::restarts(Disturbance { restarts: true, ..Disturbance::default() }, 0.0)]
#[case::freezes(Disturbance { freezes: true, ..Disturbance::default() }, 0.0)]
#[case::leaders(Disturbance { leaders: true, ..Disturbance::default() }, 0.0)]
#[case::everything(Disturbance::everything(), 0.0)]
fn mesh_within_limits(#[case] disturbance: Disturbance, #[case] least_served: f64) {
    for seed in 0..SEEDS {
        let accounts = skewed_accounts(85, 2_000.0);
        let mut world = World::new(seed, 80, &accounts, disturbance);
        world.run(Millis(10_000), Millis(30_000));
        world.assert_within_limits();
        let served = world.served_share();
        let (reports, entries) = world.reports;
        println!(
            "seed {seed}: {} reports/s with {} accounts/s",
            reports / 30,
            entries / 30
        );
        println!("seed {seed}: served {served:.3} of what was owed");
        assert!(served >= least_served, "seed {seed}: {served:.3}");
    }
}

/// Runs a mesh whose quotas change, and returns it with what has happened from 2 s later on.
fn changed_limits(seed: u64, percent: u32) -> World {
    let scattered = Disturbance {
        scattered: true,
        ..Disturbance::default()
    };
    let accounts = skewed_accounts(85, 2_000.0);
    let mut world = World::new(seed, 80, &accounts, scattered);
    world.run(Millis(10_000), Millis(10_000));
    world.assert_within_limits();
    world.scale_quotas(percent);
    world.run(Millis(20_000), Millis(2_000));
    world.clear_records();
    world.run(Millis(22_000), Millis(15_000));
    world
}

/// Guards against a lowered limit that is exceeded in windows that begin 2 s later.
#[rstest]
#[case::lowered(50)]
#[case::raised(200)]
fn mesh_changed_limits(#[case] percent: u32) {
    for seed in 0..SEEDS {
        changed_limits(seed, percent).assert_within_limits();
    }
}

/// Guards against limits that aren't used up, although all accounts ask for a quarter more.
#[rstest]
#[case::lowered(50)]
#[case::raised(200)]
fn mesh_changed_limits_served(#[case] percent: u32) {
    for seed in 0..SEEDS {
        let served = changed_limits(seed, percent).served_share();
        println!("seed {seed}: served {served:.3} of what was owed");
        assert!(served >= 0.95, "seed {seed}: {served:.3}");
    }
}

fn granted(take: Take) -> Permit {
    match take {
        Take::Granted(permit) => permit,
        other => panic!("{other:?}"),
    }
}

/// Returns a holder with a lease of 1 request/s and a burst of 2 that was granted at 1 s.
fn leased_holder(id: AccountId) -> QuotaHolder {
    let mut holder = QuotaHolder::new(1);
    holder.set_limited([id]);
    assert!(matches!(
        holder.take(Millis(1_000), id, Millis(0)),
        Take::Refused(_)
    ));
    let report = holder.report(Millis(1_000));
    let lease = Lease {
        rate: UNITS_PER_MS,
        burst: 2,
    };
    let grants = QuotaGrants {
        incarnation: 1,
        at: report.at,
        set: SetNumber { term: 1, number: 1 },
        replaces: Some(report.set),
        leases: Some(vec![(id, lease)]),
        credits: Vec::new(),
    };
    assert!(holder.apply(Millis(1_010), &grants));
    holder
}

/// Guards against a new bucket that is full, and against leases that last longer than their life
/// since the report was sent.
#[test]
fn holder_lease_life() {
    let id = AccountId::of(&"grocers".into());
    let mut holder = leased_holder(id);
    assert!(matches!(
        holder.take(Millis(1_900), id, Millis(0)),
        Take::Refused(_)
    ));
    granted(holder.take(Millis(2_100), id, Millis(0)));
    granted(holder.take(Millis(4_990), id, Millis(0)));
    assert!(!holder.has_leases(Millis(5_000)));
    assert!(matches!(
        holder.take(Millis(5_000), id, Millis(0)),
        Take::Refused(_)
    ));
}

/// Guards against a request that has not run and yet costs its account a token, and against a
/// returned token that the bucket would have discarded meanwhile.
#[rstest]
#[case::soon(Millis(2_500))]
#[case::bucket_full_meanwhile(Millis(3_500))]
fn holder_refund(#[case] returned: Millis) {
    let id = AccountId::of(&"grocers".into());
    let mut holder = leased_holder(id);
    let permit = granted(holder.take(Millis(2_100), id, Millis(0)));
    holder.refund(returned, id, permit);
    granted(holder.take(returned, id, Millis(0)));
    let next = holder.take(returned, id, Millis(0));
    assert!(matches!(next, Take::Refused(_)), "{next:?}");
}

/// Guards against accounts below their limits that are refused while upstreams are overloaded:
/// requests that wait there for longer than a credit lasts, and then don't run, cost no credit.
#[test]
fn holder_refund_credit() {
    let id = AccountId::of(&"grocers".into());
    let mut holder = leased_holder(id);
    assert_eq!(holder.take(Millis(1_020), id, Millis(100)), Take::Wait);
    let report = holder.report(Millis(1_060));
    let grants = QuotaGrants {
        incarnation: 1,
        at: report.at,
        set: SetNumber { term: 1, number: 1 },
        replaces: None,
        leases: None,
        credits: vec![Credit {
            account: id,
            requests: 1,
        }],
    };
    holder.apply(Millis(1_100), &grants);
    let permit = holder.poll(Millis(1_100), id).expect("a credit");
    holder.refund(Millis(1_800), id, permit);
    granted(holder.take(Millis(1_800), id, Millis(0)));
}

/// Guards against refused requests that are all told to return at the same time.
#[test]
fn holder_retry_after_spread() {
    let id = AccountId::of(&"grocers".into());
    let mut holder = leased_holder(id);
    let mut waits = Vec::new();
    for _ in 0..3 {
        match holder.take(Millis(1_010), id, Millis(0)) {
            Take::Refused(wait) => waits.push(wait.0),
            other => panic!("{other:?}"),
        }
    }
    assert!(waits.is_sorted_by(|a, b| a + 900 <= *b), "{waits:?}");
}
