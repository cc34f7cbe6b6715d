use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;

/// Scenario: a network partition in which most replicas have no quorum.
///
/// Guards against daemons that take too long to reach a replica with a quorum. A change must be in
/// force 2 s after its acknowledgement, and a replica without a leader takes 0.6 s to report that.
#[test]
fn next_within_pass() {
    for seed in 0..1_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut backoff = Backoff::new(Millis(5_000));
        let waits = (0..6).map(|_| backoff.next_wait(&mut rng, false).0);
        assert!(waits.sum::<u64>() <= 600);
    }
}

/// Guards against daemons that reconnect at a high rate to a group without a quorum, and against
/// waits above the maximum.
#[test]
fn next_after_passes() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(Millis(5_000));
    for _ in 0..10 {
        backoff.next_wait(&mut rng, true);
    }
    let waits: Vec<u64> = (0..100)
        .map(|_| backoff.next_wait(&mut rng, false).0)
        .collect();
    assert!(waits.iter().all(|wait| *wait <= 5_000));
    assert!(waits.iter().any(|wait| *wait > 2_500));
    backoff.reset();
    assert!(backoff.next_wait(&mut rng, false) <= BACKOFF_MIN);
}
