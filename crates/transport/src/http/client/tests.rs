use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::net::{TcpListener, TcpStream};
use async_std::task::sleep;
use futures::future::join_all;
use futures::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;

use super::*;
use crate::http::server::tests as server;

mod cut;
mod status;

/// Maximum time that a test waits for a timeout to take effect. The timeouts under test are much
/// shorter, and without them the exchange would never end. The margin is for busy machines, which
/// may suspend a test.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Returns limits with timeouts that are short enough for tests.
fn limits() -> Limits {
    Limits {
        connect_timeout: Duration::from_millis(200),
        silence_timeout: Duration::from_millis(100),
        max_body_bytes: 64 * 1024,
        max_idle_connections: 4,
        idle_timeout: Duration::from_secs(20),
        ..Limits::default()
    }
}

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

fn get_request() -> Request<Bytes> {
    Request::get("/x").body(Bytes::new()).unwrap()
}

/// Starts an upstream that runs `script` on each connection. `script` receives the connection and
/// its number, from 0 on.
async fn start_upstream<S, F>(script: S) -> SocketAddr
where
    S: Fn(TcpStream, usize) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            task::spawn(script(stream, number));
        }
    });
    address
}

/// Reads the head of a request. Returns `None` if the connection is closed before its end.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Starts an upstream that answers each request with `raw_response`, and closes the connection
/// after the first one if `closes` is set.
async fn start_responding_upstream(raw_response: &'static str, closes: bool) -> SocketAddr {
    start_upstream(move |mut stream, _| async move {
        while read_head(&mut stream).await.is_some() {
            stream.write_all(raw_response.as_bytes()).await.unwrap();
            if closes {
                return;
            }
        }
    })
    .await
}

/// Guards against responses that are lost, altered or delivered to another request of the pool.
#[async_std::test]
async fn send_many() {
    let server = server::start(server::limits(), server::echo).await;
    let client = Client::new(limits());
    let address = server.local_addr();
    let requests = (0..300).map(|number| {
        let client = client.clone();
        async move {
            let request = Request::post(format!("http://other/{number}?a=b"));
            let request = request.body(Bytes::from(format!("body {number}"))).unwrap();
            (number, client.send(address, request, test_deadline()).await)
        }
    });
    for (number, outcome) in join_all(requests).await {
        let expected = format!("POST /{number}?a=b body {number}");
        assert_eq!(outcome.unwrap().body(), expected.as_bytes());
    }
    assert!(client.idle_connections(address) <= 4);
}

/// Guards against opening a connection per request, and against reusing one that the upstream
/// closes or on which it sent surplus bytes.
#[rstest]
#[case::reuse("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 1)]
#[case::close(
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    0
)]
#[case::http_10("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok", 0)]
#[case::surplus(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
    0
)]
#[async_std::test]
async fn send_reuse(#[case] raw_response: &'static str, #[case] idle: usize) {
    let address = start_responding_upstream(raw_response, false).await;
    let client = Client::new(limits());
    for _ in 0..3 {
        let response = client
            .send(address, get_request(), test_deadline())
            .await
            .unwrap();
        assert_eq!(response.body(), "ok");
        assert_eq!(client.idle_connections(address), idle);
    }
}

/// Guards against rejecting complete responses, and against missing the end of a response.
#[rstest]
#[case::chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\nx: y\r\n\r\n",
    "ok"
)]
#[case::ended_by_close("HTTP/1.1 200 OK\r\n\r\nok", "ok")]
#[case::interim(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "ok"
)]
#[case::no_content("HTTP/1.1 204 No Content\r\ncontent-length: 9\r\n\r\n", "")]
#[case::not_modified("HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", "")]
#[case::same_length_twice(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok",
    "ok"
)]
#[async_std::test]
async fn send_whole_answer(#[case] raw_response: &'static str, #[case] body: &str) {
    let address = start_responding_upstream(raw_response, true).await;
    let response = Client::new(limits())
        .send(address, get_request(), test_deadline())
        .await
        .unwrap();
    assert_eq!(response.body(), body);
    assert!(!response.headers().contains_key("transfer-encoding"));
}

/// Guards against waiting for a body in the response to HEAD.
#[async_std::test]
async fn send_head() {
    let address =
        start_responding_upstream("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", false).await;
    let request = Request::head("/").body(Bytes::new()).unwrap();
    let response = Client::new(limits())
        .send(address, request, test_deadline())
        .await
        .unwrap();
    assert_eq!(response.headers()["content-length"], "9");
    assert!(response.body().is_empty());
}

