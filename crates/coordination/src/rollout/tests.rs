#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use sycamoreflow_state::config::{LowTraffic, RolloutRule, Share};

use super::*;

const WATCH: Millis = Millis(1000);

fn service_config(version: &str) -> ServiceConfig {
    ServiceConfig {
        version: version.into(),
        callers: Vec::new(),
        rollout: RolloutRule {
            steps: vec![Share::percent(1), Share::percent(10), Share::ALL],
            finish: FinishTime::Within(Millis(60_000)),
            watch: WATCH,
            max_extra_failures: Share::percent(1),
            max_slowdown_percent: 200,
            false_alarm: Share::percent(1),
            low_traffic: LowTraffic::Finish,
            max_exposure: None,
            exposure_slack: 0,
        },
        min_endpoints: Share::percent(50),
        retry_budget: Share::percent(10),
        cold_start: None,
    }
}

fn mesh(version: Option<&str>) -> MeshConfig {
    let mut config = MeshConfig::default();
    if let Some(version) = version {
        config
            .services
            .insert("orders".into(), service_config(version));
    }
    config
}

fn orders() -> ServiceName {
    "orders".into()
}

fn command(rollout: u64, step: u32, at: u64, action: RolloutAction) -> RolloutCommand {
    RolloutCommand {
        rollout,
        step,
        at: Millis(at),
        action,
    }
}

fn started() -> Rollouts {
    let mut rollouts = Rollouts::default();
    rollouts.approve(&mesh(Some("v1")), Millis(0));
    rollouts.approve(&mesh(Some("v2")), Millis(10));
    rollouts
}

fn advanced(steps: u32) -> Rollouts {
    let mut rollouts = started();
    for step in 0..steps {
        let at = 20 + u64::from(step);
        let result = rollouts.apply(&command(1, step, at, RolloutAction::Advance));
        assert_eq!(result, Ok(true));
    }
    rollouts
}

fn candidate_share(rollouts: &Rollouts) -> Option<Share> {
    Some(rollouts.traffic(&orders())?.candidate?.share)
}

/// Guards against a first version that goes through rollout steps although there is no stable
/// version to compare it with.
#[test]
fn approve_first_version() {
    let mut rollouts = Rollouts::default();
    let effects = rollouts.approve(&mesh(Some("v1")), Millis(0));
    let introduced = ApprovalEffect::Introduced {
        service: orders(),
        version: "v1".into(),
    };
    assert_eq!(effects, [introduced]);
    let split = rollouts.traffic(&orders()).unwrap();
    assert_eq!(split.stable, "v1".into());
    assert_eq!(split.candidate, None);
}

/// Guards against a stable version that is replaced before the watch period has ended.
#[test]
fn finish_after_watch() {
    let mut rollouts = advanced(3);
    let split = rollouts.traffic(&orders()).unwrap();
    assert_eq!(split.stable, "v1".into());
    assert_eq!(candidate_share(&rollouts), Some(Share::ALL));
    let early = rollouts.apply(&command(1, 3, 500, RolloutAction::Finish));
    let until = Millis(22).after(WATCH);
    assert_eq!(early, Err(RolloutConflict::WatchNotOver { until }));
    let finish = command(1, 3, until.0, RolloutAction::Finish);
    assert_eq!(rollouts.apply(&finish), Ok(true));
    assert_eq!(rollouts.traffic(&orders()).unwrap().stable, "v2".into());
    let repeat = rollouts.apply(&finish);
    assert_eq!(repeat, Err(RolloutConflict::Ended(RolloutPhase::Done)));
}

