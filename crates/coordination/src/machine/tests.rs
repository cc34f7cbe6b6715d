#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::config::{
    FinishTime, LowTraffic, RolloutRule, RouteConfig, ServiceConfig, Share,
};
use sycamoreflow_state::ids::RouteName;
use sycamoreflow_state::view::{Interest, View};

use super::*;

pub(crate) fn config(version: &str) -> MeshConfig {
    let mut config = MeshConfig::default();
    let service = ServiceConfig {
        version: version.into(),
        callers: Vec::new(),
        rollout: RolloutRule {
            steps: vec![Share::ALL],
            finish: FinishTime::Within(Millis(1000)),
            watch: Millis(1000),
            max_extra_failures: Share::percent(1),
            max_slowdown_percent: 200,
            false_alarm: Share::percent(1),
            low_traffic: LowTraffic::Stay,
            max_exposure: None,
            exposure_slack: 0,
        },
        min_endpoints: Share::percent(50),
        retry_budget: Share::percent(10),
        cold_start: None,
    };
    config.services.insert("orders".into(), service);
    config.routes.insert("orders".into(), route("orders"));
    config
}

fn route(service: &str) -> RouteConfig {
    RouteConfig {
        service: service.into(),
        prefix: "/orders".to_owned(),
        methods: Vec::new(),
        idempotent: false,
        tenants: Vec::new(),
        timeout: Millis(1000),
        delivery: Default::default(),
    }
}

pub(crate) fn approve(request: &str, base: u64, answers: &str, at: u64) -> Command {
    Command::Approve {
        request: request.into(),
        base: ConfigVersion(base),
        operator: format!("operator of {request}"),
        answers: answers.to_owned(),
        config: config(answers),
        at: Millis(at),
    }
}

fn holder(name: &str) -> KeyHolder {
    let address = "127.0.0.1:1".parse().unwrap();
    let daemon = name.into();
    KeyHolder { daemon, address }
}

fn holders(epoch: u64, names: &[&str]) -> Command {
    Command::SetKeyHolders {
        service: "orders".into(),
        epoch,
        daemons: names.iter().map(|name| holder(name)).collect(),
    }
}

fn approved(version: u64, repeated: bool) -> Outcome {
    Outcome::Approved {
        version: ConfigVersion(version),
        rollouts: Vec::new(),
        repeated,
    }
}

/// Guards against two approvals with the same base that are both accepted.
#[test]
fn apply_racing_approvals() {
    let mut state = ControlState::default();
    assert_eq!(
        state.apply(1, &approve("a", 0, "v1", 1)),
        approved(1, false)
    );
    let outcome = state.apply(2, &approve("b", 0, "v2", 2));
    let by = "operator of a".to_owned();
    let conflict = Outcome::Conflict {
        current: ConfigVersion(1),
        by,
        repeated: false,
    };
    assert_eq!(outcome, conflict);
    assert_eq!(state.approved().answers, "v1");
}

/// Guards against a resent request that is applied again, or that receives an outcome computed from
/// a later state, after a snapshot was restored.
#[test]
fn apply_resend_after_snapshot() {
    let mut state = ControlState::default();
    state.apply(1, &approve("a", 0, "v1", 1));
    state.apply(2, &approve("b", 0, "v2", 2));
    state.apply(3, &approve("c", 1, "v3", 3));
    let mut state = ControlState::decode(&state.encode().unwrap()).unwrap();
    assert_eq!(state.apply(4, &approve("a", 0, "v1", 9)), approved(1, true));
    let outcome = state.apply(5, &approve("b", 0, "v2", 9));
    assert!(matches!(
        outcome,
        Outcome::Conflict {
            current: ConfigVersion(1),
            repeated: true,
            ..
        }
    ));
    assert_eq!(
        state.apply(6, &approve("a", 0, "v9", 9)),
        Outcome::RequestIdReused
    );
    assert_eq!(state.version(), ConfigVersion(2));
}

/// Guards against a resent request that is accepted again after its outcome was dropped.
#[test]
fn apply_resend_after_retention() {
    let mut state = ControlState::default();
    state.apply(1, &approve("a", 0, "v1", 1));
    let later = OUTCOME_RETENTION.0 + 2;
    state.apply(2, &approve("b", 1, "v2", later));
    assert!(state.outcome(&"a".into(), ConfigVersion(0), "v1").is_none());
    let outcome = state.apply(3, &approve("a", 0, "v1", later));
    assert!(matches!(
        outcome,
        Outcome::Conflict {
            current: ConfigVersion(2),
            ..
        }
    ));
    assert_eq!(state.approved().answers, "v2");
}

/// Guards against outcomes and history records that grow without bound.
#[test]
fn apply_many_requests() {
    let mut state = ControlState::default();
    for index in 1..=MAX_OUTCOMES as u64 + 10 {
        // A base above the current version keeps this test fast: every request is a conflict, whose
        // outcome is recorded.
        state.apply(index, &approve(&format!("r{index}"), u64::MAX, "v", 1));
    }
    let find = |n: u64| {
        state.outcome(
            &format!("r{n}").as_str().into(),
            ConfigVersion(u64::MAX),
            "v",
        )
    };
    assert!(find(10).is_none());
    assert!(find(11).is_some());
    for index in 0..MAX_HISTORY as u64 + 5 {
        let base = state.version().0;
        state.apply(
            1_000_000 + index,
            &approve(&format!("h{index}"), base, "v", 1),
        );
    }
    assert_eq!(state.history().count(), MAX_HISTORY);
}

