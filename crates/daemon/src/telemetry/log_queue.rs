//! Log lines on their way to standard output.
//!
//! A thread of its own writes the lines, so that whoever logs never waits for the reader of the
//! output. Lines that find the queue full are dropped and counted. Lines about single requests are
//! bounded per second, those about failures apart from those about answers, so that a burst of
//! requests does not push out what explains it.

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

/// Lines that wait for the writer at most. With 300 bytes each they take 600 KB.
const QUEUE_LINES: usize = 2_048;
/// Lines per second about requests that were answered.
const ANSWERS_PER_SECOND: u64 = 60;
/// Lines per second about requests that were refused, repeated or lost.
const REFUSALS_PER_SECOND: u64 = 200;
/// Interval over which the lines are counted.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the lines about requests and counts those that were left out.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    answers: RateLimiter,
    refusals: RateLimiter,
}

/// Lines in the current interval.
#[derive(Debug, Default)]
struct RateLimiter {
    started: Mutex<Option<Instant>>,
    lines: AtomicU64,
    suppressed: AtomicU64,
}

impl RateLimits {
    /// Returns whether a line with this target is written at `now`.
    pub(super) fn allows(&self, target: &str, now: Instant) -> bool {
        match target {
            ANSWERS => self.answers.allows(now, ANSWERS_PER_SECOND),
            REFUSALS => self.refusals.allows(now, REFUSALS_PER_SECOND),
            _ => true,
        }
    }

    /// Returns the numbers of lines about answers and refusals that were left out since the last
    /// call.
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

/// Makes writers that put each line into a queue.
#[derive(Clone, Debug)]
pub(super) struct LogQueue {
    lines: SyncSender<Vec<u8>>,
}

/// Collects one line.
#[derive(Debug)]
pub(super) struct LineWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl LogQueue {
    /// Starts the thread that writes the lines to standard output.
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
        // There is nowhere to report that the output is closed.
        let _ = output.write_all(&line);
        for line in lines.try_iter() {
            let _ = output.write_all(&line);
        }
        let _ = output.flush();
    }
}