/// Guards against a version with limited exposure that receives all traffic, or loses its limit,
/// before it has passed its test, and against a rollout that finishes without the test.
#[test]
fn pass_test() {
    let mut config = mesh(Some("v1"));
    let rule = &mut config.services.get_mut(&orders()).unwrap().rollout;
    rule.max_exposure = Some(Share::percent(10));
    rule.steps = vec![Share::percent(4), Share::ALL];
    let mut rollouts = Rollouts::default();
    rollouts.approve(&config, Millis(0));
    config.services.get_mut(&orders()).unwrap().version = "v2".into();
    rollouts.approve(&config, Millis(10));
    let limit = |rollouts: &Rollouts| {
        rollouts
            .traffic(&orders())
            .unwrap()
            .candidate
            .unwrap()
            .limit
    };
    let early = rollouts.apply(&command(1, 0, 20, RolloutAction::Pass));
    assert_eq!(
        early,
        Err(RolloutConflict::WrongPhase(RolloutPhase::Planned))
    );
    rollouts
        .apply(&command(1, 0, 20, RolloutAction::Advance))
        .unwrap();
    assert_eq!(limit(&rollouts).map(|limit| limit.extra), Some(0));
    let test = command(
        1,
        1,
        30,
        RolloutAction::Test {
            extra_calls: 3,
            share: Share::percent(40),
        },
    );
    rollouts.apply(&test).unwrap();
    assert_eq!(rollouts.get(1).unwrap().phase, RolloutPhase::Testing);
    let testing = limit(&rollouts).unwrap();
    assert_eq!((testing.extra, testing.test_share), (3, Share::percent(40)));
    let finish = command(1, 2, 40, RolloutAction::Finish);
    let unfinished = RolloutConflict::WrongPhase(RolloutPhase::Testing);
    assert_eq!(rollouts.apply(&finish), Err(unfinished));
    let pass = command(1, 2, 50, RolloutAction::Pass);
    assert_eq!(rollouts.apply(&pass), Ok(true));
    assert_eq!(limit(&rollouts), None);
    assert_eq!(rollouts.get(1).unwrap().phase, RolloutPhase::Watching);
    assert_eq!(rollouts.traffic(&orders()).unwrap().stable, "v1".into());
    assert!(rollouts.apply(&pass).is_err());
    assert_eq!(
        rollouts.apply(&command(1, 2, 60, RolloutAction::Finish)),
        Ok(true)
    );
    assert_eq!(rollouts.traffic(&orders()).unwrap().stable, "v2".into());
}

/// Guards against a control replica that cannot decode state stored before exposure limits existed.
#[test]
fn decode_without_limit() {
    let rollouts = advanced(2);
    let stored = serde_json::to_string(&rollouts).unwrap();
    let mut earlier = stored.clone();
    for field in [
        ",\"max-exposure\":null",
        ",\"exposure-slack\":0",
        ",\"extra-calls\":0",
        ",\"passed\":null",
    ] {
        assert!(earlier.contains(field), "{field} in {stored}");
        earlier = earlier.replace(field, "");
    }
    assert_eq!(
        serde_json::from_str::<Rollouts>(&earlier).unwrap(),
        rollouts
    );
}

/// Guards against approvals with an undefined effect on a rollout in progress, in each phase.
#[rstest]
#[case::withdrawn_planned(0, Some("v1"), Some(RollBackReason::Withdrawn), None)]
#[case::withdrawn_watching(3, Some("v1"), Some(RollBackReason::Withdrawn), None)]
#[case::superseded_moving(2, Some("v3"), Some(RollBackReason::Superseded { by: "v3".into() }), Some("v3"))]
#[case::superseded_watching(3, Some("v3"), Some(RollBackReason::Superseded { by: "v3".into() }), Some("v3"))]
#[case::unchanged(2, Some("v2"), None, Some("v2"))]
#[case::removed(2, None, Some(RollBackReason::ServiceRemoved), None)]
fn approve_during_rollout(
    #[case] steps: u32,
    #[case] version: Option<&str>,
    #[case] reason: Option<RollBackReason>,
    #[case] candidate: Option<&str>,
) {
    let mut rollouts = advanced(steps);
    rollouts.approve(&mesh(version), Millis(100));
    assert_eq!(rollouts.get(1).unwrap().reason, reason);
    let split = rollouts.traffic(&orders());
    assert_eq!(split.is_some(), version.is_some());
    let actual = split.as_ref().and_then(|split| split.candidate.as_ref());
    assert_eq!(
        actual.map(|candidate| &candidate.version),
        candidate.map(VersionName::from).as_ref()
    );
    if let Some(split) = &split {
        assert_eq!(split.stable, "v1".into());
    }
}

