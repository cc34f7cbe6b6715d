//! The simulated deployments and scenarios.

use sycamoreflow_state::ids::Micros;

/// Mean service time of an upstream of normal speed.
pub(crate) const SERVICE_TIME: Micros = Micros(8_000);
/// Simulated duration of a run.
pub(crate) const DURATION: Micros = Micros(15_000_000);

/// One service of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Mesh {
    pub(crate) name: String,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    /// Number of entry daemons.
    pub(crate) entries: usize,
    /// One-way network latency between data centres.
    pub(crate) remote_latency: Micros,
}

impl Mesh {
    /// Returns the largest service of each deployment at each scale.
    pub(crate) fn all(scales: &[usize], entry_factor: usize) -> Vec<Self> {
        let sfax = ("sfax", 3, 9, 9, 500);
        let amman = ("amman", 4, 6, 10, 1_000);
        let mut meshes = Vec::new();
        for scale in scales {
            for (name, endpoints, slots, entries, remote_latency) in [sfax, amman] {
                meshes.push(Self {
                    name: format!("{name} x{scale}"),
                    endpoints: endpoints * scale,
                    slots,
                    entries: entries * scale * entry_factor,
                    remote_latency: Micros(remote_latency),
                });
            }
        }
        meshes
    }
}

/// Properties of the endpoints and the load of a run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Offered load relative to the capacity at normal speed.
    pub(crate) load: f64,
    /// Factors on the service time, assigned to the endpoints round-robin.
    pub(crate) service_time_factors: &'static [f64],
    /// Share of the announced slots beyond which upstreams shed calls.
    pub(crate) shed_threshold: f64,
    /// Whether one endpoint in three always reports zero load.
    pub(crate) reports_no_load: bool,
    /// Factor on the service time of the first endpoint after one third of the run.
    pub(crate) first_service_time_factor: f64,
    /// Whether the first endpoint stops answering after one third of the run.
    pub(crate) first_unresponsive: bool,
    /// Whether the number of endpoints grows by a third, in a cold state, after one third of the
    /// run.
    pub(crate) joins: bool,
    /// Load that the second tenant adds after one third of the run, relative to the capacity; 0 for
    /// a single tenant.
    pub(crate) burst: f64,
    /// Whether a caller repeatedly sends a request that crashes every upstream that runs it.
    pub(crate) crashing: bool,
    /// Whether all endpoints restart in batches.
    pub(crate) restarts: bool,
}

const PLAIN: Scenario = Scenario {
    name: "plain",
    load: 0.6,
    service_time_factors: &[1.0],
    shed_threshold: 1.0,
    reports_no_load: false,
    first_service_time_factor: 1.0,
    first_unresponsive: false,
    joins: false,
    burst: 0.0,
    crashing: false,
    restarts: false,
};

pub(crate) const SCENARIOS: &[Scenario] = &[
    PLAIN,
    Scenario {
        name: "mixed-speeds",
        load: 0.5,
        service_time_factors: &[0.5, 1.0, 2.0],
        ..PLAIN
    },
    Scenario {
        name: "misleading-load",
        service_time_factors: &[1.5, 1.0, 1.0],
        reports_no_load: true,
        load: 0.5,
        ..PLAIN
    },
    Scenario {
        name: "slow-endpoint",
        load: 0.4,
        first_service_time_factor: 10.0,
        ..PLAIN
    },
    Scenario {
        name: "dead-endpoint",
        load: 0.4,
        first_unresponsive: true,
        ..PLAIN
    },
    Scenario {
        name: "cold-starts",
        load: 0.7,
        joins: true,
        ..PLAIN
    },
    Scenario {
        name: "overload",
        load: 0.5,
        burst: 1.5,
        ..PLAIN
    },
    Scenario {
        name: "shedding",
        load: 0.55,
        shed_threshold: 0.67,
        ..PLAIN
    },
    Scenario {
        name: "crashing-request",
        load: 0.4,
        crashing: true,
        ..PLAIN
    },
    Scenario {
        name: "rolling-restart",
        load: 0.4,
        restarts: true,
        ..PLAIN
    },
];
