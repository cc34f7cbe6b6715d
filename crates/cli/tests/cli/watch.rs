use rstest::rstest;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{ConfigVersion, EndpointVersion, Millis};
use sycamoreflow_state::operator::{
    Convergence, RejectedBy, ReplicaStatus, RolloutPhase, RolloutStatus, StatusResponse,
};

use crate::stand_in::{Files, Reply, StandIn, closed_address};

fn status(version: u64, in_force: u64) -> StatusResponse {
    StatusResponse {
        mesh: "sfax".to_owned(),
        daemon: "d1".into(),
        config: ConfigVersion(version),
        endpoints: EndpointVersion { term: 3, seq: 1 },
        leader: Some("c1".into()),
        replicas: vec![ReplicaStatus {
            daemon: "c1".into(),
            voter: true,
            reachable: true,
            log_index: 12,
        }],
        convergence: Convergence {
            daemons: 3,
            in_force,
            duration: None,
            missing: Vec::new(),
            rejected: Vec::new(),
        },
        rollouts: Vec::new(),
        evacuations: Vec::new(),
        remaining: Vec::new(),
    }
}

fn with_rollout(number: u64, phase: RolloutPhase) -> StatusResponse {
    let mut status = status(8, 3);
    let reason = (phase == RolloutPhase::TakenBack).then(|| "failures".to_owned());
    status.rollouts.push(RolloutStatus {
        rollout: number,
        approved: ConfigVersion(8),
        service: "orders".into(),
        from: "v1".into(),
        to: "v2".into(),
        phase,
        share: Share::percent(25),
        finish: Millis(1_796_374_800_000),
        reason,
    });
    status
}

fn watch(replies: &[StatusResponse], args: &[&str]) -> (u8, String, usize) {
    let server = StandIn::start(replies.iter().map(Reply::ok).collect());
    let output = Files::new("").run_without_file("watch", &[server.address], args);
    (output.code, output.stdout, server.received().len())
}

// Guards against success before the version is in force at all daemons, because a daemon is missing
// or because a status is older than an earlier one.
#[test]
fn watch_in_force() {
    let replies = [status(8, 2), status(7, 3), status(8, 2), status(8, 3)];
    let (code, out, requests) = watch(&replies, &[]);
    assert_eq!((code, requests), (0, 4));
    let expected = "version 8, in force at 2 of 3 daemons\nversion 8, in force at 3 of 3 daemons\n";
    assert_eq!(out, expected);
}

// Guards against success at an earlier version than the requested one.
#[test]
fn watch_later_version() {
    let replies = [status(8, 3), status(9, 3)];
    assert_eq!(watch(&replies, &["--version", "9"]).2, 2);
}

// Guards against waiting for a version that a daemon has rejected, and beyond the timeout.
#[test]
fn watch_rejected_or_late() {
    let mut rejected = status(8, 2);
    rejected.convergence.rejected.push(RejectedBy {
        daemon: "d3".into(),
        reason: "digest".to_owned(),
    });
    assert_eq!(watch(&[rejected], &[]).0, 1);
    assert_eq!(watch(&[status(8, 2)], &["--timeout", "1"]).0, 1);
}

// Guards against reporting a rollback as success, and against watching an earlier rollout than the
// latest one.
#[rstest]
#[case(RolloutPhase::Done, 0)]
#[case(RolloutPhase::TakenBack, 6)]
fn watch_rollout_end(#[case] end: RolloutPhase, #[case] code: u8) {
    let mut moving = with_rollout(5, RolloutPhase::Moving);
    moving
        .rollouts
        .extend(with_rollout(4, RolloutPhase::Done).rollouts);
    let replies = [moving, with_rollout(5, end)];
    let (found, out, requests) = watch(&replies, &["--service", "orders"]);
    assert_eq!((found, requests), (code, 2), "{out}");
    assert!(
        out.starts_with("orders  v1 -> v2  moving  25%  by 2026-12-04T09:00:00Z\n"),
        "{out}"
    );
    assert_eq!(watch(&replies, &["--service", "stock"]).0, 1);
    assert_eq!(
        watch(&replies, &["--service", "orders", "--version", "8"]).0,
        code
    );
    let mut later = with_rollout(5, end);
    later.config = ConfigVersion(9);
    assert_eq!(
        watch(&[later], &["--service", "orders", "--version", "9"]).0,
        1
    );
}

// Guards against failing at the first interruption, and against tolerating an outage before the
// first response.
#[test]
fn watch_outage() {
    let replies = vec![
        Reply::ok(&status(8, 2)),
        Reply::Close,
        Reply::ok(&status(8, 3)),
    ];
    let server = StandIn::start(replies);
    let files = Files::new("");
    let output = files.run_without_file("watch", &[server.address], &["--json"]);
    assert_eq!(output.code, 0, "{output:?}");
    let lines: Vec<StatusResponse> = output
        .stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines, [status(8, 2), status(8, 3)]);
    assert_eq!(
        files
            .run_without_file("watch", &[closed_address()], &[])
            .code,
        5
    );
}

// Guards against state that is missing from the text output.
#[test]
fn status_text() {
    let server = StandIn::start(vec![Reply::ok(&with_rollout(5, RolloutPhase::TakenBack))]);
    let output = Files::new("").run_without_file("status", &[server.address], &[]);
    let expected = "\
mesh sfax, answered by d1
version 8, in force at 3 of 3 daemons
endpoints version 3.1
leader c1

replicas
  c1  voter  reachable  log 12
  one more loss stops changes; see docs/control-group.md

rollouts
  orders  v1 -> v2  taken-back  25%  by 2026-12-04T09:00:00Z  failures
";
    assert_eq!(output.stdout, expected);
}
