//! Logging and metrics of the process.

use std::io::{self, IsTerminal};
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

use log_queue::{LogQueue, RateLimits};

/// Log target of requests that an upstream did not answer, and of refusals and retries.
pub const REFUSALS: &str = "sycamoreflow::refusals";
/// Log target of requests that an upstream answered.
pub const ANSWERS: &str = "sycamoreflow::answers";

/// Upper bounds of the latency buckets in seconds. They are dense around 0.36 ms, the maximum delay
/// that the proxy may add to a call at the target mesh size.
const LATENCY_BUCKETS: [f64; 16] = [
    0.0001, 0.0002, 0.00036, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0,
    2.0, 5.0,
];

/// How often the number of suppressed log lines is logged.
const SUPPRESSED_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time for which the end of the process waits until the queued log lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Writes the queued log lines when dropped, so that the last lines of a process are not lost. If
/// the output takes none, the drop gives up after 100 ms.
#[must_use]
#[derive(Debug)]
pub struct LogGuard {
    queue: LogQueue,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.queue.flush(FLUSH_TIMEOUT);
    }
}

/// Starts logging to standard output. Logging never blocks the caller, and lines about requests are
/// rate limited. The result must be kept until the end of the process.
///
/// # Errors
///
/// If the filter is malformed, logging was started before or a thread can't be started.
pub fn start_logs(settings: &LogSettings) -> eyre::Result<LogGuard> {
    let filter = match settings.filter.as_str() {
        "" => "info",
        filter => filter,
    };
    let filter = EnvFilter::try_new(filter).wrap_err("log.filter: invalid filter directives")?;
    let queue = LogQueue::start().wrap_err("failed to start logging")?;
    let guard = LogGuard {
        queue: queue.clone(),
    };
    let rate_limits = Arc::new(RateLimits::default());
    let filter_limits = rate_limits.clone();
    let rate_filter = dynamic_filter_fn(move |metadata, _| {
        metadata.is_span() || filter_limits.allows(metadata.target(), Instant::now())
    });
    let output_layer = tracing_subscriber::fmt::layer()
        .with_ansi(io::stdout().is_terminal())
        .with_writer(queue);
    let registry = tracing_subscriber::registry().with(filter);
    let started = match settings.format {
        LogFormat::Text => registry
            .with(output_layer.with_filter(rate_filter))
            .try_init(),
        LogFormat::Json => {
            let output_layer = output_layer.json().flatten_event(true);
            registry
                .with(output_layer.with_filter(rate_filter))
                .try_init()
        }
    };
    started.map_err(|error| eyre::eyre!("failed to start logging: {error}"))?;
    thread::Builder::new()
        .name("log-quota".into())
        .spawn(move || report_suppressed(&rate_limits))
        .wrap_err("failed to start logging")?;
    Ok(guard)
}

/// Periodically logs the number of suppressed lines about requests. Never returns.
fn report_suppressed(rate_limits: &RateLimits) {
    loop {
        thread::sleep(SUPPRESSED_REPORT_INTERVAL);
        let (answers, refusals) = rate_limits.take_suppressed();
        if answers + refusals > 0 {
            tracing::info!(event = "log_lines_left_out", answers, refusals);
        }
    }
}

/// Installs the metrics recorder and returns a handle that renders the metrics as text.
///
/// # Errors
///
/// If a recorder was installed before.
pub fn start_metrics() -> eyre::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &LATENCY_BUCKETS)
        .wrap_err("invalid latency buckets")?
        .install_recorder()
        .wrap_err("failed to install the metrics recorder")
}
