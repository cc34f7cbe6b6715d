//! The table that the quickstart prints at its end, and the checks that it makes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::operator::RolloutPhase;
use sycamoreflow_testbed::caller::{self, Results};
use sycamoreflow_testbed::mesh::Mesh;
use sycamoreflow_testbed::upstream::Upstream;

use crate::{FINISH_WITHIN, MAX_BAD_SHARE, MAX_CONVERGENCE, TIMEOUT};

/// Number of calls with which the latency without the mesh is measured.
const DIRECT_CALLS: usize = 1_000;

/// Result of a rollout.
#[derive(Debug)]
pub(crate) struct Rollout {
    /// Phase in which it ended.
    pub(crate) phase: RolloutPhase,
    /// Time from approval to its end.
    pub(crate) took: Duration,
    /// Time from approval until the new version had all traffic, or `None` if it never had.
    pub(crate) all_traffic_after: Option<Duration>,
    /// Number of calls that the callers sent during it.
    pub(crate) calls: u64,
    /// Number of calls that the new version received.
    pub(crate) received: u64,
    /// Time from its end to the last call that the new version received: zero if that call was
    /// earlier, and `None` if there was no call.
    pub(crate) last_call_after_end: Option<Duration>,
}

/// Measurements of the quickstart.
pub(crate) struct Report {
    /// Outcomes of the calls.
    pub(crate) results: Arc<Results>,
    /// Upstreams of all services and versions.
    pub(crate) upstreams: Vec<Arc<Upstream>>,
    /// Time until the first approval was in force at all daemons.
    pub(crate) convergence: Millis,
    /// Latencies of calls without the mesh, in microseconds.
    pub(crate) direct: Histogram<u64>,
    /// Bytes of control traffic per second, averaged over the daemons.
    pub(crate) control_bytes: f64,
    /// Rollout of the good version.
    pub(crate) good: Rollout,
    /// Rollout of the bad version.
    pub(crate) bad: Rollout,
}

impl Report {
    /// Prints the table of measurements.
    pub(crate) fn print(&self) {
        let results = &self.results;
        let count = |value: &std::sync::atomic::AtomicU64| value.load(Ordering::Relaxed);
        let added = |quantile: f64| {
            let direct = self.direct.value_at_quantile(quantile);
            let through = results.quantile(quantile);
            through.saturating_sub(direct) as f64 / 1_000.0
        };
        println!();
        row("calls sent", count(&results.sent));
        row("answered", count(&results.answered));
        row(
            "answered with an error of the upstream",
            count(&results.errors),
        );
        row("refused as not run", count(&results.refused));
        row("failed, may have run", count(&results.unresolved));
        row("answers wrong or cut", count(&results.wrong));
        row("keyed calls sent again", count(&results.resent));
        row("run twice", self.run_twice());
        row("refused as not run, but run", self.refused_but_run());
        row("added latency p50, ms", format!("{:.3}", added(0.5)));
        row("added latency p99, ms", format!("{:.3}", added(0.99)));
        row("convergence, ms", self.convergence.0);
        row(
            "control bytes per daemon and second",
            format!("{:.0}", self.control_bytes),
        );
        row("good version", self.good.phase);
        row(
            "  finished after, s",
            format!("{:.1}", self.good.took.as_secs_f64()),
        );
        let all_traffic = self.good.all_traffic_after.unwrap_or_default();
        row(
            "  had all traffic after, s",
            format!("{:.1}", all_traffic.as_secs_f64()),
        );
        row("bad version", self.bad.phase);
        row(
            "  taken back after, s",
            format!("{:.1}", self.bad.took.as_secs_f64()),
        );
        row("  calls received", self.bad.received);
        row(
            "  share of the calls, %",
            format!("{:.2}", 100.0 * self.bad_share()),
        );
        println!();
    }

