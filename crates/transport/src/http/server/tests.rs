use std::sync::Mutex;
use std::time::Instant;

use async_std::task::{sleep, spawn};
use futures::future::join_all;
use futures::{AsyncReadExt, AsyncWriteExt, join};
use http::StatusCode;
use rstest::rstest;

use super::*;

/// Maximum time that a test waits for a timeout to take effect. The timeouts under test are much
/// shorter, and without them the exchange would never end. The margin is for busy machines, which
/// may suspend a test.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Returns limits with timeouts that are short enough for tests.
pub(crate) fn limits() -> Limits {
    Limits {
        max_head_bytes: 8 * 1024,
        max_headers: 20,
        max_body_bytes: 64 * 1024,
        idle_timeout: Duration::from_millis(400),
        head_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        write_stall_timeout: Duration::from_millis(200),
        drain_idle_timeout: Duration::from_millis(100),
        ..Limits::default()
    }
}

/// Starts a server on a free port of the loopback address.
pub(crate) async fn start<H, F>(limits: Limits, handler: H) -> ServerHandle
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let listener = crate::listen::listen(([127, 0, 0, 1], 0).into()).unwrap();
    serve(listener, limits, handler).unwrap()
}

/// Responds with the method, the path and the body of the request.
pub(crate) async fn echo(request: Request<Bytes>) -> Response<Bytes> {
    let head = format!("{} {} ", request.method(), request.uri());
    Response::new([head.as_bytes(), request.body()].concat().into())
}

async fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // An error is a reset after the response, which ends the response as a close does.
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}

/// Sends raw bytes and returns everything received until the server closes the connection.
async fn send_raw(server: &ServerHandle, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    read_all(stream).await
}

const CLOSE: &str = "host: a\r\nconnection: close\r\n";

/// Guards against bodies that are lost or altered before they reach the handler.
#[rstest]
#[case::length("content-length: 3\r\n\r\nabc")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n")]
#[async_std::test]
async fn serve_body(#[case] rest: &str) {
    let server = start(limits(), echo).await;
    let request = format!("POST /x HTTP/1.1\r\n{CLOSE}{rest}");
    let response = send_raw(&server, request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("\r\n\r\nPOST /x abc"), "{response}");
}

