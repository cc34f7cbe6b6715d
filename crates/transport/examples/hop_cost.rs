//! Measures the cost of a hop through a daemon's transport, on loopback and within one process.
//!
//! Usage: `cargo run --release --example hop_cost -- [calls/s] [seconds] [rounds] [body bytes]`
//!
//! Three paths lead to the same upstream: directly, through one HTTP hop (server and client), and
//! through an HTTP hop followed by a call link hop (link, call server and HTTP client). They
//! alternate in rounds, so that a disturbance of the host affects all of them. Calls start at a
//! fixed rate and latency is measured from the intended start of a call, so that a delay is not
//! hidden by sending less (coordinated omission). A second phase sends as fast as possible and
//! divides the calls by the CPU time of the process; the CPU time of a hop is the difference from
//! the direct path.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::channel;
use async_std::task;
use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use sycamoreflow_protocol::call::{Answer, Call, CallResult, RequestHead};
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_transport::call_link::{self, CallClient};
use sycamoreflow_transport::http::client::{self, Client};
use sycamoreflow_transport::http::headers;
use sycamoreflow_transport::http::server::{self, ServerHandle};
use sycamoreflow_transport::link::{self, Identity, MeshKey, Purpose};
use sycamoreflow_transport::listen::listen;

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Number of concurrent callers in the phase that sends as fast as possible.
const CALLERS: usize = 64;

/// Time limit for a call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time before a call's intended start at which the pacing thread stops sleeping and spins, since
/// a sleep may last about 60 us longer than requested.
const SPIN_TIME: Duration = Duration::from_micros(200);

struct Plan {
    rate: u64,
    seconds: u64,
    rounds: u64,
    body_bytes: usize,
}

struct Path {
    name: &'static str,
    address: SocketAddr,
    latency: Arc<Mutex<Histogram<u64>>>,
    failures: Arc<AtomicU64>,
    calls: u64,
    cpu: Duration,
    elapsed: Duration,
}

impl Path {
    fn new(name: &'static str, address: SocketAddr) -> Result<Self, Error> {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(Self {
            name,
            address,
            latency: Arc::new(Mutex::new(latency)),
            failures: Arc::default(),
            calls: 0,
            cpu: Duration::ZERO,
            elapsed: Duration::ZERO,
        })
    }

    fn calls_per_cpu_second(&self) -> f64 {
        self.calls as f64 / self.cpu.as_secs_f64()
    }

    fn cpu_micros_per_call(&self) -> f64 {
        1e6 / self.calls_per_cpu_second()
    }
}

fn main() -> Result<(), Error> {
    let plan = parse_plan()?;
    task::block_on(run(plan))
}

fn parse_plan() -> Result<Plan, Error> {
    let mut numbers = Vec::new();
    for argument in std::env::args().skip(1) {
        numbers.push(argument.parse::<u64>()?);
    }
    let number = |index: usize, default| numbers.get(index).copied().unwrap_or(default);
    Ok(Plan {
        rate: number(0, 2000).max(1),
        seconds: number(1, 2),
        rounds: number(2, 5),
        body_bytes: number(3, 512) as usize,
    })
}

async fn run(plan: Plan) -> Result<(), Error> {
    let body = Bytes::from(vec![b'a'; plan.body_bytes]);
    let upstream = start_upstream(body.clone())?;
    let http_hop = start_http_hop(upstream.local_addr())?;
    let link_hop = start_link_hop(upstream.local_addr()).await?;
    let mut paths = [
        Path::new("direct", upstream.local_addr())?,
        Path::new("http hop", http_hop.local_addr())?,
        Path::new("http + link hop", link_hop.local_addr())?,
    ];
    let client = Client::new(client::Limits {
        max_idle_connections: 1024,
        ..client::Limits::default()
    });
    for path in &paths {
        // Fills the connection pools, so that the measurements exclude connection setup.
        run_at_full_speed(&client, path.address, &body, Duration::from_millis(300)).await;
    }
    for _ in 0..plan.rounds {
        for path in &paths {
            run_at_fixed_rate(&client, path, &body, &plan).await;
        }
    }
    for _ in 0..plan.rounds {
        for path in &mut paths {
            let (cpu, started) = (cpu_time()?, Instant::now());
            let time = Duration::from_secs(plan.seconds);
            path.calls += run_at_full_speed(&client, path.address, &body, time).await;
            path.elapsed += started.elapsed();
            path.cpu += cpu_time()? - cpu;
        }
    }
    print_results(&plan, &paths);
    Ok(())
}

