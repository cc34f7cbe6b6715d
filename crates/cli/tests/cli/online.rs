use std::fs;

use rstest::rstest;
use serde_json::{Value, json};
use sycamoreflow_state::answers::{Answers, template};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::generate::generate;
use sycamoreflow_state::ids::{ConfigVersion, EndpointVersion, Millis};
use sycamoreflow_state::operator::{
    ApproveResponse, ConfigResponse, DrainResponse, EndpointsResponse, ErrorCode, ErrorResponse,
    EvacuationResponse, HistoryEntry, HistoryEvent, HistoryResponse, RemainingCapacity,
};

use crate::stand_in::{Files, Reply, StandIn, closed_address};

fn config_in_force(mesh: &str) -> Reply {
    let answers = Answers::parse("a", template()).unwrap();
    Reply::ok(&ConfigResponse {
        mesh: mesh.to_owned(),
        version: ConfigVersion(7),
        answers: template().to_owned(),
        config: generate(&answers, Millis(0)).unwrap(),
    })
}

fn approved() -> Reply {
    Reply::ok(&ApproveResponse {
        version: ConfigVersion(8),
        repeated: false,
        rollouts: vec!["catalogue".into()],
    })
}

fn error(code: ErrorCode) -> Reply {
    let mut body = ErrorResponse::new(code, "refused");
    body.current = Some(ConfigVersion(9));
    Reply::Json(code.status(), serde_json::to_value(body).unwrap())
}

fn files() -> Files {
    Files::new(&template().replace("\"v1\"", "\"v2\""))
}

// Guards against a plan that does not show a rollout it would start, and against an approval that
// is based on another version than the plan.
#[test]
fn plan_then_approve() {
    let files = files();
    let server = StandIn::start(vec![config_in_force("example"), approved()]);
    let output = files.run("plan", &[server.address], &[]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output
            .stdout
            .contains("version: v1 -> v2\n    starts a rollout"),
        "{output:?}"
    );
    let output = files.run("approve", &[server.address], &["--json"]);
    assert_eq!(output.code, 0, "{output:?}");
    let out: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(out["version"], 8);
    let received = server.received();
    assert!(
        received[1].head.starts_with("POST /v1/approve HTTP/1.1"),
        "{received:?}"
    );
    assert!(received[1].head.contains("Bearer secret"), "{received:?}");
    assert_eq!(received[1].body["base"], 7);
    assert_eq!(
        received[1].body["config"]["services"]["catalogue"]["version"],
        "v2"
    );
    assert_eq!(out["request-id"], received[1].body["request-id"]);
    let output = files.run("approve", &[server.address], &[]);
    assert_eq!(output.code, 2, "the plan was not removed: {output:?}");
}

// Guards against an approval that takes effect twice because a resend has another request id. The
// resends are a retry within one command, a second command, and a command with the options from the
// error message.
#[test]
fn approve_lost_response() {
    let files = files();
    let server = StandIn::start(vec![config_in_force("example"), Reply::Close]);
    assert_eq!(files.run("plan", &[server.address], &[]).code, 0);
    let output = files.run("approve", &[server.address, server.address], &[]);
    assert_eq!(output.code, 5, "{output:?}");
    files.run("approve", &[server.address], &[]);
    let received = server.received();
    assert_eq!(received.len(), 4);
    let id = received[1].body["request-id"].as_str().unwrap();
    assert_eq!(received[2].body, received[1].body);
    assert_eq!(received[3].body, received[1].body);
    assert!(
        output
            .stderr
            .contains(&format!("--base 7 --request-id {id}")),
        "{output:?}"
    );
    let server = StandIn::start(vec![config_in_force("example"), approved()]);
    let output = files.run(
        "approve",
        &[server.address],
        &["--base", "7", "--request-id", id],
    );
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(server.received()[1].body, received[1].body);
}

// Guards against approving answers that differ from those of the plan, are for another mesh or are
// invalid.
#[test]
fn approve_other_answers() {
    let files = files();
    let server = StandIn::start(vec![config_in_force("example")]);
    assert_eq!(files.run("plan", &[server.address], &[]).code, 0);
    fs::write(files.answers(), template()).unwrap();
    let output = files.run("approve", &[server.address], &[]);
    assert_eq!(output.code, 2, "{output:?}");
    let other = StandIn::start(vec![config_in_force("other")]);
    assert_eq!(files.run("plan", &[other.address], &[]).code, 1);
    assert_eq!(
        files
            .run("approve", &[other.address], &["--base", "7"])
            .code,
        1
    );
    assert_eq!(other.received().len(), 2);
    fs::write(files.answers(), "mesh = 1").unwrap();
    assert_eq!(
        files
            .run("approve", &[server.address], &["--base", "7"])
            .code,
        4
    );
}

// Guards against exit codes that don't distinguish the kinds of failures, and against retrying a
// request that every daemon would refuse.
#[rstest]
#[case::conflict(error(ErrorCode::Conflict), 3, 1)]
#[case::invalid(error(ErrorCode::Invalid), 4, 1)]
#[case::unauthorized(error(ErrorCode::Unauthorized), 1, 1)]
#[case::reused(error(ErrorCode::RequestIdReused), 1, 1)]
#[case::unavailable(error(ErrorCode::Unavailable), 5, 2)]
#[case::internal(Reply::Json(500, Value::Null), 5, 2)]
#[case::close(Reply::Close, 5, 2)]
#[case::not_json(Reply::Json(200, json!("yes")), 5, 2)]
#[case::short(
    Reply::Raw(b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"version\":".to_vec()), 5, 2
)]
#[case::endless_head(Reply::Raw(b"HTTP/1.1 200 OK\r\nx: ".repeat(1 << 20)), 5, 2)]
#[case::large(
    Reply::Raw([
        b"HTTP/1.1 200 OK\r\ncontent-length: 20000000\r\n\r\n".to_vec(),
        vec![b' '; 20_000_000],
    ].concat()),
    5,
    2
)]
fn drain_failure(#[case] reply: Reply, #[case] code: u8, #[case] requests: usize) {
    let server = StandIn::start(vec![reply]);
    let addresses = [server.address, server.address];
    let output = files().run_without_file("drain", &addresses, &["d1"]);
    assert_eq!(output.code, code, "{output:?}");
    assert_eq!(server.received().len(), requests);
}

