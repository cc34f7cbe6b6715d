//! Tests of the owner role of a daemon: which requests it accepts during a planned stop, how it
//! reports queue time, and which refusals of an upstream it accepts as proof that a request has not
//! run.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use async_std::channel;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{self, Either, select};
use futures::{AsyncReadExt, AsyncWriteExt, join};
use http::{HeaderName, StatusCode};
use rstest::rstest;
use sycamoreflow_daemon::clock;
use sycamoreflow_daemon::proxy::crashes::CrashTracker;
use sycamoreflow_daemon::proxy::dialect::Dialect;
use sycamoreflow_daemon::proxy::owner::{CallCounts, InstanceReport, Owner, OwnerLimits};
use sycamoreflow_protocol::call::{Call, CallUrgency, RequestHead};
use sycamoreflow_state::config::{ColdStart, ServiceConfig, Share};
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_state::ids::{Micros, Millis};
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_state::view::{Evacuation, Interest, Resource, ResourceKey, View};
use sycamoreflow_transport::http::client::{Client, Limits};

const REQUEST_ID: &str = "attempt-id";

fn owner(address: SocketAddr) -> Owner {
    let owner = restarted_owner(address);
    owner.apply_departures(&View::new(Interest::All));
    owner
}

/// Returns an owner that has not had a view since its start.
fn restarted_owner(address: SocketAddr) -> Owner {
    let (urgent_report, _reports) = channel::bounded(1);
    Owner::new(
        "sfax-a-1".into(),
        "sfax-a".into(),
        address,
        OwnerLimits {
            max_wait: Millis(100),
            queue_per_slot: 4,
            adaptive_limit: true,
            link_bytes_per_s: 0,
        },
        Client::new(Limits::default()),
        Arc::new(CrashTracker::new("sfax-a-1".into(), 1, urgent_report)),
    )
}

fn announcement(address: SocketAddr, slots: u32) -> Announcement {
    Announcement {
        service: "orders".into(),
        version: "v1".into(),
        address,
        slots,
        health_path: None,
        load_path: None,
    }
}

fn call(idempotent: bool, request_id: &str) -> Call {
    Call {
        id: 1,
        remaining_ms: 1_000,
        service: "orders".into(),
        version: "v1".into(),
        route: "read-orders".into(),
        tenant: "default".into(),
        attempt: 0,
        key: None,
        fingerprint: None,
        urgency: CallUrgency {
            idempotent,
            ..CallUrgency::default()
        },
        caller: None,
        head: RequestHead {
            method: "GET".to_owned(),
            path_and_query: "/orders".to_owned(),
            headers: vec![(REQUEST_ID.to_owned(), request_id.as_bytes().to_vec().into())],
        },
        body: Vec::new(),
    }
}

fn default_deadline() -> Millis {
    clock::now().after(Millis(1_000))
}

/// Guards against a draining daemon that accepts new work again because its upstream, removed while
/// idle, renews its announcement.
#[async_std::test]
async fn deliver_announced_while_draining() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let owner = owner(address);
    owner.announce(announcement(address, 4));
    owner.drain();
    assert!(
        owner.expire(),
        "a draining upstream without calls must be removed"
    );
    for slots in [4, 8] {
        owner.announce(announcement(address, slots));
        let refused = owner.deliver(&call(false, "a1"), default_deadline()).await;
        assert_eq!(refused.err(), Some(Failure::not_run(Reason::Draining)));
    }
}

