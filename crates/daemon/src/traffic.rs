//! Counts the bytes that a daemon spends on control traffic: its subscription and its floor.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sycamoreflow_transport::link::LinkBytes;

/// Control traffic of a daemon since its start.
#[derive(Debug, Default)]
pub struct ControlTraffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ControlTraffic {
    /// Returns the bytes counted so far.
    pub fn bytes(&self) -> LinkBytes {
        LinkBytes {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Adds the bytes of one link to the control traffic.
#[derive(Debug)]
pub struct LinkMeter {
    traffic: Arc<ControlTraffic>,
    counted: Mutex<LinkBytes>,
}

impl LinkMeter {
    /// Starts to count a link.
    pub fn new(traffic: Arc<ControlTraffic>) -> Self {
        Self {
            traffic,
            counted: Mutex::default(),
        }
    }

    /// Counts what the link has carried since the last call.
    pub fn update(&self, now: LinkBytes) {
        let mut counted = self.counted.lock();
        let sent = now.sent - counted.sent;
        let received = now.received - counted.received;
        *counted = now;
        self.traffic.sent.fetch_add(sent, Ordering::Relaxed);
        self.traffic.received.fetch_add(received, Ordering::Relaxed);
        metrics::counter!("sycamoreflow_control_bytes_total", "direction" => "sent")
            .increment(sent);
        metrics::counter!("sycamoreflow_control_bytes_total", "direction" => "received")
            .increment(received);
    }
}