/// Guards against request smuggling and header injection: neither the ambiguous request nor the one
/// after it may reach the handler.
#[rstest]
#[case::two_lengths("content-length: 3\r\ncontent-length: 4\r\n\r\nabcd")]
#[case::sign("content-length: +5\r\n\r\nabcde")]
#[case::both("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::codings("transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n")]
#[case::control("x: a\x01b\r\n\r\n")]
#[case::chunk("transfer-encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n")]
#[async_std::test]
async fn serve_ambiguous(#[case] rest: &str) {
    let server = start(limits(), |_| async { panic!("the handler was called") }).await;
    let smuggled = "GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n";
    let request = format!("POST / HTTP/1.1\r\nhost: a\r\n{rest}{smuggled}");
    let response = send_raw(&server, request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
}

/// Guards against requests that occupy memory or a connection without limit. The caller must
/// receive the error status even while it is still sending.
#[rstest]
#[case::head(format!("GET /{} HTTP/1.1\r\n", "a".repeat(9000)), 431)]
#[case::headers(format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "a: b\r\n".repeat(30)), 431)]
#[case::body(format!("PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 70000\r\n\r\n{}", "a".repeat(70000)), 413)]
#[case::chunks(format!("PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nfffff\r\n{}", "a".repeat(70000)), 413)]
#[case::slow_head("GET / HTTP/1.1\r\nhost:".into(), 408)]
#[case::slow_body("PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc".into(), 408)]
#[case::slow_chunk("PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\na".into(), 408)]
#[async_std::test]
async fn serve_beyond_limit(#[case] request: String, #[case] status: u16) {
    let server = start(limits(), |_| async { panic!("the handler was called") }).await;
    let started = Instant::now();
    let response = send_raw(&server, request.as_bytes()).await;
    let expected = format!("HTTP/1.1 {status}");
    assert!(response.starts_with(&expected), "{response}");
    assert!(started.elapsed() < MAX_WAIT);
}

/// Guards against a caller that keeps its connection open by sending single bytes slowly.
#[async_std::test]
async fn serve_slow_sender() {
    let server = start(limits(), echo).await;
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    let started = Instant::now();
    let mut sent = 0;
    while stream.write_all(b"G").await.is_ok() && started.elapsed() < Duration::from_secs(3) {
        sent += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert!(sent < 60, "{sent} bytes in {:?}", started.elapsed());
}

/// Guards against idle connections that are never closed, and against an unsolicited response when
/// they are.
#[async_std::test]
async fn serve_idle_connection() {
    let server = start(limits(), echo).await;
    assert_eq!(send_raw(&server, b"").await, "");
    while server.connections() > 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against passing a truncated body to the handler as a complete one.
#[async_std::test]
async fn serve_short_body() {
    let server = start(limits(), |_| async { panic!("the handler was called") }).await;
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    let request = b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc";
    stream.write_all(request).await.unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(read_all(stream).await, "");
}

/// Guards against pipelined requests that run concurrently, or whose bodies or responses are mixed
/// up.
#[async_std::test]
async fn serve_pipelined() {
    let running = Arc::new(AtomicUsize::new(0));
    let server = start(limits(), move |request| {
        let running = running.clone();
        async move {
            assert_eq!(running.fetch_add(1, Ordering::SeqCst), 0);
            sleep(Duration::from_millis(20)).await;
            running.fetch_sub(1, Ordering::SeqCst);
            echo(request).await
        }
    })
    .await;
    let first = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
    let second =
        "POST /2 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nd\r\n0\r\n\r\n";
    let bad = "GET /3 HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n";
    let response = send_raw(&server, [first, second, bad].concat().as_bytes()).await;
    let responses: Vec<_> = response.split("HTTP/1.1 ").skip(1).collect();
    assert_eq!(responses.len(), 3, "{response}");
    assert!(responses[0].starts_with("200") && responses[0].ends_with("\r\n\r\nPOST /1 abc"));
    assert!(responses[1].starts_with("200") && responses[1].ends_with("\r\n\r\nPOST /2 d"));
    assert!(responses[2].starts_with("400"));
}

/// Guards against handlers that keep running after the caller has closed its connection.
#[async_std::test]
async fn serve_caller_gone() {
    struct Dropped(channel::Sender<()>);
    impl Drop for Dropped {
        fn drop(&mut self) {
            self.0.close();
        }
    }
    let (started_tx, started) = channel::unbounded();
    let (dropped_tx, dropped) = channel::bounded(1);
    let server = start(limits(), move |_| {
        let guard = Dropped(dropped_tx.clone());
        let started = started_tx.clone();
        async move {
            let _guard = guard;
            started.send(()).await.unwrap();
            std::future::pending().await
        }
    })
    .await;
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    started.recv().await.unwrap();
    drop(stream);
    let waiting = timeout(Duration::from_secs(2), wait_closed(&dropped));
    assert!(waiting.await.is_ok());
}

/// Guards against a caller that never reads its response and thereby keeps its connection open.
#[async_std::test]
async fn serve_caller_stops_reading() {
    let large = Bytes::from(vec![b'a'; 32 << 20]);
    let server = start(limits(), move |_| {
        let large = large.clone();
        async move { Response::new(large) }
    })
    .await;
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let started = Instant::now();
    while server.connections() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    while server.connections() > 0 {
        assert!(started.elapsed() < MAX_WAIT);
        sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
}

/// Guards against responses whose framing headers contradict their bodies.
#[rstest]
#[case::length("GET", 200, "content-length: 3")]
#[case::head("HEAD", 200, "content-length: 77")]
#[case::no_content("GET", 204, "")]
#[async_std::test]
async fn serve_response_framing(#[case] method: &str, #[case] status: u16, #[case] header: &str) {
    let server = start(limits(), move |_| async move {
        let response = Response::builder()
            .status(status)
            .header("content-length", "77")
            .header("transfer-encoding", "chunked")
            .header("connection", "x-private")
            .header("x-private", "1");
        response.body(Bytes::from_static(b"abc")).unwrap()
    })
    .await;
    let request = format!("{method} / HTTP/1.1\r\n{CLOSE}\r\n");
    let response = send_raw(&server, request.as_bytes()).await;
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(header), "{response}");
    assert!(
        !head.contains("x-private") && !head.contains("chunked"),
        "{response}"
    );
    let expected = if header.ends_with('3') { "abc" } else { "" };
    assert_eq!(body, expected);
}

/// Guards against requests that are lost in a graceful shutdown: callers keep the server busy while
/// it drains, and every request that was sent must get a complete response.
#[async_std::test]
async fn drain_under_load() {
    let server = Arc::new(
        start(limits(), |request| async move {
            sleep(Duration::from_millis(3)).await;
            echo(request).await
        })
        .await,
    );
    let address = server.local_addr();
    let outcomes = Arc::new(Mutex::new((0, 0)));
    let callers = (0..40).map(|number| {
        let outcomes = outcomes.clone();
        spawn(async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            loop {
                // A pause between requests leaves some connections idle when the drain starts.
                sleep(Duration::from_millis(number % 7)).await;
                let outcome = request_once(&mut stream).await;
                let mut outcomes = outcomes.lock().unwrap();
                match outcome {
                    Some(_) => outcomes.0 += 1,
                    None => outcomes.1 += 1,
                }
                if outcome != Some(false) {
                    return;
                }
            }
        })
    });
    let callers = join_all(callers);
    let draining = async {
        sleep(Duration::from_millis(100)).await;
        server.drain(Duration::from_secs(3)).await
    };
    let (_, drained) = join!(callers, draining);
    assert_eq!(
        drained,
        DrainOutcome {
            aborted_connections: 0
        }
    );
    let (complete, truncated) = *outcomes.lock().unwrap();
    assert!(complete > 100, "only {complete} requests");
    assert_eq!(
        truncated,
        0,
        "{truncated} of {} requests truncated",
        complete + truncated
    );
    assert!(TcpStream::connect(address).await.is_err());
}

/// Sends a request and returns whether the server closes the connection after it, or `None` if the
/// response is truncated.
async fn request_once(stream: &mut TcpStream) -> Option<bool> {
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .ok()?;
    let mut text = Vec::new();
    let mut buf = [0; 1024];
    while !text.ends_with(b"GET /x ") {
        let count = stream.read(&mut buf).await.ok()?;
        if count == 0 {
            return None;
        }
        text.extend_from_slice(&buf[..count]);
    }
    let text = String::from_utf8(text).ok()?;
    Some(text.contains("connection: close"))
}

/// Guards against a drain that never returns because a request never completes.
#[async_std::test]
async fn drain_beyond_limit() {
    let server = start(limits(), |_| std::future::pending()).await;
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    sleep(Duration::from_millis(50)).await;
    let drained = server.drain(Duration::from_millis(200)).await;
    assert_eq!(
        drained,
        DrainOutcome {
            aborted_connections: 1
        }
    );
    assert_eq!(read_all(stream).await, "");
}

/// Guards against more connections than the limit, and against capacity that is not released when a
/// connection ends.
#[async_std::test]
async fn serve_connection_bound() {
    let bounded = Limits {
        max_connections: 1,
        ..limits()
    };
    let server = start(bounded, echo).await;
    let first = TcpStream::connect(server.local_addr()).await.unwrap();
    let request = format!("GET /2 HTTP/1.1\r\n{CLOSE}\r\n");
    let second = send_raw(&server, request.as_bytes());
    let freeing = async {
        sleep(Duration::from_millis(100)).await;
        assert_eq!(server.connections(), 1);
        drop(first);
    };
    let (response, ()) = join!(second, freeing);
    assert!(response.starts_with(&format!("HTTP/1.1 {}", StatusCode::OK.as_u16())));
}

/// Guards against bodies that hold memory that others need: one that stops short is rejected as not
/// run, and the other one is served.
#[async_std::test]
async fn serve_body_without_memory() {
    let listener = crate::listen::listen(([127, 0, 0, 1], 0).into()).unwrap();
    let limits = Limits {
        body_timeout: MAX_WAIT,
        ..limits()
    };
    let buffers = Buffers::new(160 * 1024);
    let server = serve_with(listener, limits, buffers.clone(), echo).unwrap();
    let head = format!("POST /x HTTP/1.1\r\n{CLOSE}content-length: 60000\r\n\r\n");
    let body = "x".repeat(59_999);
    let mut stopping = TcpStream::connect(server.local_addr()).await.unwrap();
    stopping.write_all(head.as_bytes()).await.unwrap();
    stopping.write_all(body.as_bytes()).await.unwrap();
    while buffers.held() < 2 * 56_000 {
        sleep(Duration::from_millis(5)).await;
    }
    let whole = format!("{head}{body}x");
    let response = send_raw(&server, whole.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let rejected = read_all(stopping).await;
    assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected}");
    assert!(rejected.contains("sycamoreflow-verdict: not-run"));
}

/// Guards against idle connections that keep new callers out.
#[async_std::test]
async fn serve_beyond_connections() {
    let limits = Limits {
        max_connections: 1,
        idle_timeout: MAX_WAIT,
        ..limits()
    };
    let server = start(limits, echo).await;
    let idle = TcpStream::connect(server.local_addr()).await.unwrap();
    let request = format!("GET /x HTTP/1.1\r\n{CLOSE}\r\n");
    let response = send_raw(&server, request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(read_all(idle).await, "");
}