/// Guards against accepting truncated or ambiguous responses, and against the verdict `NotRun` for
/// a request that was written.
#[rstest]
#[case::nothing("", Reason::ConnectionLost)]
#[case::cut_head("HTTP/1.1 200 OK\r\ncontent-le", Reason::ConnectionLost)]
#[case::cut_body(
    "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok",
    Reason::ConnectionLost
)]
#[case::cut_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nok",
    Reason::ConnectionLost
)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    Reason::ConnectionLost
)]
#[case::only_interim("HTTP/1.1 100 Continue\r\n\r\n", Reason::ConnectionLost)]
#[case::upgrade(
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
    Reason::BadAnswer
)]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nokk",
    Reason::BadAnswer
)]
#[case::sign("HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok", Reason::BadAnswer)]
#[case::coding(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
    Reason::BadAnswer
)]
#[case::codings(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    Reason::BadAnswer
)]
#[case::garbage("hello\r\n\r\n", Reason::BadAnswer)]
#[case::control(
    "HTTP/1.1 200 OK\r\nx: a\x01b\r\ncontent-length: 2\r\n\r\nok",
    Reason::BadAnswer
)]
#[case::too_large(
    "HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\nok",
    Reason::BadAnswer
)]
#[async_std::test]
async fn send_bad_answer(#[case] raw_response: &'static str, #[case] reason: Reason) {
    let address = start_responding_upstream(raw_response, true).await;
    let client = Client::new(limits());
    let outcome = client.send(address, get_request(), test_deadline()).await;
    assert_eq!(outcome.unwrap_err(), Failure::may_have_run(reason));
    assert_eq!(client.idle_connections(address), 0);
}

/// Guards against treating a connection reset as the end of a response.
#[async_std::test]
async fn send_answer_ended_by_reset() {
    let address = start_upstream(|mut stream, _| async move {
        read_head(&mut stream).await.unwrap();
        let raw_response = b"HTTP/1.1 200 OK\r\n\r\nok";
        stream.write_all(raw_response).await.unwrap();
        sleep(Duration::from_millis(20)).await;
        // Closing the socket with unread bytes resets the connection.
    })
    .await;
    let request = Request::post("/")
        .body(Bytes::from(vec![0; 60_000]))
        .unwrap();
    let outcome = Client::new(limits())
        .send(address, request, test_deadline())
        .await;
    let lost = Failure::may_have_run(Reason::ConnectionLost);
    assert_eq!(outcome.unwrap_err(), lost);
}

/// Guards against reading endless heads and bodies of responses.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx: ")]
#[case::body("HTTP/1.1 200 OK\r\n\r\n")]
#[async_std::test]
async fn send_endless_answer(#[case] start: &'static str) {
    let address = start_upstream(move |mut stream, _| async move {
        read_head(&mut stream).await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        while stream.write_all(&[b'a'; 4096]).await.is_ok() {}
    })
    .await;
    let outcome = Client::new(limits())
        .send(address, get_request(), test_deadline())
        .await;
    let bad = Failure::may_have_run(Reason::BadAnswer);
    assert_eq!(outcome.unwrap_err(), bad);
}

/// Guards against reading interim responses without end until the deadline of the request.
#[async_std::test]
async fn send_endless_interim_responses() {
    const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    let address = start_upstream(move |mut stream, _| {
        let counter = counter.clone();
        async move {
            read_head(&mut stream).await.unwrap();
            while stream.write_all(INTERIM).await.is_ok() {
                counter.fetch_add(INTERIM.len(), Ordering::SeqCst);
            }
        }
    })
    .await;
    let deadline = Instant::now() + MAX_WAIT;
    let limits = limits();
    let max_read = limits.max_head_bytes * 4;
    let outcome = Client::new(limits)
        .send(address, get_request(), deadline)
        .await;
    let bad = Failure::may_have_run(Reason::BadAnswer);
    assert_eq!(outcome.unwrap_err(), bad);
    assert!(Instant::now() < deadline);
    // Besides what was read, the buffers of the sockets take some of the bytes.
    assert!(sent.load(Ordering::SeqCst) >= max_read);
}

