//! Counts the bytes that a daemon sends and receives on links other than call links.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sycamoreflow_transport::link::LinkBytes;

/// Byte counters for one kind of traffic since the daemon started.
#[derive(Debug)]
pub struct Traffic {
    kind: &'static str,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Creates the counters for control traffic: the subscription and the version floor.
    pub fn control() -> Self {
        Self::new("control")
    }

    /// Creates the counters for idempotency key traffic, which grows with the number of calls that
    /// carry a key.
    pub fn keys() -> Self {
        Self::new("keys")
    }

    fn new(kind: &'static str) -> Self {
        Self {
            kind,
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }
    }

    /// Returns the bytes counted since the daemon started.
    pub fn bytes(&self) -> LinkBytes {
        LinkBytes {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Adds the bytes of one link to the counters of its kind of traffic.
#[derive(Debug)]
pub struct LinkMeter {
    traffic: Arc<Traffic>,
    last: Mutex<LinkBytes>,
}

impl LinkMeter {
    /// Creates a meter for a new link, which starts at zero bytes.
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            traffic,
            last: Mutex::default(),
        }
    }

    /// Adds the bytes sent and received since the previous call. `current` is the total of the link
    /// and must not decrease.
    pub fn update(&self, current: LinkBytes) {
        let mut last = self.last.lock();
        let sent = current.sent - last.sent;
        let received = current.received - last.received;
        *last = current;
        self.traffic.sent.fetch_add(sent, Ordering::Relaxed);
        self.traffic.received.fetch_add(received, Ordering::Relaxed);
        let kind = self.traffic.kind;
        metrics::counter!("sycamoreflow_link_bytes_total", "kind" => kind, "direction" => "sent")
            .increment(sent);
        metrics::counter!("sycamoreflow_link_bytes_total", "kind" => kind, "direction" => "received")
            .increment(received);
    }
}