/// Guards against calls that an owner accepts during a planned stop although the stop may end them.
#[rstest]
#[case::ends_in_time(false, 1_000, 5_000, false, true)]
#[case::may_be_cut(false, 5_000, 1_000, false, false)]
#[case::may_be_repeated(true, 5_000, 1_000, false, false)]
#[case::repeated_elsewhere(true, 5_000, 1_000, true, false)]
#[async_std::test]
async fn deliver_before_stop(
    #[case] idempotent: bool,
    #[case] deadline_ms: u64,
    #[case] stop_in_ms: u64,
    #[case] leave_announced: bool,
    #[case] accepted: bool,
) {
    let address = start_upstream(vec!["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]).await;
    let owner = owner(address);
    owner.announce(announcement(address, 4));
    owner.begin_stop(Millis(stop_in_ms));
    if leave_announced {
        owner.announce_leaving();
    }
    let deadline = clock::now().after(Millis(deadline_ms));
    let result = owner.deliver(&call(idempotent, "a1"), deadline).await;
    let refusal = (!accepted).then_some(Failure::not_run(Reason::Draining));
    assert_eq!(result.err(), refusal);
}

/// Guards against an owner that cuts its links at the end of a stop while calls run or wait: entries
/// that stop as well had no time left to send the calls elsewhere, and no verdict.
#[async_std::test]
async fn deliver_in_progress_at_stop() {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(400);
    let address = start_delayed_upstream(Duration::from_secs(5), vec![ANSWER]).await;
    let owner = owner(address);
    owner.announce(announcement(address, 1));
    let deadline = clock::now().after(Millis(8_000));
    let (running, mut waiting) = (call(true, "a1"), call(true, "a2"));
    waiting.urgency.target_ms = Some(8_000);
    let calls = future::join(
        owner.deliver(&running, deadline),
        owner.deliver(&waiting, deadline),
    );
    let stop = async {
        task::sleep(DRAIN_TIMEOUT / 8).await;
        owner.begin_stop(Millis(DRAIN_TIMEOUT.as_millis() as u64));
        task::sleep(DRAIN_TIMEOUT).await;
    };
    let Either::Left((results, _)) = select(pin!(calls), pin!(stop)).await else {
        panic!("calls in progress at the end of the stop");
    };
    let expected = [
        Some(Failure::may_have_run(Reason::Draining)),
        Some(Failure::not_run(Reason::Draining)),
    ];
    assert_eq!([results.0.err(), results.1.err()], expected);
}

/// Guards against time in the queue that counts as latency of a version: a version whose endpoints
/// have little load would seem faster than it is.
#[async_std::test]
async fn deliver_reports_wait() {
    const ANSWER_DELAY: Duration = Duration::from_millis(60);
    // The second call may be sent on the connection of the first one, which has to stay open.
    let address = start_delayed_upstream(ANSWER_DELAY, vec![ANSWER, ANSWER]).await;
    let owner = owner(address);
    owner.announce(announcement(address, 1));
    let (mut first, mut second) = (call(true, "a1"), call(true, "a1"));
    // On a busy machine the upstream takes longer, and a call that waits for too long is refused.
    for call in [&mut first, &mut second] {
        call.urgency.target_ms = Some(8_000);
    }
    let ((first, first_load), (second, second_load)) = join!(
        owner.deliver_with_load(&first, default_deadline()),
        owner.deliver_with_load(&second, default_deadline())
    );
    assert!(first.is_ok() && second.is_ok());
    let waited = [first_load, second_load].map(|load| load.unwrap().waited);
    let longest = waited.iter().max().unwrap();
    let shortest = waited.iter().min().unwrap();
    assert!(
        Micros(ANSWER_DELAY.as_micros() as u64 / 2) < *longest,
        "{waited:?}"
    );
    assert!(shortest < longest, "{waited:?}");
}

/// Guards against calls that a planned stop cuts without counting them, be they at the upstream or
/// in its queue, and against counting calls that have ended.
#[async_std::test]
async fn log_cut_calls_by_phase() {
    const ANSWER_DELAY: Duration = Duration::from_millis(60);
    // All three calls may be sent on one connection, which has to stay open.
    let address = start_delayed_upstream(ANSWER_DELAY, vec![ANSWER, ANSWER, ANSWER]).await;
    let owner = owner(address);
    owner.announce(announcement(address, 1));
    let (first, second) = (call(true, "a1"), call(true, "a1"));
    let cut = async {
        task::sleep(ANSWER_DELAY / 2).await;
        owner.log_cut_calls()
    };
    let (_, _, counts) = join!(
        owner.deliver(&first, default_deadline()),
        owner.deliver(&second, default_deadline()),
        cut
    );
    assert_eq!((counts.running, counts.queued), (1, 1));
    assert!(owner.deliver(&first, default_deadline()).await.is_ok());
    assert_eq!(owner.log_cut_calls(), CallCounts::default());
}

/// Reads the head of a request. Returns `false` if the connection ends first.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).await.is_err() {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

/// Starts an upstream that sends these answers in order on each connection.
async fn start_upstream(answers: Vec<&'static str>) -> SocketAddr {
    start_delayed_upstream(Duration::ZERO, answers).await
}

/// Starts an upstream as [`start_upstream`] does, which waits for `delay` before each answer.
async fn start_delayed_upstream(delay: Duration, answers: Vec<&'static str>) -> SocketAddr {
    start_upstream_by_connection(delay, vec![answers]).await
}

/// Starts an upstream as [`start_delayed_upstream`] does, whose answers differ by connection. Further
/// connections get the answers of the last one.
async fn start_upstream_by_connection(
    delay: Duration,
    mut connections: Vec<Vec<&'static str>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind to a free port");
    let address = listener
        .local_addr()
        .expect("local address of the listener");
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answers = match connections.len() {
                0 | 1 => connections.first().cloned().unwrap_or_default(),
                _ => connections.remove(0),
            };
            task::spawn(async move {
                for answer in answers {
                    if !read_head(&mut stream).await {
                        return;
                    }
                    task::sleep(delay).await;
                    // Fails if the owner has closed the connection.
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    address
}

const ANSWER: &str = "HTTP/1.1 200 OK\r\nattempt-id: a1\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a refusal that the upstream sent for another request: the caller would receive
/// the verdict "not run" for a request that has run or still may. Covers new and reused
/// connections.
#[rstest]
#[case::right_id(
    "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\nattempt-id: a2\r\ncontent-length: 0\r\n\r\n",
    Failure::not_run(Reason::Shed)
)]
#[case::other_id(
    "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\nattempt-id: a1\r\ncontent-length: 0\r\n\r\n",
    Failure::may_have_run(Reason::BadAnswer)
)]
#[case::no_id(
    "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n",
    Failure::may_have_run(Reason::BadAnswer)
)]
#[case::two_ids(
    "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\nattempt-id: a2\r\nattempt-id: a1\r\ncontent-length: 0\r\n\r\n",
    Failure::may_have_run(Reason::BadAnswer)
)]
#[case::misdirected_without_id(
    "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
    Failure::may_have_run(Reason::BadAnswer)
)]
#[async_std::test]
async fn deliver_refused_by_upstream(
    #[case] refusal: &'static str,
    #[case] expected: Failure,
    #[values(false, true)] is_kept: bool,
) {
    let mut answers = vec![refusal];
    if is_kept {
        answers.insert(0, ANSWER);
    }
    let address = start_upstream(answers).await;
    let owner = owner(address).with_dialect(Arc::new(Dialect {
        request_id: Some(HeaderName::from_static(REQUEST_ID)),
        says_not_run: |response| {
            response.headers().contains_key("not-executed")
                || response.status() == StatusCode::MISDIRECTED_REQUEST
        },
        ..Dialect::default()
    }));
    owner.announce(announcement(address, 4));
    if is_kept {
        let answer = owner.deliver(&call(true, "a1"), default_deadline()).await;
        assert!(answer.is_ok(), "{answer:?}");
    }
    let refused = owner.deliver(&call(true, "a2"), default_deadline()).await;
    assert_eq!(refused.err(), Some(expected));
}

