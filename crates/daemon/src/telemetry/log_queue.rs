//! Bounded queue of log lines for standard output, and rate limits of lines about requests.
//!
//! A dedicated thread writes the lines, so that logging never blocks on a slow reader of the
//! output. Lines are dropped and counted while the queue is full. Lines about single requests are
//! rate limited, with separate limits for failures and for answers, so that a burst of requests
//! does not displace the lines that explain it.

use std::io::{self, Write};
use std::iter;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
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
/// Interval at which a flush retries to enter a full queue.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(1);

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

/// Entry of the queue.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// Asks for a message once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Creates writers that put each line into the queue.
#[derive(Clone, Debug)]
pub(super) struct LogQueue {
    entries: SyncSender<Entry>,
}

/// Collects one line and puts it into the queue when dropped. The line is lost if the queue is
/// full.
#[derive(Debug)]
pub(super) struct LineWriter {
    entries: SyncSender<Entry>,
    line: Vec<u8>,
}

impl LogQueue {
    /// Starts the thread that writes the queued lines to standard output.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub(super) fn start() -> io::Result<Self> {
        Self::start_with(|entries| write_lines(entries, io::stdout().lock()))
    }

    fn start_with(write: impl FnOnce(&Receiver<Entry>) + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write(&rx))?;
        Ok(Self { entries: tx })
    }

    /// Waits until the lines that are queued now are written, but for `limit` at most. Returns
    /// whether they are.
    pub(super) fn flush(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let (tx, rx) = sync_channel(1);
        let mut entry = Entry::Flush(tx);
        while let Err(error) = self.entries.try_send(entry) {
            let TrySendError::Full(unsent) = error else {
                return false;
            };
            if Instant::now() >= end {
                return false;
            }
            entry = unsent;
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let remaining = end.saturating_duration_since(Instant::now());
        rx.recv_timeout(remaining).is_ok()
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter {
            entries: self.entries.clone(),
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
        if self.entries.try_send(Entry::Line(line)).is_err() {
            metrics::counter!("sycamoreflow_log_lines_dropped_total").increment(1);
        }
    }
}

fn write_lines(entries: &Receiver<Entry>, mut output: impl Write) {
    while let Ok(first) = entries.recv() {
        for entry in iter::once(first).chain(entries.try_iter()) {
            // Write errors are ignored: without the output there is no place to report them.
            match entry {
                Entry::Line(line) => {
                    let _ = output.write_all(&line);
                }
                Entry::Flush(done) => {
                    let _ = output.flush();
                    let _ = done.try_send(());
                }
            }
        }
        let _ = output.flush();
    }
}
