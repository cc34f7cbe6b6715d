//! Bounded queue of log lines for standard output, and rate limits of lines about requests.
//!
//! A dedicated thread writes the lines, so that logging never blocks on a slow reader of the
//! output. Lines are dropped and counted while the queue is full. Lines about single requests are
//! rate limited, with separate limits for failures and for answers, so that a burst of requests
//! does not displace the lines that explain it.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tracing_subscriber::fmt::MakeWriter;

use super::{ANSWERS, REFUSALS};

#[cfg(test)]
mod tests;

/// Capacity of the queue in lines. At 300 bytes a line, a full queue takes 600 KB.
const QUEUE_LINES: usize = 2_048;
/// Maximum number of lines per second about answered requests.
const ANSWERS_PER_SECOND: u64 = 60;
/// Maximum number of lines per second about requests that were refused, retried or lost.
const REFUSALS_PER_SECOND: u64 = 200;
/// Interval of the rate limits.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limits of log lines about requests. Suppressed lines are counted.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    answers: RateLimiter,
    refusals: RateLimiter,
}

/// Fixed-window rate limiter that counts the suppressed lines.
#[derive(Debug, Default)]
struct RateLimiter {
    started: Mutex<Option<Instant>>,
    lines: AtomicU64,
    suppressed: AtomicU64,
}

impl RateLimits {
    /// Returns whether a line with this target may be written at `now`, and counts it. Targets
    /// other than [`ANSWERS`] and [`REFUSALS`] are not limited.
    pub(super) fn allows(&self, target: &str, now: Instant) -> bool {
        match target {
            ANSWERS => self.answers.allows(now, ANSWERS_PER_SECOND),
            REFUSALS => self.refusals.allows(now, REFUSALS_PER_SECOND),
            _ => true,
        }
    }

    /// Returns the numbers of lines about answers and about refusals that were suppressed since the
    /// previous call.
    pub(super) fn take_suppressed(&self) -> (u64, u64) {
        let take = |limiter: &RateLimiter| limiter.suppressed.swap(0, Ordering::Relaxed);
        (take(&self.answers), take(&self.refusals))
    }
}

impl RateLimiter {
    fn allows(&self, now: Instant, limit: u64) -> bool {
        let mut started = self.started.lock();
        if started.is_none_or(|started| now.duration_since(started) >= RATE_INTERVAL) {
            *started = Some(now);
            self.lines.store(0, Ordering::Relaxed);
        }
        if self.lines.fetch_add(1, Ordering::Relaxed) < limit {
            return true;
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        false
    }
}

/// Creates writers that put each line into the queue.
#[derive(Clone, Debug)]
pub(super) struct LogQueue {
    lines: SyncSender<Vec<u8>>,
}

/// Collects one line and puts it into the queue when dropped. The line is lost if the queue is
/// full.
#[derive(Debug)]
pub(super) struct LineWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl LogQueue {
    /// Starts the thread that writes the queued lines to standard output.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub(super) fn start() -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&rx))?;
        Ok(Self { lines: tx })
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter {
            lines: self.lines.clone(),
            line: Vec::new(),
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.lines.try_send(line).is_err() {
            metrics::counter!("sycamoreflow_log_lines_dropped_total").increment(1);
        }
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // Write errors are ignored: without the output there is no place to report them.
        let _ = output.write_all(&line);
        for line in lines.try_iter() {
            let _ = output.write_all(&line);
        }
        let _ = output.flush();
    }
}