/// Guards against a response with an invalid status that passes for an answer, or for proof that the
/// request has not run.
#[rstest]
#[case::zero("000")]
#[case::below_range("099")]
#[case::above_range("600")]
#[case::last("999")]
#[async_std::test]
async fn deliver_invalid_status(
    #[case] status: &'static str,
    #[values("not-executed: 1", "response-signature: 3e1b.07")] header: &'static str,
) {
    let response =
        format!("HTTP/1.1 {status} Odd\r\n{header}\r\nattempt-id: a1\r\ncontent-length: 0\r\n\r\n");
    let address = start_upstream(vec![response.leak()]).await;
    let owner = owner(address).with_dialect(Arc::new(Dialect {
        request_id: Some(HeaderName::from_static(REQUEST_ID)),
        says_not_run: |response| response.headers().contains_key("not-executed"),
        ..Dialect::default()
    }));
    owner.announce(announcement(address, 4));
    let result = owner.deliver(&call(true, "a1"), default_deadline()).await;
    let bad = Failure::may_have_run(Reason::BadAnswer);
    assert_eq!(result.err(), Some(bad));
}

/// Guards against a key of a client account that reaches an upstream because the entry daemon has an
/// older configuration, and against an `authorization` header that is lost in a mesh without keys.
#[rstest]
#[case::accounts(true)]
#[case::no_accounts(false)]
#[async_std::test]
async fn deliver_key_of_account(#[case] has_accounts: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let owner = owner(address);
    owner.announce(announcement(address, 4));
    owner.set_has_accounts(has_accounts);
    let mut call = call(true, "a1");
    let header = (
        "authorization".to_owned(),
        b"Bearer mx2q7tzv".to_vec().into(),
    );
    call.head.headers.push(header);
    let receive = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1_024];
        let count = stream.read(&mut head).await.unwrap();
        stream.write_all(ANSWER.as_bytes()).await.unwrap();
        String::from_utf8(head[..count].to_vec()).unwrap()
    };
    let (result, head) = join!(owner.deliver(&call, default_deadline()), receive);
    assert!(result.is_ok(), "{result:?}");
    assert_eq!(head.contains("mx2q7tzv"), !has_accounts, "{head}");
}

