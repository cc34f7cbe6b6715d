//! Tests of requests with an idempotency key and of requests that crash upstreams, with real
//! daemons.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use futures::future::join_all;
use http::{Request, Response, StatusCode};
use sycamoreflow_testbed::caller;
use sycamoreflow_testbed::mesh::{Host, Mesh};
use sycamoreflow_testbed::upstream::{Behaviour, NUMBER_HEADER, Upstream};
use sycamoreflow_transport::http::client::Client;

const ANSWERS: &str = include_str!("../examples/quickstart/answers.toml");
/// Longest wait for a state of the mesh. It is long because a busy machine may suspend the test.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    mesh: Mesh,
    upstreams: Vec<Upstream>,
    client: Client,
}

impl Fixture {
    async fn start(behaviour: Behaviour) -> Self {
        let host = |index: usize| Host {
            daemon: format!("sfax-{index}"),
            data_centre: format!("sfax-{}", ["a", "b", "c"][index % 3]),
        };
        let hosts: Vec<Host> = (0..4).map(host).collect();
        let mesh = Mesh::start("sfax", &hosts).await.expect("the mesh starts");
        let mut upstreams = Vec::new();
        for index in 0..3 {
            let daemon = mesh.announce_address(index);
            let upstream = Upstream::start("orders", "v1", 9, behaviour, daemon).await;
            upstreams.push(upstream.expect("the upstream starts"));
        }
        let operator = mesh.operator();
        let approved = operator.approve("keys-1", ANSWERS, TIMEOUT).await;
        let approved = approved.expect("the answers are approved");
        let converged = operator
            .wait_for_convergence(approved.version, 4, TIMEOUT)
            .await;
        converged.expect("the version is in force");
        let fixture = Self {
            mesh,
            upstreams,
            client: caller::client(),
        };
        fixture.wait_for_holders().await;
        fixture
    }

