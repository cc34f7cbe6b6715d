//! Statuses that no final response can have, and those at the bounds of the valid ones.

use rstest::rstest;

use super::*;

const VALID: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a response without a valid status that is passed on as an answer, and against
/// reusing its connection, on new and on pooled connections.
#[rstest]
#[case::zero("000")]
#[case::below_range("099")]
#[case::upgrade("101")]
#[case::first_above_range("600")]
#[case::last_above_range("999")]
#[case::two_digits("20")]
#[case::four_digits("2000")]
#[case::letter("2x0")]
#[case::sign("+20")]
#[case::empty("")]
#[async_std::test]
async fn send_invalid_status(
    #[case] status: &'static str,
    #[values("response-signature: 3e1b.07\r\n", "")] header: &'static str,
    #[values("", VALID)] next_response: &'static str,
    #[values(false, true)] is_pooled: bool,
) {
    let address = start_upstream(move |mut stream, number| async move {
        if is_pooled && number == 0 {
            read_head(&mut stream).await.unwrap();
            stream.write_all(VALID.as_bytes()).await.unwrap();
        }
        while read_head(&mut stream).await.is_some() {
            let head = format!("HTTP/1.1 {status} Odd\r\n{header}content-length: 0\r\n\r\n");
            let responses = head + next_response;
            stream.write_all(responses.as_bytes()).await.unwrap();
        }
    })
    .await;
    let client = Client::new(limits());
    if is_pooled {
        let answer = client.send(address, get_request(), test_deadline()).await;
        assert_eq!(answer.unwrap().body(), "ok");
        assert_eq!(client.idle_connections(address), 1);
    }
    let outcome = client.send(address, get_request(), test_deadline()).await;
    let bad = Failure::may_have_run(Reason::BadAnswer);
    assert_eq!(outcome.unwrap_err(), bad);
    assert_eq!(client.idle_connections(address), 0);
}

/// Guards against rejecting valid statuses that have no name or reason phrase.
#[rstest]
#[case::first("200")]
#[case::no_reason("299 ")]
#[case::unnamed("499 Odd")]
#[case::last("599 Odd")]
#[async_std::test]
async fn send_valid_status(#[case] status: &'static str) {
    let address = start_upstream(move |mut stream, _| async move {
        while read_head(&mut stream).await.is_some() {
            let response = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    })
    .await;
    let client = Client::new(limits());
    for _ in 0..2 {
        let answer = client.send(address, get_request(), test_deadline()).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status().as_str(), &status[..3]);
        assert_eq!(answer.body(), "ok");
        assert_eq!(client.idle_connections(address), 1);
    }
}

/// Guards against passing on the body of a response that can't have one, and against taking it for
/// the response to the next request on the connection.
#[rstest]
#[async_std::test]
async fn send_body_after_bodiless_status(
    #[values("204", "304")] status: &'static str,
    #[values("content-length: 40\r\n", "transfer-encoding: chunked\r\n", "")] framing: &'static str,
) {
    let address = start_upstream(move |mut stream, _| async move {
        while read_head(&mut stream).await.is_some() {
            let response = format!("HTTP/1.1 {status} Odd\r\n{framing}\r\n{VALID}");
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    })
    .await;
    let client = Client::new(limits());
    for _ in 0..3 {
        let answer = client.send(address, get_request(), test_deadline()).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status().as_str(), status);
        assert!(answer.body().is_empty(), "{answer:?}");
        assert_eq!(client.idle_connections(address), 0);
    }
}
