//! Logs and metrics of the process.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

use crate::settings::{LogFormat, LogSettings};

mod log_queue;

use log_queue::{LogQueue, Quota};

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

/// How often the number of lines that were left out is logged.
const LEFT_OUT_INTERVAL: Duration = Duration::from_secs(5);

/// Starts logging to standard output. Logging never blocks, and its volume is bounded.
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
    let queue = LogQueue::start().wrap_err("logging can't be started")?;
    let quota = Arc::new(Quota::default());
    let bounding = quota.clone();
    let bounded = dynamic_filter_fn(move |metadata, _| {
        metadata.is_span() || bounding.allows(metadata.target(), Instant::now())
    });
    let lines = tracing_subscriber::fmt::layer().with_writer(queue);
    let registry = tracing_subscriber::registry().with(filter);
    let started = match settings.format {
        LogFormat::Text => registry.with(lines.with_filter(bounded)).try_init(),
        LogFormat::Json => {
            let lines = lines.json().flatten_event(true);
            registry.with(lines.with_filter(bounded)).try_init()
        }
    };
    started.map_err(|error| eyre::eyre!("logging can't be started: {error}"))?;
    thread::Builder::new()
        .name("log-quota".into())
        .spawn(move || report_left_out(&quota))
        .wrap_err("logging can't be started")?;
    Ok(())
}

/// Logs how many lines about requests were left out, for ever.
fn report_left_out(quota: &Quota) {
    loop {
        thread::sleep(LEFT_OUT_INTERVAL);
        let (answers, refusals) = quota.take_left_out();
        if answers + refusals > 0 {
            tracing::info!(event = "log_lines_left_out", answers, refusals);
        }
    }
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