/// Scenario: an upstream rejects a request and sends the rejection a second time, in place of the
/// response to the next request on the connection. The request is sent again to the same upstream.
///
/// Guards against a second rejection that passes for the response to the second send: the request
/// would count as not run although the upstream runs it.
#[rstest]
#[case::idempotent(true)]
#[case::not_idempotent(false)]
#[async_std::test]
async fn deliver_late_second_rejection(#[case] idempotent: bool) {
    const REJECTION: &str =
        "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\nattempt-id: a1\r\ncontent-length: 0\r\n\r\n";
    let connections = vec![vec![REJECTION, REJECTION], vec![ANSWER]];
    let address = start_upstream_by_connection(Duration::ZERO, connections).await;
    let owner = owner(address).with_dialect(Arc::new(Dialect {
        request_id: Some(HeaderName::from_static(REQUEST_ID)),
        says_not_run: |response| response.headers().contains_key("not-executed"),
        ..Dialect::default()
    }));
    owner.announce(announcement(address, 4));
    let call = call(idempotent, "a1");
    let first = owner.deliver(&call, default_deadline()).await;
    assert_eq!(first.err(), Some(Failure::not_run(Reason::Shed)));
    let second = owner.deliver(&call, default_deadline()).await;
    assert!(second.is_ok(), "{second:?}");
}

fn report(sequence: u64, draining: bool) -> InstanceReport {
    InstanceReport {
        instance: "i-1".to_owned(),
        started_at: 1_000,
        sequence,
        draining,
        cold_for: None,
        announcement: announcement(SocketAddr::from(([127, 0, 0, 1], 1)), 4),
    }
}

/// Guards against an upstream that is used again after it has left or has started to drain, because
/// one of its earlier reports arrives late.
#[rstest]
#[case::departed(|owner: &Owner| owner.depart("i-1", 1_000))]
#[case::departed_unknown_start(|owner: &Owner| owner.depart("i-1", 0))]
#[case::draining(|owner: &Owner| owner.report(report(3, true)))]
#[async_std::test]
async fn report_late(#[case] leave: fn(&Owner) -> bool) {
    let owner = owner(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert!(owner.report(report(1, false)));
    assert!(leave(&owner));
    assert!(!owner.report(report(2, false)), "a late report is believed");
    assert!(owner.endpoints().iter().all(|endpoint| endpoint.draining));
}

/// Guards against an upstream that is used again after a restart of its daemon although it has left
/// before.
#[async_std::test]
async fn report_late_after_restart() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let before = owner(address);
    assert!(before.report(report(1, false)));
    assert!(before.depart("i-1", 1_000));
    let departures = before.departures();
    drop(before);
    let restarted = restarted_owner(address);
    restarted.report(report(2, false));
    assert_eq!(restarted.endpoints(), [], "the departure is forgotten");
    let mut view = View::new(Interest::All);
    let key = ResourceKey::Departures("sfax-a-1".into());
    view.insert(key, Arc::new(Resource::Departures(departures)));
    restarted.apply_departures(&view);
    let mut endpoints = restarted.endpoints().into_iter();
    assert!(endpoints.all(|e| e.draining), "the departure is forgotten");
    assert!(restarted.expire());
    assert!(!restarted.report(report(3, false)));
    assert_eq!(restarted.endpoints(), [], "a later report is believed");
}

