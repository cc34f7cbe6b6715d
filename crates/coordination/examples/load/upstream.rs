//! A modelled upstream with its daemon's admission state.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::admission::{Admission, AdmissionConfig};
use sycamoreflow_coordination::suspect::Suspects;
use sycamoreflow_state::ids::{DaemonId, Micros};

use crate::scenario::SERVICE_TIME;

/// Time until a started upstream has its normal speed.
const WARM_UP: u64 = 3_000_000;
/// Factor on the service time right after the start.
const COLD_FACTOR: f64 = 5.0;

pub(crate) struct Upstream {
    pub(crate) admission: Admission,
    pub(crate) suspects: Suspects,
    /// Calls that the upstream runs.
    pub(crate) running: Vec<usize>,
    /// When it started, or `None` if it was warm at the beginning.
    pub(crate) started: Option<Micros>,
    pub(crate) service_time_factor: f64,
    /// Whether connections to it are refused.
    pub(crate) down: bool,
    /// Whether its host answers nothing at all.
    pub(crate) unresponsive: bool,
    pub(crate) reports_no_load: bool,
    /// Rises with every restart, so that the end of an earlier run is recognised.
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

    /// Draws a service time: half of it is constant, the rest exponential.
    pub(crate) fn service_time(&self, now: Micros, rng: &mut ChaCha8Rng) -> u64 {
        let mean = SERVICE_TIME.0 as f64 * self.service_time_factor * self.cold_factor(now);
        let exponential = -(1.0 - rng.random::<f64>()).ln();
        (mean * (0.5 + 0.5 * exponential)) as u64
    }

    /// Returns the load that the upstream reports.
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
