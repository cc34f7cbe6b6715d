//! A simulated caller, which sends numbered requests at a fixed rate and checks the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::Request;
use parking_lot::Mutex;
use sycamoreflow_state::verdict::{VERDICT_HEADER, Verdict};
use sycamoreflow_transport::http::client::{self, Client};

use crate::upstream::NUMBER_HEADER;

/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Longest wait for an answer, counted from the time at which the call was due.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A kind of call that a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Request path.
    pub path: &'static str,
    /// Tenant of the caller.
    pub tenant: &'static str,
    /// Whether the call has an idempotency key. Such a call is sent a second time, to another
    /// daemon, after it was answered, and has to get the same answer.
    pub keyed: bool,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered by an upstream without an error.
    Answered,
    /// Answered by an upstream with an error.
    Error,
    /// Refused with the verdict that the call has not run.
    NotRun,
    /// Refused with another verdict.
    MayHaveRun,
    /// No response from the daemon.
    NoResponse,
    /// The answer belongs to another request or is truncated.
    Wrong,
}

/// A call that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedCall {
    /// Number of the call.
    pub number: u64,
    /// Call that was sent.
    pub call: Call,
    /// Address of the daemon to which it was sent.
    pub target: SocketAddr,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from when the call was due to its end.
    pub latency: Duration,
}

/// Outcomes and latencies of the calls.
#[derive(Debug)]
pub struct Results {
    /// Calls sent.
    pub sent: AtomicU64,
    /// Calls answered by an upstream without an error.
    pub answered: AtomicU64,
    /// Calls answered by an upstream with an error.
    pub errors: AtomicU64,
    /// Calls refused with the verdict that they have not run.
    pub refused: AtomicU64,
    /// Calls without an answer that may have run.
    pub unresolved: AtomicU64,
    /// Answers that belong to another request or are truncated, and keyed calls whose second send
    /// got another outcome than the first.
    pub wrong: AtomicU64,
    /// Keyed calls that were sent a second time after their answer.
    pub resent: AtomicU64,
    /// Numbers of the calls counted in `refused`.
    pub refused_numbers: Mutex<Vec<u64>>,
    /// All ended calls, in the order in which they ended.
    pub ended: Mutex<Vec<EndedCall>>,
    /// Latencies of all calls that got an answer, in microseconds, counted from when each call was
    /// due.
    pub latency: Mutex<Histogram<u64>>,
}

impl Default for Results {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            sent: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            errors: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unresolved: AtomicU64::new(0),
            wrong: AtomicU64::new(0),
            resent: AtomicU64::new(0),
            refused_numbers: Mutex::default(),
            ended: Mutex::default(),
            latency: Mutex::new(latency.expect("the bounds are valid")),
        }
    }
}

impl Results {
    /// Returns the latency at a quantile between 0 and 1, in microseconds.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.latency.lock().value_at_quantile(quantile)
    }
}

/// Sends calls to `targets` in turn at `rate` per second for `duration`.
///
/// The load is open-loop: a slow answer does not delay the next call, and the latency of each call
/// counts from the time at which it was due. Returns when all calls have ended.
pub async fn run(
    client: &Client,
    targets: &[SocketAddr],
    calls: &[Call],
    rate: f64,
    duration: Duration,
    results: &Arc<Results>,
) {
    let start = Instant::now();
    let mut pending = Vec::new();
    let count = (rate * duration.as_secs_f64()) as u64;
    for index in 0..count {
        let due = start + Duration::from_secs_f64(index as f64 / rate);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let index = index as usize;
        let target = targets[index % targets.len()];
        let resend = targets[(index + 1) % targets.len()];
        let call = calls[index % calls.len()];
        let sending = send(client.clone(), [target, resend], call, due, results.clone());
        pending.push(task::spawn(sending));
    }
    join_all(pending).await;
}

/// Returns an HTTP client that keeps up to 256 idle connections.
pub fn client() -> Client {
    Client::new(client::Limits {
        max_idle_connections: 256,
        ..client::Limits::default()
    })
}

async fn send(
    client: Client,
    [target, resend]: [SocketAddr; 2],
    call: Call,
    due: Instant,
    results: Arc<Results>,
) {
    let number = results.sent.fetch_add(1, Ordering::Relaxed);
    let outcome = exchange(&client, target, call, number, due).await;
    let latency = due.elapsed();
    if call.keyed && outcome == Outcome::Answered {
        let again = exchange(&client, resend, call, number, Instant::now()).await;
        results.resent.fetch_add(1, Ordering::Relaxed);
        if again != Outcome::Answered {
            results.wrong.fetch_add(1, Ordering::Relaxed);
        }
    }
    let counter = match outcome {
        Outcome::Answered => &results.answered,
        Outcome::Error => &results.errors,
        Outcome::NotRun => &results.refused,
        Outcome::MayHaveRun | Outcome::NoResponse => &results.unresolved,
        Outcome::Wrong => &results.wrong,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    match outcome {
        Outcome::NotRun => results.refused_numbers.lock().push(number),
        Outcome::Answered | Outcome::Error | Outcome::Wrong => {
            let micros = latency.as_micros() as u64;
            results.latency.lock().saturating_record(micros.max(1));
        }
        Outcome::MayHaveRun | Outcome::NoResponse => {}
    }
    results.ended.lock().push(EndedCall {
        number,
        call,
        target,
        outcome,
        latency,
    });
}

async fn exchange(
    client: &Client,
    target: SocketAddr,
    call: Call,
    number: u64,
    due: Instant,
) -> Outcome {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header("sycamoreflow-tenant", call.tenant)
        .header(NUMBER_HEADER, number);
    if call.keyed {
        request = request.header("idempotency-key", number);
    }
    let Ok(request) = request.body(Bytes::new()) else {
        return Outcome::NoResponse;
    };
    let deadline = due + CALL_TIMEOUT;
    let Ok(response) = client.send(target, request, deadline).await else {
        return Outcome::NoResponse;
    };
    let verdict = response.headers().get(VERDICT_HEADER);
    let verdict = verdict.and_then(|value| value.to_str().ok());
    if verdict == Some(Verdict::NotRun.as_str()) {
        return Outcome::NotRun;
    }
    if verdict != Some(Verdict::Ran.as_str()) {
        return Outcome::MayHaveRun;
    }
    if response.body() != number.to_string().as_bytes() {
        return Outcome::Wrong;
    }
    if response.status().is_server_error() {
        return Outcome::Error;
    }
    Outcome::Answered
}
