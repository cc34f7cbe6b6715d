//! Counters and results of a run.

use serde::Serialize;

/// Counters and latencies in microseconds, collected during a run.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    pub(crate) requests: u64,
    pub(crate) attempts: u64,
    pub(crate) succeeded: [u64; 2],
    pub(crate) not_run: u64,
    pub(crate) may_have_run: u64,
    pub(crate) crashes: u64,
    pub(crate) latencies: Vec<u64>,
}

/// Results of one run, as printed in the table and as JSON.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Row {
    scenario: String,
    mesh: String,
    policy: String,
    offered_per_s: f64,
    goodput_per_s: f64,
    goodput_first_tenant_per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
    refused_percent: f64,
    failed_percent: f64,
    amplification: f64,
    crashes: u64,
}

impl Stats {
    pub(crate) fn row(mut self, scenario: &str, mesh: &str, policy: &str, seconds: f64) -> Row {
        self.latencies.sort_unstable();
        let requests = self.requests.max(1) as f64;
        let goodput: u64 = self.succeeded.iter().sum();
        Row {
            scenario: scenario.to_string(),
            mesh: mesh.to_string(),
            policy: policy.to_string(),
            offered_per_s: self.requests as f64 / seconds,
            goodput_per_s: goodput as f64 / seconds,
            goodput_first_tenant_per_s: self.succeeded[0] as f64 / seconds,
            p50_ms: self.percentile(0.5),
            p99_ms: self.percentile(0.99),
            refused_percent: self.not_run as f64 / requests * 100.0,
            failed_percent: self.may_have_run as f64 / requests * 100.0,
            amplification: self.attempts as f64 / requests,
            crashes: self.crashes,
        }
    }

    fn percentile(&self, share: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        let index = (last as f64 * share) as usize;
        self.latencies.get(index).copied().unwrap_or(0) as f64 / 1_000.0
    }
}

pub(crate) fn print_table(rows: &[Row]) {
    println!(
        "{:<17}{:<10}{:<15}{:>9}{:>9}{:>9}{:>8}{:>8}{:>9}{:>8}{:>7}{:>8}",
        "scenario",
        "mesh",
        "policy",
        "offered",
        "goodput",
        "tenant1",
        "p50 ms",
        "p99 ms",
        "refused%",
        "failed%",
        "ampl",
        "crashes",
    );
    for row in rows {
        println!(
            "{:<17}{:<10}{:<15}{:>9.0}{:>9.0}{:>9.0}{:>8.2}{:>8.2}{:>9.3}{:>8.3}{:>7.3}{:>8}",
            row.scenario,
            row.mesh,
            row.policy,
            row.offered_per_s,
            row.goodput_per_s,
            row.goodput_first_tenant_per_s,
            row.p50_ms,
            row.p99_ms,
            row.refused_percent,
            row.failed_percent,
            row.amplification,
            row.crashes,
        );
    }
}