    /// Waits until every daemon knows the endpoints and the key holders of the service orders.
    async fn wait_for_holders(&self) {
        let deadline = Instant::now() + TIMEOUT;
        let orders = "orders".into();
        loop {
            let views = (0..4).filter_map(|index| self.mesh.daemon(index)?.proxy().view());
            let ready = views.filter(|view| {
                view.key_holders(&orders).is_some() && view.endpoints().count() == 3
            });
            if ready.count() == 4 {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "not all daemons know the endpoints and key holders"
            );
            task::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn post(
        &self,
        index: usize,
        key: Option<&str>,
        number: u64,
        body: &str,
    ) -> Response<Bytes> {
        let target: SocketAddr = self.mesh.calls_address(index);
        let mut request = Request::post("/blend-orders").header(NUMBER_HEADER, number);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Bytes::from(body.to_owned()));
        let request = request.expect("the request is valid");
        let answer = self
            .client
            .send(target, request, Instant::now() + TIMEOUT)
            .await;
        answer.expect("the daemon answers")
    }

    fn runs(&self, number: u64) -> u32 {
        let runs = self.upstreams.iter().map(|u| u.stats().runs());
        runs.filter_map(|runs| runs.get(&number).copied()).sum()
    }
}

fn verdict(response: &Response<Bytes>) -> &str {
    let value = response.headers().get("sycamoreflow-verdict");
    value.and_then(|v| v.to_str().ok()).unwrap_or("none")
}

const QUICK: Behaviour = Behaviour {
    service_time: Duration::from_millis(2),
    fails: false,
};
const SLOW: Behaviour = Behaviour {
    service_time: Duration::from_millis(400),
    fails: false,
};

/// Guards against a second run of a keyed request that its caller sends again to other daemons
/// after the first answer.
#[async_std::test]
async fn resend_after_answer() {
    let fixture = Fixture::start(QUICK).await;
    let first = fixture.post(0, Some("order-1"), 1, "blend").await;
    assert_eq!(first.status(), StatusCode::OK, "{first:?}");
    for index in 0..4 {
        let again = fixture.post(index, Some("order-1"), 1, "blend").await;
        assert_eq!(again.body(), first.body(), "{again:?}");
    }
    assert_eq!(fixture.runs(1), 1);
    // A request with another key runs separately.
    fixture.post(1, Some("order-2"), 1, "blend").await;
    assert_eq!(fixture.runs(1), 2);
}

/// Guards against a second run of a keyed request that arrives again at other daemons while the
/// first run is in progress.
#[async_std::test]
async fn resend_while_running() {
    let fixture = Fixture::start(SLOW).await;
    let sends = (0..4).map(|index| fixture.post(index, Some("order-1"), 7, "blend"));
    let answers = join_all(sends).await;
    for answer in &answers {
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
        assert_eq!(answer.body(), "7");
    }
    assert_eq!(fixture.runs(7), 1);
}

/// Guards against returning a stored answer for another request with the same key.
#[async_std::test]
async fn resend_other_request() {
    let fixture = Fixture::start(QUICK).await;
    fixture.post(0, Some("order-1"), 1, "blend").await;
    let other = fixture.post(1, Some("order-1"), 2, "another blend").await;
    assert_eq!(other.status(), StatusCode::BAD_REQUEST);
    assert_eq!(verdict(&other), "not-run");
    assert_eq!(fixture.runs(2), 0);
}

/// Guards against losing the record of a key when one of its three holders crashes, and against a
/// second send that never gets an answer.
#[async_std::test]
async fn resend_after_holder_died() {
    let mut fixture = Fixture::start(QUICK).await;
    let first = fixture.post(3, Some("order-1"), 1, "blend").await;
    assert_eq!(first.status(), StatusCode::OK, "{first:?}");
    fixture.mesh.kill(2).await;
    let again = fixture.post(3, Some("order-1"), 1, "blend").await;
    assert_eq!(again.body(), first.body(), "{again:?}");
    let next = fixture.post(3, Some("order-2"), 2, "blend").await;
    assert_eq!(next.status(), StatusCode::OK, "{next:?}");
    assert_eq!((fixture.runs(1), fixture.runs(2)), (1, 1));
}

/// Guards against a second run of a keyed request when the entry daemon crashes during the first
/// run and the caller sends the request again to another daemon, and against a verdict that denies
/// the first run.
#[async_std::test]
async fn resend_after_entry_died() {
    let mut fixture = Fixture::start(SLOW).await;
    let client = fixture.client.clone();
    let target = fixture.mesh.calls_address(3);
    let running = task::spawn(async move {
        let request = Request::post("/blend-orders")
            .header(NUMBER_HEADER, 5)
            .header("idempotency-key", "order-5")
            .body(Bytes::from("blend"))
            .expect("the request is valid");
        client.send(target, request, Instant::now() + TIMEOUT).await
    });
    let deadline = Instant::now() + TIMEOUT;
    while fixture.runs(5) == 0 {
        assert!(Instant::now() < deadline, "the request did not run in time");
        task::sleep(Duration::from_millis(5)).await;
    }
    fixture.mesh.kill(3).await;
    drop(running);
    let again = fixture.post(0, Some("order-5"), 5, "blend").await;
    assert_eq!(fixture.runs(5), 1, "{again:?}");
    assert_ne!(verdict(&again), "not-run", "{again:?}");
}

/// Guards against a request that crashes one upstream after another, and against refusing other
/// requests because of it.
#[async_std::test]
async fn resend_crashing_request() {
    let fixture = Fixture::start(QUICK).await;
    let crashed = || fixture.upstreams.iter().filter(|u| u.has_crashed()).count();
    let mut last = None;
    for send in 0..8 {
        let index = send % 4;
        let answer = fixture.post(index, None, 1, "crash").await;
        assert_ne!(answer.status(), StatusCode::OK);
        // The other daemons learn of the crash within one report interval.
        task::sleep(Duration::from_millis(1_500)).await;
        last = Some(answer);
    }
    assert!(crashed() <= 2, "{} of 3 upstreams crashed", crashed());
    let last = last.expect("the request was sent");
    assert_eq!(verdict(&last), "not-run", "{last:?}");
    let ordinary = fixture.post(0, None, 2, "blend").await;
    assert_eq!(ordinary.status(), StatusCode::OK, "{ordinary:?}");
}
