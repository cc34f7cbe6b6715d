//! Sending of a single HTTP request to the operator interface.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_TYPE};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};
use sycamoreflow_transport::http::client::{Client, Limits};

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Timeout of a request. It exceeds the time that the control group takes to elect a leader (2 s).
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of a response body in bytes. A list of 14,000 endpoints takes about 4 MB.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a request received no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendError(Failure);

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.0.verdict, self.0.reason) {
            (_, Reason::DeadlineExceeded) => {
                write!(f, "no response within {} s", REQUEST_TIMEOUT.as_secs())
            }
            (Verdict::NotRun, _) => f.write_str("cannot connect"),
            (_, Reason::BadAnswer) => {
                f.write_str("the response is malformed, ends early or is too large")
            }
            _ => f.write_str("the connection was lost before the response"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends a request over a new connection and returns the status and the body of the response.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: Vec<u8>,
) -> Result<(u16, Bytes)> {
    let client = Client::new(Limits {
        max_body_bytes: MAX_RESPONSE_BYTES,
        ..Limits::default()
    });
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .header(CONNECTION, "close")
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
        .map_err(|_| SendError(Failure::not_run(Reason::BadRequest)))?;
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let response = client.send(address, request, deadline).await;
    let response = response.map_err(SendError)?;
    Ok((response.status().as_u16(), response.into_body()))
}
