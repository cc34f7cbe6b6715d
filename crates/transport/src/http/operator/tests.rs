use std::time::Instant;

use rstest::rstest;

use super::*;

const TOKEN: &str = "token-of-tests";

/// Maximum time that a test waits for a timeout to take effect. The timeouts under test are much
/// shorter, and without them the exchange would never end. The margin is for busy machines, which
/// may suspend a test.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Time that the route `/slow` takes.
const SLOW_TIME: Duration = Duration::from_millis(500);

fn limits() -> Limits {
    Limits {
        max_head_bytes: 2048,
        max_request_bytes: 10_000,
        read_timeout: Duration::from_millis(200),
        response_timeout: Duration::from_secs(2),
        ..Limits::default()
    }
}

fn start(token: Option<BearerToken>) -> OperatorHandle {
    let mut app = tide::new();
    app.at("/echo")
        .post(|mut request: tide::Request<()>| async move {
            let body = request.body_string().await?;
            Ok(format!("got {body}"))
        });
    app.at("/fail").get(|_| async {
        let error = tide::Error::from_str(503, "internal detail");
        Err::<String, _>(error)
    });
    app.at("/slow").get(|_| async {
        task::sleep(SLOW_TIME).await;
        Ok("done")
    });
    let listener = crate::listen::listen(([127, 0, 0, 1], 0).into()).unwrap();
    serve(listener, app, token, limits(), Buffers::unbounded()).unwrap()
}

fn start_with_token() -> OperatorHandle {
    start(Some(BearerToken::new(TOKEN).unwrap()))
}

async fn send_raw(server: &OperatorHandle, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    // Fails if the server closes the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}

fn post(headers: &str, body: &str) -> String {
    format!(
        "POST /echo HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\n{headers}\r\n{body}"
    )
}

/// Guards against requests that reach their route incompletely, and against serving a second
/// request on the same connection.
#[rstest]
#[case::length(
    "content-length: 3\r\n",
    "abcGET /fail HTTP/1.1\r\nhost: a\r\n\r\n",
    "got abc"
)]
#[case::chunked(
    "transfer-encoding: chunked\r\n",
    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    "got abc"
)]
#[case::no_body("", "", "got ")]
#[async_std::test]
async fn serve_request(#[case] headers: &str, #[case] body: &str, #[case] expected: &str) {
    let server = start_with_token();
    let response = send_raw(&server, post(headers, body).as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert!(
        response.ends_with(&format!("\r\n\r\n{expected}")),
        "{response}"
    );
    assert_eq!(response.matches("HTTP/1.1").count(), 1);
}

/// Guards against requests that reach a route without a valid token.
#[rstest]
#[case::none("")]
#[case::wrong("authorization: Bearer token-of-testz\r\n")]
#[case::prefix("authorization: Bearer token\r\n")]
#[case::empty("authorization: Bearer \r\n")]
#[case::scheme("authorization: Basic token-of-tests\r\n")]
#[async_std::test]
async fn serve_without_token(#[case] header: &str) {
    let server = start_with_token();
    let request = format!("POST /echo HTTP/1.1\r\nhost: a\r\n{header}content-length: 3\r\n\r\nabc");
    let response = send_raw(&server, request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert!(
        response.contains("content-type: application/json"),
        "{response}"
    );
    assert!(response.ends_with(r#"{"error":"a valid bearer token is required"}"#));
}

/// Guards against requests that exceed a limit, are ambiguous or are received only in part: they
/// must not reach a route or keep a connection open, and they must get an error response.
#[rstest]
#[case::head(post(&format!("x: {}\r\n", "a".repeat(3000)), ""), 431)]
#[case::head_line("a".repeat(100_000), 431)]
#[case::length(post("content-length: 9000\r\n", &"a".repeat(9000)), 413)]
#[case::chunks(post("transfer-encoding: chunked\r\n", &format!("ffff\r\n{}", "a".repeat(9000))), 413)]
#[case::two_lengths(post("content-length: 3\r\ncontent-length: 4\r\n", "abcd"), 400)]
#[case::sign(post("content-length: +3\r\n", "abc"), 400)]
#[case::both(
    post("content-length: 3\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n"),
    400
)]
#[case::garbage("hello\r\n\r\n".into(), 400)]
#[case::slow_head("POST /echo HTTP/1.1\r\n".into(), 408)]
#[case::slow_body(post("content-length: 3\r\n", "ab"), 408)]
#[async_std::test]
async fn serve_beyond_limit(#[case] request: String, #[case] status: u16) {
    let server = start_with_token();
    let started = Instant::now();
    let response = send_raw(&server, request.as_bytes()).await;
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{response}"
    );
    assert!(response.contains(r#"{"error":"#), "{response}");
    assert!(started.elapsed() < MAX_WAIT);
}

/// Guards against passing a truncated body to a route as a complete one.
#[rstest]
#[case::length("content-length: 3\r\n", "ab")]
#[case::chunked("transfer-encoding: chunked\r\n", "2\r\nab\r\n")]
#[async_std::test]
async fn serve_short_body(#[case] headers: &str, #[case] body: &str) {
    let server = start_with_token();
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    let request = post(headers, body);
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}

/// Guards against error responses that are not JSON or that reveal internal details.
#[rstest]
#[case("GET /nowhere", 404, r#"{"error":"Not Found"}"#)]
#[case("GET /echo", 405, r#"{"error":"Method Not Allowed"}"#)]
#[case("GET /fail", 503, r#"{"error":"Service Unavailable"}"#)]
#[async_std::test]
async fn serve_error(#[case] line: &str, #[case] status: u16, #[case] body: &str) {
    let server = start(None);
    let response = send_raw(
        &server,
        format!("{line} HTTP/1.1\r\nhost: a\r\n\r\n").as_bytes(),
    )
    .await;
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{response}"
    );
    assert!(response.ends_with(body), "{response}");
}

/// Guards against the token appearing in logs.
#[test]
fn debug_hides_token() {
    let text = format!("{:?}", BearerToken::new(TOKEN).unwrap());
    assert!(!text.contains(TOKEN));
}

/// Guards against a drain that cuts a request in progress or returns before its response.
#[async_std::test]
async fn drain_with_request_in_progress() {
    let server = start(None);
    let started = Instant::now();
    let draining = async {
        task::sleep(Duration::from_millis(200)).await;
        server.drain(MAX_WAIT).await;
        started.elapsed()
    };
    let responding = send_raw(&server, b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n");
    let (drained_after, response) = futures::join!(draining, responding);
    assert!(response.ends_with("done"), "{response}");
    assert!(drained_after >= SLOW_TIME, "{drained_after:?}");
}