/// Guards against the acceptance of a configuration with dangling references, invalid rollout steps
/// or two routes for the same requests.
#[rstest]
#[case::unknown_service(|c: &mut MeshConfig| c.routes[0].service = "absent".into())]
#[case::unknown_tenant(|c: &mut MeshConfig| c.routes[0].tenants.push("absent".into()))]
#[case::unknown_caller(|c: &mut MeshConfig| c.services[0].callers.push("absent".into()))]
#[case::falling_steps(|c: &mut MeshConfig| c.services[0].rollout.steps.insert(0, Share::ALL))]
#[case::no_steps(|c: &mut MeshConfig| c.services[0].rollout.steps.clear())]
#[case::shadowed(|c: &mut MeshConfig| { c.routes.insert(RouteName::from("x"), route("orders")); })]
fn apply_invalid_config(#[case] invalidate: fn(&mut MeshConfig)) {
    let mut state = ControlState::default();
    let mut command = approve("a", 0, "v1", 1);
    let Command::Approve { config, .. } = &mut command else {
        unreachable!()
    };
    invalidate(config);
    assert_eq!(command.problems().len(), 1);
    assert!(matches!(state.apply(1, &command), Outcome::Invalid { .. }));
    assert_eq!(state.version(), ConfigVersion(0));
}

/// Guards against a change of key holders that replaces more than one of them, so that records are
/// lost, and against reused epochs.
#[test]
fn apply_key_holder_changes() {
    let mut state = ControlState::default();
    let refused = |outcome: &Outcome| matches!(outcome, Outcome::Refused { .. });
    assert!(refused(&state.apply(1, &holders(1, &["a", "b", "c"]))));
    state.apply(2, &approve("a", 0, "v1", 1));
    assert!(matches!(
        state.apply(3, &holders(1, &["a", "b", "c"])),
        Outcome::Done { changed: true, .. }
    ));
    assert!(refused(&state.apply(4, &holders(1, &["a", "b", "d"]))));
    assert!(refused(&state.apply(5, &holders(2, &["a", "d", "e"]))));
    assert!(matches!(
        state.apply(6, &holders(2, &["a", "b", "b"])),
        Outcome::Invalid { .. }
    ));
    assert!(matches!(
        state.apply(7, &holders(2, &["a", "b", "d"])),
        Outcome::Done { changed: true, .. }
    ));
    assert_eq!(state.version(), ConfigVersion(3));
    let mut removal = approve("b", 3, "v1", 1);
    if let Command::Approve { config, .. } = &mut removal {
        *config = MeshConfig::default();
    }
    state.apply(8, &removal);
    state.apply(9, &approve("c", 4, "v1", 1));
    assert!(refused(&state.apply(10, &holders(1, &["a", "b", "c"]))));
    assert!(matches!(
        state.apply(11, &holders(3, &["a", "b", "c"])),
        Outcome::Done { changed: true, .. }
    ));
}

/// Guards against resources that do not form a valid view, which a proxy rejects entirely.
#[test]
fn resources_form_valid_view() {
    let mut state = ControlState::default();
    state.apply(1, &approve("a", 0, "v1", 1));
    state.apply(2, &holders(1, &["a", "b", "c"]));
    let mut view = View::new(Interest::All);
    for (key, resource) in state.resources() {
        view.insert(key, resource.into());
    }
    assert_eq!(view.verify(&Interest::All), Ok(()));
    assert_eq!(view.len(), 4);
}

/// Guards against a log entry that is applied twice.
#[test]
fn apply_same_index_again() {
    let mut state = ControlState::default();
    state.apply(5, &approve("a", 0, "v1", 1));
    let before = state.clone();
    assert!(matches!(
        state.apply(5, &approve("b", 1, "v2", 1)),
        Outcome::Refused { .. }
    ));
    assert_eq!(state, before);
}

fn commands() -> impl Strategy<Value = Vec<(u8, u64, u8, u64)>> {
    prop::collection::vec((0..6u8, 0..6u64, 0..3u8, 0..100u64), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against versions that decrease or skip a value, against two accepted approvals with
    /// the same base, and against a state that differs after it was restored from a snapshot.
    #[test]
    fn apply_any_order(list in commands(), snapshot_at in 0..60usize) {
        let mut state = ControlState::default();
        let mut restored = ControlState::default();
        let mut accepted_by_base = BTreeMap::new();
        for (position, (request, base, answers, at)) in list.into_iter().enumerate() {
            let command = approve(&format!("r{request}"), base, &format!("v{answers}"), at);
            let before = state.version();
            let index = position as u64 + 1;
            let outcome = state.apply(index, &command);
            let increase = state.version().0 - before.0;
            if let Outcome::Approved { repeated: false, .. } = outcome {
                prop_assert_eq!(increase, 1);
                prop_assert!(accepted_by_base.insert(base, request).is_none());
            } else {
                prop_assert_eq!(increase, 0);
            }
            if position == snapshot_at {
                restored = ControlState::decode(&restored.encode().unwrap()).unwrap();
            }
            prop_assert_eq!(restored.apply(index, &command), outcome);
        }
        prop_assert_eq!(state.encode().unwrap(), restored.encode().unwrap());
    }

    /// Guards against a decoder that panics on corrupt entries.
    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Command::decode(&bytes);
        let _ = ControlState::decode(&bytes);
    }
}
