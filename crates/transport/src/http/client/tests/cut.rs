//! Truncated responses.

use rstest::rstest;

use super::*;

/// Guards against accepting a response that is truncated at any byte, and against reusing its
/// connection, on new and on pooled connections.
#[rstest]
#[case::length(
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nattempt-id: a1\r\nresponse-signature: 3e1b.07\r\n\r\n{\"lot\": 407}"
)]
#[case::empty(
    "HTTP/1.1 200 OK\r\nattempt-id: a1\r\nresponse-signature: 3e1b.07\r\ncontent-length: 0\r\n\r\n"
)]
#[case::no_content("HTTP/1.1 204 No Content\r\nresponse-signature: 3e1b.07\r\n\r\n")]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nresponse-signature: 3e1b.07\r\ntransfer-encoding: chunked\r\n\r\n6\r\n{\"lot\"\r\n6\r\n: 407}\r\n0\r\n\r\n"
)]
#[case::interim(
    "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\nresponse-signature: 3e1b.07\r\ncontent-length: 2\r\n\r\nok"
)]
#[case::failure(
    "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nattempt-id: a1\r\ncontent-length: 0\r\n\r\n"
)]
#[async_std::test]
async fn send_cut_answer(
    #[case] raw_response: &'static str,
    #[values(false, true)] is_pooled: bool,
) {
    const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for length in 0..raw_response.len() {
        let address = start_upstream(move |mut stream, _| async move {
            if is_pooled {
                read_head(&mut stream).await.unwrap();
                stream.write_all(COMPLETE).await.unwrap();
            }
            if read_head(&mut stream).await.is_some() {
                stream
                    .write_all(&raw_response.as_bytes()[..length])
                    .await
                    .unwrap();
            }
        })
        .await;
        let client = Client::new(limits());
        if is_pooled {
            client
                .send(address, get_request(), test_deadline())
                .await
                .unwrap();
            assert_eq!(client.idle_connections(address), 1);
        }
        let outcome = client.send(address, get_request(), test_deadline()).await;
        let lost = Failure::may_have_run(Reason::ConnectionLost);
        assert_eq!(outcome.unwrap_err(), lost, "truncated to {length} bytes");
        assert_eq!(
            client.idle_connections(address),
            0,
            "truncated to {length} bytes"
        );
    }
}
