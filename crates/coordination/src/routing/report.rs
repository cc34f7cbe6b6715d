//! How far reported load is borne out by observed latency.

use sycamoreflow_state::ids::Millis;

/// A report older than this is not used.
const MAX_REPORT_AGE: Millis = Millis(3_000);
/// Weight of one report in the usual load of an endpoint.
const REPORT_WEIGHT: f64 = 0.02;
/// Weight of one sample in the averages of the regression.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Samples before reports are used at all.
const MIN_SAMPLES: u32 = 50;
/// Correlation below which reports are ignored. Independent values rarely reach it at the sample
/// weight above, whose averages cover about 100 samples.
const MIN_CORRELATION: f64 = 0.3;
/// Largest factor by which a report can change an expectation.
const MAX_FACTOR: f64 = 4.0;

/// The latest load report of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    load: f64,
    mean: f64,
    received: Option<Millis>,
}

impl Report {
    /// Records a report of `in_flight` requests.
    pub(super) fn update(&mut self, now: Millis, in_flight: u32) {
        self.load = f64::from(in_flight);
        self.mean = match self.received {
            None => self.load,
            Some(_) => self.mean + (self.load - self.mean) * REPORT_WEIGHT,
        };
        self.received = Some(now);
    }

    /// Returns by how much the endpoint reports more load than it usually does, relative to its
    /// usual load.
    fn deviation(&self, now: Millis) -> Option<f64> {
        let received = self.received?;
        if now.since(received) > MAX_REPORT_AGE {
            return None;
        }
        Some((self.load - self.mean) / (self.mean + 1.0))
    }
}

/// Regression of the logarithm of relative latency on reported load, over all endpoints of a
/// service.
#[derive(Clone, Debug, Default)]
pub(super) struct Trust {
    samples: u32,
    load_variance: f64,
    latency_variance: f64,
    covariance: f64,
}

impl Trust {
    /// Records a call whose latency was `relative` times the estimate of its endpoint.
    pub(super) fn observe(&mut self, now: Millis, report: &Report, relative: f64) {
        let Some(load) = report.deviation(now) else {
            return;
        };
        let latency = relative.clamp(0.1, 10.0).ln();
        self.samples = self.samples.saturating_add(1);
        self.load_variance += (load * load - self.load_variance) * SAMPLE_WEIGHT;
        self.latency_variance += (latency * latency - self.latency_variance) * SAMPLE_WEIGHT;
        self.covariance += (load * latency - self.covariance) * SAMPLE_WEIGHT;
    }

    /// Returns the factor by which `report` changes the expected completion time.
    pub(super) fn factor(&self, now: Millis, report: &Report) -> f64 {
        let Some(load) = report.deviation(now) else {
            return 1.0;
        };
        let scale = (self.load_variance * self.latency_variance).sqrt();
        if self.samples < MIN_SAMPLES || self.covariance < MIN_CORRELATION * scale || scale == 0.0 {
            return 1.0;
        }
        let slope = self.covariance / self.load_variance;
        (slope * load).exp().clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }
}