fn print_results(plan: &Plan, paths: &[Path]) {
    println!(
        "{} calls/s for {} rounds of {} s per path, bodies of {} bytes both ways",
        plan.rate, plan.rounds, plan.seconds, plan.body_bytes
    );
    println!(
        "{:<16} {:>9} {:>9} {:>9} {:>9} {:>8} {:>10} {:>12} {:>11}",
        "path",
        "calls",
        "p50 us",
        "p99 us",
        "p99.9 us",
        "failed",
        "calls/s",
        "calls/s/core",
        "cpu us/call"
    );
    for path in paths {
        let latency = path.latency.lock();
        println!(
            "{:<16} {:>9} {:>9} {:>9} {:>9} {:>8} {:>10.0} {:>12.0} {:>11.1}",
            path.name,
            latency.len(),
            latency.value_at_quantile(0.5),
            latency.value_at_quantile(0.99),
            latency.value_at_quantile(0.999),
            path.failures.load(Ordering::Relaxed),
            path.calls as f64 / path.elapsed.as_secs_f64(),
            path.calls_per_cpu_second(),
            path.cpu_micros_per_call(),
        );
    }
    let direct = &paths[0];
    let base = direct.latency.lock().clone();
    println!("added to the direct path:");
    for path in &paths[1..] {
        let latency = path.latency.lock();
        let added = |quantile| {
            latency.value_at_quantile(quantile) as i64 - base.value_at_quantile(quantile) as i64
        };
        let cpu = path.cpu_micros_per_call() - direct.cpu_micros_per_call();
        println!(
            "{:<16} p50 {:+} us, p99 {:+} us, cpu {:+.1} us/call: {:.0} calls/s per core",
            path.name,
            added(0.5),
            added(0.99),
            cpu,
            1e6 / cpu,
        );
    }
}

/// Starts calls at the plan's rate, regardless of whether earlier ones are answered.
async fn run_at_fixed_rate(client: &Client, path: &Path, body: &Bytes, plan: &Plan) {
    let (done_tx, done) = channel::bounded::<()>(1);
    let (client, body) = (client.clone(), body.clone());
    let (latency, failures) = (path.latency.clone(), path.failures.clone());
    let (address, rate, count) = (path.address, plan.rate, plan.rate * plan.seconds);
    std::thread::spawn(move || {
        let started = Instant::now();
        for number in 0..count {
            let intended = started + Duration::from_nanos(number * 1_000_000_000 / rate);
            wait_until(intended);
            let (client, body) = (client.clone(), body.clone());
            let (latency, failures) = (latency.clone(), failures.clone());
            let done_tx = done_tx.clone();
            task::spawn(async move {
                match call(&client, address, body).await {
                    true => record_latency(&latency, intended.elapsed()),
                    false => _ = failures.fetch_add(1, Ordering::Relaxed),
                }
                drop(done_tx);
            });
        }
    });
    // `recv` returns an error once the last call has dropped its sender.
    let _ = done.recv().await;
}

fn wait_until(time: Instant) {
    let left = time.saturating_duration_since(Instant::now());
    if left > SPIN_TIME {
        std::thread::sleep(left - SPIN_TIME);
    }
    while Instant::now() < time {
        std::hint::spin_loop();
    }
}

fn record_latency(latency: &Mutex<Histogram<u64>>, elapsed: Duration) {
    latency.lock().saturating_record(elapsed.as_micros() as u64);
}

/// Calls from a fixed number of callers, each of which starts a call when its previous one is
/// answered. Returns the number of successful calls.
async fn run_at_full_speed(
    client: &Client,
    address: SocketAddr,
    body: &Bytes,
    time: Duration,
) -> u64 {
    let end = Instant::now() + time;
    let callers = (0..CALLERS).map(|_| {
        let (client, body) = (client.clone(), body.clone());
        task::spawn(async move {
            let mut calls = 0;
            while Instant::now() < end {
                calls += u64::from(call(&client, address, body.clone()).await);
            }
            calls
        })
    });
    join_all(callers).await.into_iter().sum()
}

async fn call(client: &Client, address: SocketAddr, body: Bytes) -> bool {
    let expected = body.len();
    let request = Request::builder()
        .method(Method::POST)
        .uri("/orders/17")
        .header("x-tenant", "grocers")
        .header("content-type", "application/json")
        .body(body)
        .expect("the parts of the request are valid");
    let response = client
        .send(address, request, Instant::now() + TIMEOUT)
        .await;
    response.is_ok_and(|response| response.body().len() == expected)
}