/// Guards against an unrelated approval that restarts a rolled back version.
#[test]
fn approve_unchanged_after_roll_back() {
    let mut rollouts = advanced(1);
    let roll_back = command(1, 1, 50, RolloutAction::TakeBack(RollBackReason::Withdrawn));
    assert_eq!(rollouts.apply(&roll_back), Ok(true));
    assert_eq!(rollouts.apply(&roll_back), Ok(false));
    let effects = rollouts.approve(&mesh(Some("v2")), Millis(100));
    assert!(matches!(
        effects[..],
        [ApprovalEffect::StillRolledBack { .. }]
    ));
    let split = rollouts.traffic(&orders()).unwrap();
    assert_eq!(split.candidate, None);
    assert_eq!(split.blocked, ["v2".into()]);
}

/// Guards against a rolled back version that can never be approved again.
#[rstest]
#[case::through_stable(false)]
#[case::explicit(true)]
fn approve_anew(#[case] explicit: bool) {
    let mut rollouts = advanced(2);
    let roll_back = RolloutAction::TakeBack(RollBackReason::Withdrawn);
    rollouts.apply(&command(1, 2, 50, roll_back)).unwrap();
    if explicit {
        assert_eq!(rollouts.approve_anew(&orders(), Millis(60)), Some(2));
    } else {
        rollouts.approve(&mesh(Some("v1")), Millis(60));
        rollouts.approve(&mesh(Some("v2")), Millis(70));
    }
    assert_eq!(candidate_share(&rollouts), Some(Share::NONE));
    assert!(rollouts.traffic(&orders()).unwrap().blocked.is_empty());
    assert_eq!(rollouts.get(2).unwrap().step, 0);
    assert_eq!(rollouts.approve_anew(&orders(), Millis(80)), None);
}

/// Guards against a roll back that is rejected because the rollout advanced after it was decided.
#[test]
fn apply_roll_back_after_advance() {
    let mut rollouts = advanced(2);
    let roll_back = RolloutAction::TakeBack(RollBackReason::Withdrawn);
    assert_eq!(
        rollouts.apply(&command(1, 1, 50, roll_back.clone())),
        Ok(true)
    );
    let mut ahead = advanced(1);
    let result = ahead.apply(&command(1, 2, 50, roll_back));
    assert_eq!(result, Err(RolloutConflict::WrongStep { actual: 1 }));
}

/// Guards against unbounded growth of the history.
#[test]
fn history_bounded() {
    let mut rollouts = started();
    for n in 0..100 {
        rollouts.approve(&mesh(Some(&format!("w{n}"))), Millis(n));
    }
    let history = rollouts.history(&orders()).unwrap();
    assert_eq!(history.rollouts.len(), HISTORY_PER_SERVICE + 1);
    assert_eq!(history.blocked.len(), MAX_BLOCKED);
}

/// Guards against snapshots that lose part of the state.
#[test]
fn snapshot_round_trip() {
    let mut rollouts = advanced(2);
    rollouts.approve(&mesh(Some("v3")), Millis(100));
    let mut bytes = Vec::new();
    ciborium::into_writer(&rollouts, &mut bytes).unwrap();
    let decoded: Rollouts = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(decoded, rollouts);
}

#[derive(Clone, Debug)]
enum Event {
    Approve(usize),
    ApproveAnew,
    /// A leader proposes a command based on the state it has seen, which may be outdated.
    Propose {
        leader: usize,
        action: usize,
    },
    /// A leader receives the current state.
    CatchUp(usize),
    /// A proposal is applied, possibly repeatedly and out of order.
    Apply(prop::sample::Index),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        1 => (0usize..5).prop_map(Event::Approve),
        1 => Just(Event::ApproveAnew),
        6 => (0usize..3, 0usize..8).prop_map(|(leader, action)| Event::Propose { leader, action }),
        4 => (0usize..3).prop_map(Event::CatchUp),
        8 => any::<prop::sample::Index>().prop_map(Event::Apply),
    ];
    prop::collection::vec(event, 1..120)
}

fn propose(seen: &Rollouts, action: usize, at: u64) -> Option<RolloutCommand> {
    let rollout = seen.running().next()?;
    let action = match action {
        0 => RolloutAction::TakeBack(RollBackReason::Withdrawn),
        1 | 2 => RolloutAction::Finish,
        _ => RolloutAction::Advance,
    };
    Some(command(rollout.number, rollout.step, at, action))
}