/// Guards against a few interim responses that are taken for an endless answer.
#[async_std::test]
async fn send_interim_responses() {
    let mut answer = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(20);
    answer.push_str("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let address = start_upstream(move |mut stream, _| {
        let answer = answer.clone();
        async move {
            while read_head(&mut stream).await.is_some() {
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    })
    .await;
    let client = Client::new(limits());
    for _ in 0..3 {
        let answer = client.send(address, get_request(), test_deadline()).await;
        assert_eq!(answer.unwrap().body(), "ok");
    }
}

/// Scenario: an upstream answers many requests at once with bodies without end, and another one
/// answers as it should.
///
/// Guards against bodies that exceed the memory of the host together, and against requests to other
/// upstreams that fail with them.
#[async_std::test]
async fn send_many_endless_bodies() {
    const CALLS: usize = 100;
    let faulty = start_upstream(|mut stream, _| async move {
        read_head(&mut stream).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        while stream.write_all(&[b'a'; 16 * 1024]).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let sound =
        start_responding_upstream("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false).await;
    let max_buffered_bytes = 2 * 1024 * 1024;
    let client = Client::new(Limits {
        max_body_bytes: 1024 * 1024,
        max_buffered_bytes,
        silence_timeout: MAX_WAIT,
        ..limits()
    });
    let deadline = Instant::now() + MAX_WAIT;
    let calls = (0..CALLS).map(|_| {
        let client = client.clone();
        task::spawn(async move { client.send(faulty, get_request(), deadline).await.err() })
    });
    let calls: Vec<_> = calls.collect();
    let mut highest = 0;
    for _ in 0..50 {
        let answer = client.send(sound, get_request(), deadline).await;
        assert_eq!(answer.unwrap().body(), "ok");
        highest = highest.max(client.buffered_bytes());
        sleep(Duration::from_millis(2)).await;
    }
    let bad = Some(Failure::may_have_run(Reason::BadAnswer));
    assert!(
        join_all(calls)
            .await
            .into_iter()
            .all(|failure| failure == bad)
    );
    assert!(highest > 0 && highest <= max_buffered_bytes, "{highest}");
    assert_eq!(client.buffered_bytes(), 0);
}

/// Guards against the verdict `MayHaveRun` when no byte was written.
#[async_std::test]
async fn send_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::new(limits());
    let outcome = client.send(address, get_request(), test_deadline()).await;
    let refused = Failure::not_run(Reason::ConnectionLost);
    assert_eq!(outcome.unwrap_err(), refused);
    let outcome = client.send(address, get_request(), Instant::now()).await;
    let late = Failure::not_run(Reason::DeadlineExceeded);
    assert_eq!(outcome.unwrap_err(), late);
}

/// Guards against a connection attempt that uses up the deadline of a request: the system drops
/// attempts while the accept queue of the peer is full.
#[async_std::test]
async fn send_connect_hangs() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(50), TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
    }
    let started = Instant::now();
    let outcome = Client::new(limits())
        .send(address, get_request(), test_deadline())
        .await;
    let hangs = Failure::not_run(Reason::ConnectionLost);
    assert_eq!(outcome.unwrap_err(), hangs);
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// Guards against failing a request, or running it twice, when the upstream has closed the pooled
/// connection or has sent unsolicited bytes on it.
#[rstest]
#[case::closed("")]
#[case::unsolicited("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong")]
#[async_std::test]
async fn send_stale_connection(#[case] unsolicited: &'static str) {
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    let address = start_upstream(move |mut stream, number| {
        let counter = counter.clone();
        async move {
            read_head(&mut stream).await.unwrap();
            counter.fetch_add(1, Ordering::SeqCst);
            let raw_response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(raw_response).await.unwrap();
            sleep(Duration::from_millis(10)).await;
            stream.write_all(unsolicited.as_bytes()).await.unwrap();
            if number == 0 && unsolicited.is_empty() {
                return;
            }
            sleep(Duration::from_secs(5)).await;
        }
    })
    .await;
    let client = Client::new(limits());
    for expected in 1..=2 {
        let response = client
            .send(address, get_request(), test_deadline())
            .await
            .unwrap();
        assert_eq!(response.body(), "ok");
        assert_eq!(requests.load(Ordering::SeqCst), expected);
        assert_eq!(client.idle_connections(address), 1);
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a request that waits beyond its deadline for a peer that never responds or never
/// reads the request, and against reusing that connection.
#[rstest]
#[case::never_answers(10)]
#[case::stops_reading(32 << 20)]
#[async_std::test]
async fn send_silent_peer(#[case] body_bytes: usize) {
    let address = start_upstream(|stream, _| async move {
        sleep(MAX_WAIT * 2).await;
        drop(stream);
    })
    .await;
    let client = Client::new(limits());
    let request = Request::post("/")
        .body(Bytes::from(vec![0; body_bytes]))
        .unwrap();
    let started = Instant::now();
    let deadline = started + Duration::from_millis(150);
    let outcome = client.send(address, request, deadline).await;
    let late = Failure::may_have_run(Reason::DeadlineExceeded);
    assert_eq!(outcome.unwrap_err(), late);
    assert!(started.elapsed() < MAX_WAIT);
    assert_eq!(client.idle_connections(address), 0);
}

/// Guards against requests that are sent on one broken connection after the other: when a pooled
/// connection goes silent while the host accepts new ones, the other idle connections must be
/// discarded.
#[rstest]
#[case::at_silence_limit(Duration::from_millis(1500))]
#[case::at_deadline(Duration::from_millis(50))]
#[async_std::test]
async fn send_pool_goes_silent(#[case] request_timeout: Duration) {
    let address = start_upstream(|mut stream, number| async move {
        // The first four connections respond to one request and then go silent.
        while read_head(&mut stream).await.is_some() {
            sleep(Duration::from_millis(10)).await;
            let raw_response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(raw_response).await.unwrap();
            if number < 4 {
                sleep(Duration::from_secs(5)).await;
            }
        }
    })
    .await;
    let client = Client::new(limits());
    let warm_up = (0..4).map(|_| client.send(address, get_request(), test_deadline()));
    assert!(join_all(warm_up).await.iter().all(Result::is_ok));
    assert_eq!(client.idle_connections(address), 4);
    let deadline = Instant::now() + request_timeout;
    let silent = task::spawn({
        let client = client.clone();
        async move { client.send(address, get_request(), deadline).await }
    });
    sleep(Duration::from_millis(300)).await;
    // Only the connection that the probe opened is left.
    assert_eq!(client.idle_connections(address), 1);
    assert!(
        client
            .send(address, get_request(), test_deadline())
            .await
            .is_ok()
    );
    let late = Failure::may_have_run(Reason::DeadlineExceeded);
    assert_eq!(silent.await.unwrap_err(), late);
}

/// Guards against aborting a response that takes longer than the silence timeout.
#[async_std::test]
async fn send_slow_answer() {
    let address = start_upstream(|mut stream, _| async move {
        while let Some(head) = read_head(&mut stream).await {
            if head.starts_with("GET /slow") {
                sleep(Duration::from_millis(300)).await;
            }
            let raw_response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(raw_response).await.unwrap();
        }
    })
    .await;
    let client = Client::new(limits());
    client
        .send(address, get_request(), test_deadline())
        .await
        .unwrap();
    let slow = Request::get("/slow").body(Bytes::new()).unwrap();
    let response = client.send(address, slow, test_deadline()).await.unwrap();
    assert_eq!(response.body(), "ok");
}

/// Guards against idle connections that are kept beyond the idle timeout.
#[async_std::test]
async fn send_aged_connection() {
    let server = server::start(server::limits(), server::echo).await;
    let aging = Limits {
        idle_timeout: Duration::from_millis(30),
        ..limits()
    };
    let client = Client::new(aging);
    let address = server.local_addr();
    client
        .send(address, get_request(), test_deadline())
        .await
        .unwrap();
    assert_eq!(client.idle_connections(address), 1);
    sleep(Duration::from_millis(40)).await;
    client.close_expired();
    assert_eq!(client.idle_connections(address), 0);
}

/// Guards against a connection that stays open after the future of its request was dropped, so that
/// the upstream would continue the request, and against reusing that connection.
#[async_std::test]
async fn send_dropped() {
    let (closed_tx, closed) = async_std::channel::bounded(1);
    let address = start_upstream(move |mut stream, _| {
        let closed_tx = closed_tx.clone();
        async move {
            read_head(&mut stream).await.unwrap();
            let ended = read_head(&mut stream).await.is_none();
            closed_tx.send(ended).await.unwrap();
        }
    })
    .await;
    let client = Client::new(limits());
    let dropped = timeout(
        Duration::from_millis(50),
        client.send(address, get_request(), test_deadline()),
    );
    assert!(dropped.await.is_err());
    assert!(closed.recv().await.unwrap());
    assert_eq!(client.idle_connections(address), 0);
}

/// Guards against framing headers that are taken from the caller instead of the body, and against
/// forwarding hop-by-hop headers.
#[async_std::test]
async fn send_request_framing() {
    let (head_tx, heads) = async_std::channel::bounded(1);
    let address = start_upstream(move |mut stream, _| {
        let head_tx = head_tx.clone();
        async move {
            let head = read_head(&mut stream).await.unwrap();
            head_tx.send(head).await.unwrap();
            let raw_response = b"HTTP/1.1 204 No Content\r\n\r\n";
            stream.write_all(raw_response).await.unwrap();
        }
    })
    .await;
    let request = Request::post("http://name:1/a?b")
        .header("content-length", "77")
        .header("transfer-encoding", "chunked")
        .header("connection", "x-private")
        .header("x-private", "1")
        .header("expect", "100-continue")
        .body(Bytes::from_static(b"abc"))
        .unwrap();
    let client = Client::new(limits());
    let response = client
        .send(address, request, test_deadline())
        .await
        .unwrap();
    assert_eq!(response.status(), 204);
    let head = heads.recv().await.unwrap();
    let expected = "POST /a?b HTTP/1.1\r\ncontent-length: 3\r\nhost: name:1\r\n\r\n";
    assert_eq!(head, expected);
}