/// Guards against a restarted daemon that never announces an upstream because it reported before
/// the first view.
#[async_std::test]
async fn report_before_first_view() {
    let restarted = restarted_owner(SocketAddr::from(([127, 0, 0, 1], 1)));
    restarted.report(report(1, false));
    restarted.apply_departures(&View::new(Interest::All));
    let endpoints = restarted.endpoints();
    assert!(endpoints.iter().all(|endpoint| !endpoint.draining));
    assert_eq!(endpoints.len(), 1);
}

/// Guards against a departure that is acknowledged before the daemon will learn it again after a
/// restart, and against reports of other instances that wait for it.
#[rstest]
#[case::departed(|owner: &Owner| owner.depart("i-1", 1_000))]
#[case::draining(|owner: &Owner| owner.report(report(2, true)))]
#[async_std::test]
async fn wait_for_distribution_view(#[case] leave: fn(&Owner) -> bool) {
    let owner = owner(SocketAddr::from(([127, 0, 0, 1], 1)));
    let wait = || owner.wait_for_distribution("i-1", 1_000);
    assert!(wait().await, "nothing has departed");
    owner.report(report(1, false));
    assert!(leave(&owner));
    assert!(!wait().await);
    assert!(owner.is_departure_distributed("i-2", 1_000));
    let mut view = View::new(Interest::All);
    let key = ResourceKey::Departures("sfax-a-1".into());
    view.insert(key, Arc::new(Resource::Departures(owner.departures())));
    owner.apply_departures(&view);
    assert!(wait().await);
}

/// Guards against a view and a report that wait for each other's locks, so that the daemon follows no
/// view any more.
#[test]
fn wait_for_distribution_concurrent_views() {
    const ROUNDS: usize = 20_000;
    let owner = Arc::new(owner(SocketAddr::from(([127, 0, 0, 1], 1))));
    owner.depart("i-1", 1_000);
    let mut view = View::new(Interest::All);
    let key = ResourceKey::Departures("sfax-a-1".into());
    view.insert(key, Arc::new(Resource::Departures(owner.departures())));
    owner.apply_departures(&view);
    let (tx, ended) = mpsc::channel();
    let (reporting, reports_ended) = (owner.clone(), tx.clone());
    thread::spawn(move || {
        for _ in 0..ROUNDS {
            task::block_on(reporting.wait_for_distribution("i-1", 1_000));
        }
        let _ = reports_ended.send("reports");
    });
    thread::spawn(move || {
        for _ in 0..ROUNDS {
            owner.apply_departures(&view);
        }
        let _ = tx.send("views");
    });
    for _ in 0..2 {
        ended.recv_timeout(Duration::from_secs(30)).unwrap();
    }
}

fn evacuated_view(data_centre: &str) -> View {
    let mut view = View::new(Interest::All);
    let key = ResourceKey::Evacuation(data_centre.into());
    let evacuation = Resource::Evacuation(Evacuation::default());
    view.insert(key, Arc::new(evacuation));
    view
}

/// Returns a view with a service whose upstreams bear hardly more than one call while cold.
fn view_with_cold_start() -> View {
    let mut service = ServiceConfig::with_defaults(Share::percent(10));
    service.cold_start = Some(ColdStart {
        duration: Millis(60_000),
        rate: 0.5,
        burst: 2,
    });
    let mut view = View::new(Interest::All);
    let key = ResourceKey::Service("orders".into());
    view.insert(key, Arc::new(Resource::Service(service)));
    view
}