fn serve<H, F>(handler: H) -> Result<ServerHandle, Error>
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let listener = listen(([127, 0, 0, 1], 0).into())?;
    Ok(server::serve(listener, server::Limits::default(), handler)?)
}

fn start_upstream(body: Bytes) -> Result<ServerHandle, Error> {
    serve(move |_| std::future::ready(Response::new(body.clone())))
}

fn hop_client() -> Client {
    Client::new(client::Limits {
        max_idle_connections: 1024,
        ..client::Limits::default()
    })
}

fn start_http_hop(upstream: SocketAddr) -> Result<ServerHandle, Error> {
    let client = hop_client();
    serve(move |request| {
        let client = client.clone();
        async move {
            let response = client
                .send(upstream, request, Instant::now() + TIMEOUT)
                .await;
            response.unwrap_or_else(|_| unavailable())
        }
    })
}

fn unavailable() -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

async fn start_link_hop(upstream: SocketAddr) -> Result<ServerHandle, Error> {
    let listener = listen(([127, 0, 0, 1], 0).into())?;
    let address = listener.local_addr()?;
    task::spawn(async move {
        let (stream, _) = listener.accept().await?;
        let limits = link::Limits::default();
        let (_, _, sender, receiver) = link::accept(stream, &identity("owner")?, &limits).await?;
        let client = hop_client();
        let handler = move |call, _| run_call(client.clone(), upstream, call);
        call_link::serve(sender, receiver, 4096, handler).await;
        Ok::<(), Error>(())
    });
    let limits = link::Limits::default();
    let (sender, receiver) =
        link::connect(address, &identity("entry")?, Purpose::Calls, &limits).await?;
    let calls = Arc::new(CallClient::start(sender, receiver));
    serve(move |request| forward(calls.clone(), request))
}

fn identity(daemon: &str) -> Result<Identity, Error> {
    Ok(Identity {
        mesh: "hop-cost".into(),
        daemon: daemon.into(),
        key: MeshKey::new("a key for this example only")?,
    })
}

async fn forward(calls: Arc<CallClient>, request: Request<Bytes>) -> Response<Bytes> {
    let (parts, body) = request.into_parts();
    let call = Call {
        id: 0,
        remaining_ms: 0,
        service: "orders".into(),
        version: "v1".into(),
        route: "orders".into(),
        tenant: "grocers".into(),
        attempt: 0,
        key: None,
        fingerprint: None,
        urgency: Default::default(),
        caller: None,
        head: RequestHead {
            method: parts.method.as_str().to_owned(),
            path_and_query: parts.uri.to_string(),
            headers: headers::to_call_headers(&parts.headers),
        },
        body: body.into(),
    };
    match calls.call(call, Instant::now() + TIMEOUT).await {
        Ok(answer) => decode_answer(answer).unwrap_or_else(unavailable),
        Err(_) => unavailable(),
    }
}

fn decode_answer(answer: Answer) -> Option<Response<Bytes>> {
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).ok()?;
    *response.headers_mut() = headers::from_call_headers(answer.headers)?;
    Some(response)
}

type CallFuture = Pin<Box<dyn Future<Output = CallResult> + Send>>;

fn run_call(client: Client, upstream: SocketAddr, call: Call) -> CallFuture {
    Box::pin(async move {
        let deadline = Instant::now() + Duration::from_millis(call.remaining_ms.into());
        let Some(request) = encode_request(call) else {
            return CallResult::Refused(Failure::not_run(Reason::BadRequest));
        };
        match client.send(upstream, request, deadline).await {
            Ok(response) => CallResult::Answer(Answer {
                status: response.status().as_u16(),
                headers: headers::to_call_headers(response.headers()),
                body: response.into_body().into(),
            }),
            Err(failure) => CallResult::Refused(failure),
        }
    })
}

fn encode_request(call: Call) -> Option<Request<Bytes>> {
    let mut request = Request::builder()
        .method(call.head.method.as_str())
        .uri(call.head.path_and_query)
        .body(Bytes::from(call.body))
        .ok()?;
    *request.headers_mut() = headers::from_call_headers(call.head.headers)?;
    Some(request)
}

/// Returns the user and system CPU time that this process has used.
fn cpu_time() -> Result<Duration, Error> {
    /// Clock ticks per second in `/proc`, the same on all current Linux systems.
    const TICKS_PER_SECOND: u64 = 100;
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    // The second field is the program's name in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(')').ok_or("unexpected /proc/self/stat")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let (user, system) = (fields[11].parse::<u64>()?, fields[12].parse::<u64>()?);
    Ok(Duration::from_millis(
        (user + system) * 1000 / TICKS_PER_SECOND,
    ))
}