/// Returns the violated invariant of a transition, computed independently of the code under test.
fn violation(before: &Rollouts, after: &Rollouts, approval: bool) -> Option<String> {
    for old in before.rollouts.values() {
        let Some(new) = after.rollouts.get(&old.number) else {
            continue;
        };
        if old.phase.is_final() && old != new {
            return Some(format!("final rollout {} changed", old.number));
        }
        if new.step > old.step + 1 || new.step < old.step {
            return Some(format!("jump from step {} to {}", old.step, new.step));
        }
        if new.phase == RolloutPhase::Done
            && old.phase != RolloutPhase::Done
            && new.ended.unwrap() < new.steps.last().unwrap().at.after(new.rule.watch)
        {
            return Some("done before the watch period was over".to_owned());
        }
    }
    for (name, state) in &after.services {
        let split = after.traffic(name).unwrap();
        if let Some(candidate) = &split.candidate
            && (split.blocked.contains(&candidate.version) || candidate.version == split.stable)
        {
            return Some("blocked or stable version is a candidate".to_owned());
        }
        let was_blocked = before
            .services
            .get(name)
            .map_or(&[][..], |old| &old.blocked);
        let unblocked = was_blocked.iter().any(|v| !state.blocked.contains(v));
        if unblocked && !approval && state.blocked.len() < MAX_BLOCKED {
            return Some("rolled back version was unblocked without approval".to_owned());
        }
    }
    None
}

/// Runs events against `apply` and returns the first violated invariant.
fn run(events: &[Event], apply: impl Fn(&mut Rollouts, &RolloutCommand)) -> Option<String> {
    let versions = [Some("v1"), Some("v2"), Some("v3"), Some("v2"), None];
    let mut rollouts = started();
    let mut leaders = vec![rollouts.clone(); 3];
    let mut proposals = Vec::new();
    for (time, event) in events.iter().enumerate() {
        let at = 100 + 300 * time as u64;
        let before = rollouts.clone();
        let mut approval = false;
        match event {
            Event::Approve(choice) => {
                approval = true;
                rollouts.approve(&mesh(versions[*choice]), Millis(at));
            }
            Event::ApproveAnew => {
                approval = true;
                rollouts.approve_anew(&orders(), Millis(at));
            }
            Event::Propose { leader, action } => {
                proposals.extend(propose(&leaders[*leader], *action, at));
            }
            Event::CatchUp(leader) => leaders[*leader] = rollouts.clone(),
            Event::Apply(index) if !proposals.is_empty() => {
                apply(&mut rollouts, index.get(&proposals));
            }
            Event::Apply(_) => {}
        }
        let found = violation(&before, &rollouts, approval);
        if found.is_some() {
            return found;
        }
    }
    None
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Guards against skipped steps, repeated steps and restarted final rollouts when commands of
/// several leaders arrive repeatedly and out of order.
#[test]
fn apply_arbitrary_commands() {
    let result = runner(2000).run(&events(), |events| {
        let found = run(&events, |rollouts, command| {
            let before = rollouts.clone();
            let changed = rollouts.apply(command);
            let split_changed = before.traffic(&orders()) != rollouts.traffic(&orders());
            assert_eq!(changed.unwrap_or(false), split_changed);
        });
        prop_assert_eq!(found, None);
        Ok(())
    });
    result.unwrap();
}

/// Guards against a property check that cannot fail: it must detect two faulty implementations.
#[rstest]
#[case::step_ignored(|rollouts: &mut Rollouts, command: &RolloutCommand| {
    let Some(rollout) = rollouts.get(command.rollout) else { return };
    let mut command = command.clone();
    command.step = rollout.step;
    for _ in 0..2 {
        let _ = rollouts.apply(&command);
        command.step += 1;
    }
})]
#[case::rolled_back_revived(|rollouts: &mut Rollouts, command: &RolloutCommand| {
    if let Some(rollout) = rollouts.rollouts.get_mut(&command.rollout)
        && rollout.phase == RolloutPhase::TakenBack
    {
        rollout.phase = RolloutPhase::Moving;
    }
    let _ = rollouts.apply(command);
})]
fn apply_broken_variant(#[case] broken: fn(&mut Rollouts, &RolloutCommand)) {
    let result = runner(2000).run(&events(), |events| {
        prop_assert_eq!(run(&events, broken), None);
        Ok(())
    });
    assert!(result.is_err());
}
