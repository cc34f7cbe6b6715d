//! A simulated upstream with the admission state of its daemon.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::admission::{Admission, AdmissionConfig};
use sycamoreflow_coordination::suspect::Suspects;
use sycamoreflow_state::ids::{DaemonId, Micros};

use crate::scenario::SERVICE_TIME;

/// Time in microseconds until a started upstream reaches its normal service time.
const WARM_UP: u64 = 3_000_000;
/// Factor on the service time immediately after the start.
const COLD_FACTOR: f64 = 5.0;

pub(crate) struct Upstream {
    pub(crate) admission: Admission,
    pub(crate) suspects: Suspects,
    /// Indices of the calls running at the upstream.
    pub(crate) running: Vec<usize>,
    /// When the upstream started, or `None` if it was warm at the start of the run.
    pub(crate) started: Option<Micros>,
    pub(crate) service_time_factor: f64,
    /// Whether the upstream refuses connections.
    pub(crate) down: bool,
    /// Whether the host of the upstream sends no answers at all.
    pub(crate) unresponsive: bool,
    pub(crate) reports_no_load: bool,
    /// Number of crashes, by which completions scheduled before a crash are recognised.
    pub(crate) crash_count: u64,
}

impl Upstream {
    pub(crate) fn new(
        daemon: DaemonId,
        slots: u32,
        service_time_factor: f64,
        reports_no_load: bool,
    ) -> Self {
        Self {
            admission: Admission::new(AdmissionConfig::new(slots)),
            suspects: Suspects::new(daemon, 1),
            running: Vec::new(),
            started: None,
            service_time_factor,
            down: false,
            unresponsive: false,
            reports_no_load,
            crash_count: 0,
        }
    }

    /// Draws a service time in microseconds. Half of the mean is constant, the rest is
    /// exponentially distributed.
    pub(crate) fn service_time(&self, now: Micros, rng: &mut ChaCha8Rng) -> u64 {
        let mean = SERVICE_TIME.0 as f64 * self.service_time_factor * self.cold_factor(now);
        let exponential = -(1.0 - rng.random::<f64>()).ln();
        (mean * (0.5 + 0.5 * exponential)) as u64
    }

    /// Returns the number of running calls that the upstream reports.
    pub(crate) fn reported(&self) -> u32 {
        if self.reports_no_load {
            return 0;
        }
        self.running.len() as u32
    }

    fn cold_factor(&self, now: Micros) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = now.0.saturating_sub(started.0) as f64 / WARM_UP as f64;
        1.0 + (COLD_FACTOR - 1.0) * (1.0 - age).max(0.0)
    }
}
