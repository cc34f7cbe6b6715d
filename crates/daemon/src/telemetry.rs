//! Logs and metrics of the process.

use eyre::WrapErr;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::EnvFilter;

use crate::settings::{LogFormat, LogSettings};

/// Log target of requests that ended without an answer of an upstream.
pub const REFUSALS: &str = "sycamoreflow::refusals";
/// Log target of requests that were answered.
pub const ANSWERS: &str = "sycamoreflow::answers";

/// Upper bounds of the latency buckets in seconds. They are dense around 0.36 ms, the time that a
/// call may be delayed at the size aimed at.
const LATENCY_BUCKETS: [f64; 16] = [
    0.0001, 0.0002, 0.00036, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0,
    2.0, 5.0,
];

/// Starts logging to standard error.
///
/// # Errors
///
/// If the filter is malformed or logging was started before.
pub fn start_logs(settings: &LogSettings) -> eyre::Result<()> {
    let filter = match settings.filter.as_str() {
        "" => "info",
        filter => filter,
    };
    let filter = EnvFilter::try_new(filter).wrap_err("log.filter")?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|error| eyre::eyre!("logging can't be started: {error}"))
}

/// Starts recording metrics.
///
/// # Errors
///
/// If recording was started before.
pub fn start_metrics() -> eyre::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &LATENCY_BUCKETS)
        .wrap_err("latency buckets")?
        .install_recorder()
        .wrap_err("metrics can't be recorded")
}
