use std::sync::Arc;

use super::*;

/// Guards against a burst of answers that suppresses the lines about failures, and against
/// suppressed lines that are not counted.
#[test]
fn allows_burst() {
    let rate_limits = RateLimits::default();
    let start = Instant::now();
    let written = |target: &str, count: usize, now: Instant| {
        (0..count)
            .filter(|_| rate_limits.allows(target, now))
            .count() as u64
    };
    assert_eq!(written(ANSWERS, 500, start), ANSWERS_PER_SECOND);
    assert_eq!(written(REFUSALS, 100, start), 100);
    assert_eq!(written("sycamoreflow_daemon", 500, start), 500);
    assert_eq!(rate_limits.take_suppressed(), (500 - ANSWERS_PER_SECOND, 0));
    assert_eq!(rate_limits.take_suppressed(), (0, 0));
    let later = start + RATE_INTERVAL;
    assert_eq!(written(ANSWERS, 10, later), 10);
}

/// Output that takes a while for each line.
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        thread::sleep(Duration::from_millis(2));
        self.0.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against the loss of the last log lines of a process, which are still queued when it ends.
#[test]
fn flush_writes_queued() -> io::Result<()> {
    let written = Arc::new(Mutex::default());
    let output = SlowOutput(written.clone());
    let queue = LogQueue::start_with(move |entries| write_lines(entries, output))?;
    for _ in 0..10 {
        queue.make_writer().write_all(b"line\n")?;
    }
    assert!(queue.flush(Duration::from_secs(10)));
    assert_eq!(*written.lock(), b"line\n".repeat(10));
    Ok(())
}

/// Guards against a process that does not end because nobody reads its output.
#[test]
fn flush_full_queue() -> io::Result<()> {
    let (_stop, stopped) = sync_channel::<()>(0);
    let queue = LogQueue::start_with(move |_entries| {
        let _ = stopped.recv();
    })?;
    for _ in 0..=QUEUE_LINES {
        queue.make_writer().write_all(b"line\n")?;
    }
    assert!(!queue.flush(Duration::from_millis(5)));
    Ok(())
}
