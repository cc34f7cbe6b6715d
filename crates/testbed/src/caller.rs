//! A stand-in caller: sends numbered requests at a fixed rate and checks the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::{Request, Response};
use parking_lot::Mutex;
use sycamoreflow_state::verdict::{VERDICT_HEADER, Verdict};
use sycamoreflow_transport::http::client::{self, Client};

use crate::upstream::NUMBER_HEADER;

/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Longest wait for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// What a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: &'static str,
    /// Tenant of the caller.
    pub tenant: &'static str,
    /// Whether the call has an idempotency key. It is then sent again through another daemon after
    /// its answer, and has to get the same answer.
    pub keyed: bool,
}

/// What came of the calls.
#[derive(Debug)]
pub struct Results {
    /// Calls sent.
    pub sent: AtomicU64,
    /// Calls answered by an upstream without an error.
    pub answered: AtomicU64,
    /// Calls answered by an upstream with an error.
    pub errors: AtomicU64,
    /// Calls refused as not run.
    pub refused: AtomicU64,
    /// Calls that may have run and have no answer.
    pub unresolved: AtomicU64,
    /// Answers that belong to another request or are cut short.
    pub wrong: AtomicU64,
    /// Keyed calls that were sent again after their answer.
    pub resent: AtomicU64,
    /// Numbers of the calls that were refused as not run.
    pub refused_numbers: Mutex<Vec<u64>>,
    /// Latency in microseconds, counted from the intended start.
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
            latency: Mutex::new(latency.expect("the bounds are valid")),
        }
    }
}

impl Results {
    /// Returns the latency at a quantile in microseconds.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.latency.lock().value_at_quantile(quantile)
    }
}

/// Sends calls to `targets` in turn at `rate` per second for `duration`.
///
/// The load is open: a slow answer does not delay the next call, and the latency of each call
/// counts from the time at which it was due.
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
    for at in 0..count {
        let due = start + Duration::from_secs_f64(at as f64 / rate);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let at = at as usize;
        let target = targets[at % targets.len()];
        let resend = targets[(at + 1) % targets.len()];
        let call = calls[at % calls.len()];
        let sending = send(client.clone(), [target, resend], call, due, results.clone());
        pending.push(task::spawn(sending));
    }
    join_all(pending).await;
}

/// Makes a client for callers.
pub fn client() -> Client {
    Client::new(client::Limits {
        max_idle: 256,
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
    let answer = send_once(&client, target, call, number, due).await;
    let latency = due.elapsed().as_micros() as u64;
    let Some(response) = answer else {
        results.unresolved.fetch_add(1, Ordering::Relaxed);
        return;
    };
    match verdict_of(&response) {
        Some(Verdict::Ran) => {}
        Some(Verdict::NotRun) => {
            results.refused.fetch_add(1, Ordering::Relaxed);
            results.refused_numbers.lock().push(number);
            return;
        }
        _ => {
            results.unresolved.fetch_add(1, Ordering::Relaxed);
            return;
        }
    }
    results.latency.lock().saturating_record(latency.max(1));
    if response.body() != number.to_string().as_bytes() {
        results.wrong.fetch_add(1, Ordering::Relaxed);
    } else if response.status().is_server_error() {
        results.errors.fetch_add(1, Ordering::Relaxed);
    } else {
        results.answered.fetch_add(1, Ordering::Relaxed);
    }
    if call.keyed {
        let again = send_once(&client, resend, call, number, Instant::now()).await;
        results.resent.fetch_add(1, Ordering::Relaxed);
        if again.is_none_or(|again| again.body() != response.body()) {
            results.wrong.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn send_once(
    client: &Client,
    target: SocketAddr,
    call: Call,
    number: u64,
    due: Instant,
) -> Option<Response<Bytes>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header("sycamoreflow-tenant", call.tenant)
        .header(NUMBER_HEADER, number);
    if call.keyed {
        request = request.header("idempotency-key", number);
    }
    let request = request.body(Bytes::new()).ok()?;
    client.send(target, request, due + CALL_LIMIT).await.ok()
}

fn verdict_of(response: &Response<Bytes>) -> Option<Verdict> {
    let value = response.headers().get(VERDICT_HEADER)?;
    let verdicts = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
    verdicts.into_iter().find(|v| value == v.as_str())
}
