//! Counts the bytes that a daemon spends on traffic other than calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sycamoreflow_transport::link::LinkBytes;

/// Traffic of one kind since the start of the daemon.
#[derive(Debug)]
pub struct Traffic {
    kind: &'static str,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Counts control traffic: the subscription and the floor.
    pub fn control() -> Self {
        Self::new("control")
    }

    /// Counts the traffic of idempotency keys, which grows with the calls that carry one.
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

    /// Returns the bytes counted so far.
    pub fn bytes(&self) -> LinkBytes {
        LinkBytes {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Adds the bytes of one link to the traffic.
#[derive(Debug)]
pub struct LinkMeter {
    traffic: Arc<Traffic>,
    last: Mutex<LinkBytes>,
}

impl LinkMeter {
    /// Starts to count a link.
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            traffic,
            last: Mutex::default(),
        }
    }

    /// Counts what the link has carried since the last call.
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