// Guards against a command that fails because one of several daemons is unresponsive or down.
#[test]
fn drain_next_address() {
    let silent = StandIn::start(vec![Reply::Silent]);
    let good = StandIn::start(vec![Reply::ok(&DrainResponse {
        version: EndpointVersion { term: 2, seq: 5 },
        endpoints: 1,
    })]);
    let addresses = [closed_address(), silent.address, good.address];
    let output = files().run_without_file("drain", &addresses, &["d1"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(
        output.stdout,
        "endpoints draining at d1: 1, endpoints version 2.5\n"
    );
    assert_eq!(
        good.received()[0].body,
        json!({ "daemon": "d1", "draining": true })
    );
    let output = files().run_without_file("drain", &[good.address], &["--undo", "d1"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(good.received()[1].body["draining"], false);
}

// Guards against an order for another data centre than the given one, and against a loss of capacity
// that the operator is not told.
#[rstest]
#[case::evacuate("evacuate", "POST", true, "sfax a is evacuated, version 9\n")]
#[case::restore("restore", "DELETE", false, "sfax a is in use, version 9\n")]
fn evacuate_and_restore(
    #[case] command: &str,
    #[case] method: &str,
    #[case] evacuated: bool,
    #[case] first_line: &str,
) {
    let capacity = |service: &str, remaining| RemainingCapacity {
        service: service.into(),
        slots: 12,
        remaining,
    };
    let server = StandIn::start(vec![Reply::ok(&EvacuationResponse {
        version: ConfigVersion(9),
        changed: true,
        evacuated,
        remaining: match evacuated {
            true => vec![capacity("orders", 8), capacity("stock", 0)],
            false => Vec::new(),
        },
    })]);
    let arguments = ["--request-id", "e1", "sfax a"];
    let output = files().run_without_file(command, &[server.address], &arguments);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.starts_with(first_line), "{output:?}");
    assert_eq!(output.stdout.contains("8 of 12 slots"), evacuated);
    assert_eq!(output.stdout.contains("150%"), evacuated);
    assert_eq!(output.stdout.contains("no endpoint is left"), evacuated);
    let expected = format!("{method} /v1/evacuations/sfax%20a?request-id=e1 HTTP/1.1");
    assert!(server.received()[0].head.starts_with(&expected));
}

// Guards against a service filter that is not sent to the daemon or not applied to the response.
#[test]
fn history_and_endpoints_of_service() {
    let history = HistoryResponse {
        entries: vec![HistoryEntry {
            version: ConfigVersion(8),
            at: Millis(1_796_374_800_000),
            service: Some("orders".into()),
            event: HistoryEvent::RolledBack {
                to: "v2".into(),
                reason: "failures".to_owned(),
            },
        }],
    };
    let server = StandIn::start(vec![Reply::ok(&history)]);
    let output = files().run_without_file("history", &[server.address], &["a&b"]);
    assert_eq!(
        output.stdout,
        "2026-12-04T09:00:00Z  version 8  orders  v2 taken back: failures\n"
    );
    assert!(
        server.received()[0]
            .head
            .starts_with("GET /v1/history?service=a%26b HTTP")
    );
    let endpoint = |service: &str| Endpoint {
        daemon: "d1".into(),
        service: service.into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        slots: 9,
        draining: true,
        drained_by_operator: false,
    };
    let server = StandIn::start(vec![Reply::ok(&EndpointsResponse {
        version: EndpointVersion::default(),
        endpoints: vec![endpoint("orders"), endpoint("catalogue")],
    })]);
    let args = ["--service", "catalogue"];
    let output = files().run_without_file("endpoints", &[server.address], &args);
    assert_eq!(
        output.stdout,
        "catalogue  v1  d1  sfax-a  127.0.0.1:7000  9 slots  draining\n"
    );
    let args = ["--service", "catalogue", "--json"];
    let output = files().run_without_file("endpoints", &[server.address], &args);
    let out: EndpointsResponse = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(out.endpoints, [endpoint("catalogue")]);
}

// Guards against error messages that don't say how to fix the options. The bodies of these
// responses are not errors of the operator interface.
#[rstest]
#[case::wrong_token(401, "operator-token-file")]
#[case::other_interface(404, "listen.operator")]
fn status_refused(#[case] status: u16, #[case] expected: &str) {
    let server = StandIn::start(vec![Reply::Json(status, json!({ "error": "no" }))]);
    let output = files().run_without_file("status", &[server.address], &[]);
    assert_eq!(output.code, 1, "{output:?}");
    assert!(output.stderr.contains(expected), "{output:?}");
}

// Guards against an error message for an unreachable control group that doesn't say what to check.
#[test]
fn status_unreachable() {
    let output = files().run_without_file("status", &[closed_address()], &[]);
    assert_eq!(output.code, 5, "{output:?}");
    assert!(output.stderr.contains("control replicas"), "{output:?}");
}
