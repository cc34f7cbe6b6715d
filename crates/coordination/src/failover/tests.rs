use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use super::*;

const SILENCE: Millis = Millis(1_500);
const MAX_BACKOFF: Millis = Millis(500);

/// Time that an attempt at a silent replica takes to fail.
const OPEN_TIMEOUT: Millis = Millis(1_500);

fn ids(count: usize) -> Vec<DaemonId> {
    (0..count)
        .map(|n| format!("r{n}").as_str().into())
        .collect()
}

/// Returns the time from the moment at which the first `silent` of `count` replicas fall silent
/// until a daemon that was subscribed to the first one starts an attempt at another replica.
fn search_time(count: usize, silent: usize, seed: u64) -> Millis {
    let mut rng = StdRng::seed_from_u64(seed);
    let known = ids(count);
    let mut failover = Failover::new(SILENCE, MAX_BACKOFF);
    let fell_silent = Millis(10_000);
    let mut now = fell_silent.after(SILENCE);
    let lasted = Millis(10_000);
    failover.subscription_ended(now, &known[0], Ended::Silent, lasted, &mut rng);
    let mut open: Vec<(DaemonId, Millis)> = Vec::new();
    loop {
        let next_timeout = open.first().map(|(_, at)| at.after(OPEN_TIMEOUT));
        match failover.next_step(now, &known, &mut rng) {
            Step::Start(replica) if known[..silent].contains(&replica) => open.push((replica, now)),
            Step::Start(_) => return now.since(fell_silent),
            Step::WaitUntil(time) if next_timeout.is_none_or(|timeout| time < timeout) => {
                now = time
            }
            Step::WaitUntil(_) | Step::Wait => {
                let (replica, _) = open.remove(0);
                now = next_timeout.expect("an attempt is in progress");
                failover.failed(now, &replica, Ended::Silent, &mut rng);
            }
        }
    }
}

/// Scenario: several replicas freeze at the same time, one of which serves the daemon.
///
/// Guards against daemons that stay on an old configuration because they wait for the timeout of
/// one silent replica after the other.
#[rstest]
#[case::one_of_three(3, 1)]
#[case::one_of_five(5, 1)]
#[case::two_of_five(5, 2)]
#[case::two_of_ten(10, 2)]
#[case::three_of_seven(7, 3)]
fn search_silent_replicas(#[case] count: usize, #[case] silent: usize) {
    let times: Vec<Millis> = (0..2_000)
        .map(|seed| search_time(count, silent, seed))
        .collect();
    let longest = times.iter().max().copied().unwrap_or_default();
    assert!(longest <= longest_search(SILENCE, silent), "{longest:?}");
    // The worst order occurs among the seeds, so the bound is not far above what can happen.
    assert!(
        longest.after(BACKOFF_MIN) >= longest_search(SILENCE, silent),
        "{longest:?}"
    );
}

/// Guards against a daemon that floods a group with attempts while its replicas run but have no
/// quorum yet, as after a restart of the whole group.
#[test]
fn next_step_replica_answers() {
    let mut rng = StdRng::seed_from_u64(1);
    let known = ids(3);
    let mut failover = Failover::new(SILENCE, MAX_BACKOFF);
    let now = Millis(1_000);
    let Step::Start(first) = failover.next_step(now, &known, &mut rng) else {
        panic!("no attempt was started");
    };
    failover.answered(now.after(Millis(20)), &first);
    let held_until = now.after(Millis(20)).after(ADMISSION_DELAY);
    let step = failover.next_step(now.after(Millis(50)), &known, &mut rng);
    assert_eq!(step, Step::WaitUntil(held_until));
    let Step::Start(second) = failover.next_step(held_until, &known, &mut rng) else {
        panic!("no second attempt was started");
    };
    assert_ne!(first, second);
    // A refusal ends the wait for the replica that answered.
    failover.failed(held_until, &first, Ended::Closed, &mut rng);
    let now = held_until.after(BACKOFF_MIN);
    assert!(matches!(
        failover.next_step(now, &known, &mut rng),
        Step::Start(_)
    ));
}

/// Guards against two attempts at the same replica, and against an unbounded number of attempts.
#[test]
fn next_step_bounded() {
    let mut rng = StdRng::seed_from_u64(1);
    let known = ids(10);
    let mut failover = Failover::new(SILENCE, MAX_BACKOFF);
    let mut started: Vec<DaemonId> = Vec::new();
    let mut now = Millis(1_000);
    loop {
        match failover.next_step(now, &known, &mut rng) {
            Step::Start(replica) => started.push(replica),
            Step::WaitUntil(time) => now = time,
            Step::Wait => break,
        }
    }
    assert_eq!(started.len(), MAX_OVERLAPPING);
    started.sort();
    started.dedup();
    assert_eq!(started.len(), MAX_OVERLAPPING);
}

/// Guards against a daemon that returns earlier than its replica has asked for.
#[test]
fn failed_retry_after() {
    let mut rng = StdRng::seed_from_u64(1);
    let known = ids(3);
    let mut failover = Failover::new(SILENCE, MAX_BACKOFF);
    let now = Millis(1_000);
    let Step::Start(replica) = failover.next_step(now, &known, &mut rng) else {
        panic!("no attempt was started");
    };
    let asked = Millis(2_000);
    let wait = failover.failed(now, &replica, Ended::RetryAfter(asked), &mut rng);
    assert!(
        wait >= asked && wait <= asked.after(BACKOFF_MIN),
        "{wait:?}"
    );
    let step = failover.next_step(now.after(Millis(1_999)), &known, &mut rng);
    assert_eq!(step, Step::WaitUntil(now.after(wait)));
}
