#![allow(clippy::unwrap_used)]

use rstest::rstest;

use super::*;
use crate::config::{FinishTime, LowTraffic};

fn rollout(phase: RolloutPhase, steps: &[u32]) -> Rollout {
    let record = |percent: &u32| StepRecord {
        at: Millis(u64::from(*percent)),
        share: Share::percent(*percent),
    };
    Rollout {
        number: 7,
        service: "orders".into(),
        from: "v1".into(),
        to: "v2".into(),
        phase,
        step: steps.len() as u32,
        started: Millis(0),
        finish_by: Millis(1_000),
        ended: None,
        reason: None,
        steps: steps.iter().map(record).collect(),
        extra_calls: 0,
        test_share: Share::NONE,
        passed: None,
        rule: RolloutRule {
            steps: vec![Share::percent(5), Share::ALL],
            finish: FinishTime::Within(Millis(1_000)),
            watch: Millis(500),
            max_extra_failures: Share::percent(1),
            max_slowdown_percent: 200,
            false_alarm: Share::percent(1),
            low_traffic: LowTraffic::Stay,
            max_exposure: None,
            exposure_slack: 0,
        },
    }
}

/// Guards against a share that doesn't match the phase, in particular one that remains after a
/// rollback.
#[rstest]
#[case::planned(RolloutPhase::Planned, &[], Share::NONE, Some(Share::percent(5)))]
#[case::moving(RolloutPhase::Moving, &[5], Share::percent(5), Some(Share::ALL))]
#[case::testing(RolloutPhase::Testing, &[5, 100], Share::ALL, None)]
#[case::watching(RolloutPhase::Watching, &[5, 100], Share::ALL, None)]
#[case::done(RolloutPhase::Done, &[5, 100], Share::ALL, None)]
#[case::rolled_back(RolloutPhase::TakenBack, &[5], Share::NONE, None)]
fn share_by_phase(
    #[case] phase: RolloutPhase,
    #[case] steps: &[u32],
    #[case] share: Share,
    #[case] next: Option<Share>,
) {
    let rollout = rollout(phase, steps);
    assert_eq!(rollout.share(), share);
    assert_eq!(rollout.next_share(), next);
}

/// Guards against a displayed line without the reason and the route of a rollback, and against a
/// rollout that JSON does not preserve.
#[test]
fn display_rolled_back() {
    let mut rollout = rollout(RolloutPhase::TakenBack, &[5]);
    rollout.reason = Some(RollBackReason::Failures(BadRatio {
        route: Some("place-order".into()),
        candidate: Share::percent(50),
        stable: Share::NONE,
        calls: 30,
    }));
    assert_eq!(
        rollout.to_string(),
        "rollout 7: orders v1 -> v2 taken-back at step 1 of 2 (0.00% of traffic): failed calls: \
         50.00% against 0.00% of the old version in 30 calls on route place-order"
    );
    let json = serde_json::to_string(&rollout).unwrap();
    assert_eq!(serde_json::from_str::<Rollout>(&json).unwrap(), rollout);
}