    /// Returns a description of each check that failed.
    pub(crate) fn failed_checks(&self) -> Vec<String> {
        let results = &self.results;
        let count = |value: &std::sync::atomic::AtomicU64| value.load(Ordering::Relaxed);
        let checks = [
            (
                count(&results.sent) > 1_000,
                "fewer than 1,000 calls were sent",
            ),
            (
                count(&results.wrong) == 0,
                "a caller received a wrong or truncated answer",
            ),
            (
                count(&results.unresolved) == 0,
                "a call failed although no daemon or upstream was stopped",
            ),
            (self.run_twice() == 0, "a request ran twice"),
            (
                self.refused_but_run() == 0,
                "a request refused as not run had run",
            ),
            (
                self.convergence <= MAX_CONVERGENCE,
                "convergence took too long",
            ),
            (
                self.good.phase == RolloutPhase::Done,
                "the good version was not finished",
            ),
            (
                self.finished_in_time(),
                "the good version was not finished in time",
            ),
            (
                self.bad.phase == RolloutPhase::TakenBack,
                "the bad version was not taken back",
            ),
            (
                self.bad.received > 0,
                "the bad version received no calls, so its rollout was not tested",
            ),
            (
                self.bad_share() <= MAX_BAD_SHARE,
                "the bad version received too large a share",
            ),
            (
                self.traffic_stopped(),
                "the bad version received calls after it was taken back",
            ),
        ];
        let failed = checks.iter().filter(|(holds, _)| !holds);
        failed.map(|(_, check)| (*check).to_owned()).collect()
    }

    fn finished_in_time(&self) -> bool {
        let after = self.good.all_traffic_after;
        after.is_some_and(|after| after <= FINISH_WITHIN)
    }

    fn bad_share(&self) -> f64 {
        self.bad.received as f64 / self.bad.calls.max(1) as f64
    }

    /// Returns whether the bad version received no calls after its rollback. Calls in flight at
    /// that time may still arrive within 500 ms.
    fn traffic_stopped(&self) -> bool {
        let after = self.bad.last_call_after_end.unwrap_or_default();
        after < Duration::from_millis(500)
    }

    fn runs(&self) -> HashMap<u64, u32> {
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for upstream in &self.upstreams {
            for (number, count) in upstream.stats().runs() {
                *runs.entry(number).or_default() += count;
            }
        }
        runs
    }

    fn run_twice(&self) -> usize {
        self.runs().values().filter(|count| **count > 1).count()
    }

    fn refused_but_run(&self) -> usize {
        let runs = self.runs();
        let refused = self.results.refused_numbers.lock();
        refused
            .iter()
            .filter(|number| runs.contains_key(number))
            .count()
    }
}

fn row(name: &str, value: impl std::fmt::Display) {
    println!("{name:<42}{value:>14}");
}

/// Measures the latency of sequential calls to an upstream without the mesh.
pub(crate) async fn direct_latency(upstream: &Upstream) -> eyre::Result<Histogram<u64>> {
    let client = caller::client();
    let mut latency = Histogram::new(3)?;
    for _ in 0..DIRECT_CALLS {
        let started = Instant::now();
        let request = Request::get("/stock/harissa").body(Bytes::new())?;
        let answer = client
            .send(upstream.address(), request, started + TIMEOUT)
            .await;
        if answer.is_err() {
            eyre::bail!("the direct call failed: {answer:?}");
        }
        latency.record(started.elapsed().as_micros() as u64)?;
    }
    Ok(latency)
}

/// Returns the bytes of control traffic per daemon and second, sent and received, over the time
/// `elapsed`.
pub(crate) fn control_bytes_per_second(mesh: &Mesh, elapsed: Duration) -> f64 {
    let mut total = 0;
    for index in 0..mesh.len() {
        let Some(daemon) = mesh.daemon(index) else {
            continue;
        };
        let bytes = daemon.control_traffic().bytes();
        total += bytes.sent + bytes.received;
    }
    total as f64 / mesh.len() as f64 / elapsed.as_secs_f64()
}