fn apply(owner: &Owner, view: &View) {
    owner.apply_evacuation(view);
    owner.apply_drain_marks(view);
}

/// Answers an evacuation under load: the running call ends, and the one that waits in the queue of
/// the endpoint is handed back at once as not run. Guards against a queue that is sent to an
/// evacuated data centre, and against one that is held until its deadline.
#[async_std::test]
async fn deliver_queued_at_evacuation() {
    let address = start_delayed_upstream(Duration::from_millis(60), vec![ANSWER]).await;
    let owner = owner(address);
    owner.announce(announcement(address, 1));
    let (first, second) = (call(true, "a1"), call(true, "a1"));
    let evacuate = async {
        task::sleep(Duration::from_millis(10)).await;
        apply(&owner, &evacuated_view("sfax-a"));
    };
    let (first, second, ()) = join!(
        owner.deliver(&first, default_deadline()),
        owner.deliver(&second, default_deadline()),
        evacuate,
    );
    assert!(first.is_ok(), "{first:?}");
    assert_eq!(second.err(), Some(Failure::not_run(Reason::Draining)));
}

/// Guards against calls that an evacuated owner accepts: from an entry daemon that was cut off
/// during the order and knows nothing of it, and to an upstream that starts meanwhile. The upstream
/// itself does not drain, and accepts calls when its data centre is restored.
#[rstest]
#[case::this_one("sfax-a", true)]
#[case::another("sfax-b", false)]
#[async_std::test]
async fn deliver_while_evacuated(#[case] data_centre: &str, #[case] refused: bool) {
    let address = start_upstream(vec![ANSWER, ANSWER, ANSWER]).await;
    let owner = owner(address);
    let expected = refused.then_some(Failure::not_run(Reason::Draining));
    owner.announce(announcement(address, 4));
    apply(&owner, &evacuated_view(data_centre));
    for slots in [4, 8] {
        owner.announce(announcement(address, slots));
        let result = owner.deliver(&call(true, "a1"), default_deadline()).await;
        assert_eq!(result.err(), expected);
    }
    assert!(owner.endpoints().iter().all(|endpoint| !endpoint.draining));
    apply(&owner, &View::new(Interest::All));
    let result = owner.deliver(&call(true, "a1"), default_deadline()).await;
    assert!(result.is_ok(), "{result:?}");
}

/// Answers a data centre that returns cold: calls beyond what the upstream bears are refused at once
/// as not run, with the time of the next one, until it reports to be warm. After an evacuation, one
/// report is not enough, since it may have been sent before the upstream became cold.
#[async_std::test]
async fn deliver_to_cold_upstream() {
    let address = start_upstream(vec![ANSWER; 8]).await;
    let owner = owner(address);
    let report = |sequence, cold_for| InstanceReport {
        cold_for: Some(Millis(cold_for)),
        announcement: announcement(address, 4),
        ..report(sequence, false)
    };
    let refusal = Some(Failure::not_run(Reason::Overloaded));
    let call = call(true, "a1");
    owner.apply_cold_starts(&view_with_cold_start());
    owner.report(report(1, 30_000));
    let (result, load) = owner.deliver_with_load(&call, default_deadline()).await;
    assert_eq!(result.err(), refusal);
    let closed_for = load.unwrap().closed_for;
    assert!(closed_for > Millis(1_000), "{closed_for:?}");
    owner.report(report(2, 0));
    let (result, load) = owner.deliver_with_load(&call, default_deadline()).await;
    assert!(result.is_ok(), "{result:?}");
    assert_eq!(load.unwrap().closed_for, Millis(0));

    apply(&owner, &evacuated_view("sfax-a"));
    apply(&owner, &View::new(Interest::All));
    for sequence in [3, 4] {
        let result = owner.deliver(&call, default_deadline()).await;
        assert_eq!(result.err(), refusal, "before report {sequence}");
        owner.report(report(sequence, 0));
    }
    let result = owner.deliver(&call, default_deadline()).await;
    assert!(result.is_ok(), "{result:?}");
}
