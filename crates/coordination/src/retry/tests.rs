use proptest::prelude::*;
use rstest::rstest;

use super::*;

const NOT_RUN: Failure = Failure {
    verdict: Verdict::NotRun,
    reason: Reason::Overloaded,
};
const MAY_HAVE_RUN: Failure = Failure {
    verdict: Verdict::MayHaveRun,
    reason: Reason::ConnectionLost,
};
const RAN: Failure = Failure {
    verdict: Verdict::Ran,
    reason: Reason::BadAnswer,
};
const CRASHES: Failure = Failure {
    verdict: Verdict::NotRun,
    reason: Reason::CrashesUpstreams,
};

fn budget(per_second: u64, burst: u64) -> RetryBudget {
    RetryBudget::new(BudgetConfig {
        per_first_send: Share::percent(10),
        per_second,
        burst,
    })
}

fn any_failure() -> impl Strategy<Value = Failure> {
    prop::sample::select(vec![NOT_RUN, MAY_HAVE_RUN, RAN, CRASHES])
}

/// Guards against retries that could run a request twice, and against safe retries that are not
/// made.
#[rstest]
#[case::idempotent_not_run(true, &[NOT_RUN], true)]
#[case::idempotent_may_have_run(true, &[MAY_HAVE_RUN], true)]
#[case::idempotent_ran(true, &[RAN], false)]
#[case::other_not_run(false, &[NOT_RUN], true)]
#[case::other_may_have_run(false, &[MAY_HAVE_RUN], false)]
#[case::other_hidden_by_refusal(false, &[MAY_HAVE_RUN, NOT_RUN], false)]
#[case::crashing(true, &[CRASHES], false)]
fn failed_decides(#[case] idempotent: bool, #[case] failures: &[Failure], #[case] retries: bool) {
    let mut attempts = Attempts::new(idempotent, Millis(100), 5);
    let mut budget = budget(0, 10);
    let mut next = RetryDecision::Retry;
    for failure in failures {
        attempts.pick(|_| Some("d".into()));
        next = attempts.failed(Millis(0), *failure, &mut budget);
    }
    assert_eq!(next == RetryDecision::Retry, retries);
}

/// Guards against attempts beyond the deadline, the maximum number of attempts or the budget.
#[rstest]
#[case::deadline(100, 5, 10, 0)]
#[case::attempts(0, 3, 10, 2)]
#[case::budget(0, 5, 1, 1)]
fn failed_stops(
    #[case] now: u64,
    #[case] max_attempts: usize,
    #[case] burst: u64,
    #[case] retries: usize,
) {
    let mut attempts = Attempts::new(true, Millis(100), max_attempts);
    let mut budget = budget(0, burst);
    let mut count = 0;
    loop {
        attempts.pick(|_| Some("d".into()));
        if attempts.failed(Millis(now), NOT_RUN, &mut budget) != RetryDecision::Retry {
            break;
        }
        count += 1;
    }
    assert_eq!(count, retries);
}

/// Guards against work that is lost because a planned stop has ended it at its host while the retry
/// budget was used up by failures.
#[rstest]
#[case::idempotent(true, 2, true)]
#[case::other(false, 2, false)]
#[case::last_attempt(true, 1, false)]
fn failed_ended_by_stop(
    #[case] idempotent: bool,
    #[case] max_attempts: usize,
    #[case] retries: bool,
) {
    let mut attempts = Attempts::new(idempotent, Millis(100), max_attempts);
    let mut budget = budget(0, 0);
    attempts.pick(|_| Some("d".into()));
    let ended = Failure::may_have_run(Reason::Draining);
    let next = attempts.failed(Millis(0), ended, &mut budget);
    assert_eq!(next == RetryDecision::Retry, retries);
}

proptest! {
    /// Guards against a budget that allows more retries than its share, rate and burst permit, even
    /// when time goes backwards.
    #[test]
    fn budget_bounds_retries(
        per_second in 0..20_u64,
        burst in 0..30_u64,
        steps in prop::collection::vec((0..3_u8, 0..2_000_u64), 1..400),
    ) {
        let mut budget = budget(per_second, burst);
        let (mut sends, mut granted, mut latest) = (0_u64, 0_u64, 0_u64);
        budget.withdraw(Millis(0)).then(|| granted += 1);
        for (action, time) in steps {
            match action {
                0 => {
                    sends += 1;
                    budget.first_send();
                }
                1 => latest += time / 10,
                _ => {
                    let now = Millis(latest.saturating_sub(time % 7));
                    granted += u64::from(budget.withdraw(now));
                }
            }
            let allowed = burst * 10_000 + sends * 1_000 + latest * per_second * 10;
            prop_assert!(granted * 10_000 <= allowed);
        }
    }

    /// Guards against a verdict that is not the maximum, against picking the same endpoint twice
    /// while there is another, and against sending a non-idempotent request that may have run.
    #[test]
    fn attempts_are_safe(
        idempotent: bool,
        endpoints in 1..5_usize,
        failures in prop::collection::vec(any_failure(), 1..8),
    ) {
        let ids: Vec<DaemonId> = (0..endpoints).map(|i| format!("d{i}").into()).collect();
        let mut attempts = Attempts::new(idempotent, Millis(100), 8);
        let mut budget = budget(0, 100);
        let mut max_verdict = Verdict::NotRun;
        for failure in failures {
            prop_assert!(
                max_verdict == Verdict::NotRun || (idempotent && max_verdict != Verdict::Ran)
            );
            attempts.pick(|avoid| ids.iter().find(|id| !avoid.contains(id)).cloned());
            let mut first = attempts.tried()[..endpoints.min(attempts.tried().len())].to_vec();
            first.sort();
            first.dedup();
            prop_assert_eq!(first.len(), endpoints.min(attempts.tried().len()));
            let repeated = attempts.tried().windows(2).any(|pair| pair[0] == pair[1]);
            prop_assert!(!repeated || endpoints == 1);
            max_verdict = max_verdict.max(failure.verdict);
            match attempts.failed(Millis(0), failure, &mut budget) {
                RetryDecision::Retry => {}
                RetryDecision::Fail(failure) => {
                    prop_assert_eq!(failure.verdict, max_verdict);
                    break;
                }
            }
        }
        prop_assert_eq!(attempts.verdict(), max_verdict);
    }
}
