//! The scenarios: faults of the candidate and of the mesh.

use std::ops::Range;

/// Properties of a call on which its failure may depend.
pub(crate) struct CallContext {
    /// Whether the call goes to the candidate.
    pub(crate) new: bool,
    /// Route of the call, below [`ROUTES`].
    pub(crate) route: usize,
    /// Milliseconds since the first call of the candidate.
    pub(crate) age: u64,
    /// Calls of the candidate in the previous second.
    pub(crate) load: u64,
}

/// Number of routes of the service.
pub(crate) const ROUTES: usize = 3;
/// Failure probability of calls that no fault affects.
const BASE_FAILURE_RATE: f64 = 0.001;

/// A version and the faults that are injected during its rollout.
#[derive(Clone)]
pub(crate) struct Scenario {
    /// Name, matched by `--scenario`.
    pub(crate) name: &'static str,
    /// Whether the candidate is expected to be rolled back.
    pub(crate) bad: bool,
    /// Failure probability of a call.
    pub(crate) failure: fn(&CallContext) -> f64,
    /// Factor on the latency of the candidate, by the milliseconds since its first call.
    pub(crate) slowdown: fn(u64) -> f64,
    /// Whether the leader fails two seconds after each step.
    pub(crate) leader_lost: bool,
    /// Time in milliseconds since approval during which there is no leader.
    pub(crate) no_leader: Range<u64>,
    /// Whether all daemons restart every 40 s.
    pub(crate) mass_restart: bool,
}

const GOOD: Scenario = Scenario {
    name: "good",
    bad: false,
    failure: |_| BASE_FAILURE_RATE,
    slowdown: |_| 1.0,
    leader_lost: false,
    no_leader: 0..0,
    mass_restart: false,
};

const FAILS_LATE: Scenario = Scenario {
    name: "fails-after-60s",
    bad: true,
    failure: |call| {
        if call.new && call.age >= 60_000 {
            1.0
        } else {
            BASE_FAILURE_RATE
        }
    },
    ..GOOD
};

/// All scenarios.
pub(crate) const SCENARIOS: [Scenario; 17] = [
    GOOD,
    Scenario {
        name: "fails-at-once",
        bad: true,
        failure: |call| if call.new { 1.0 } else { BASE_FAILURE_RATE },
        ..GOOD
    },
    FAILS_LATE,
    Scenario {
        name: "fails-after-280s",
        failure: |call| {
            if call.new && call.age >= 280_000 {
                1.0
            } else {
                BASE_FAILURE_RATE
            }
        },
        ..FAILS_LATE
    },
    Scenario {
        name: "fails-while-watched",
        failure: |call| {
            if call.new && call.age >= 310_000 {
                1.0
            } else {
                BASE_FAILURE_RATE
            }
        },
        ..FAILS_LATE
    },
    Scenario {
        name: "slow-while-watched",
        slowdown: |age| if age >= 310_000 { 3.0 } else { 1.0 },
        bad: true,
        ..GOOD
    },
    Scenario {
        name: "fails-under-load",
        bad: true,
        failure: |call| {
            if call.new && call.load > 40 {
                0.5
            } else {
                BASE_FAILURE_RATE
            }
        },
        ..GOOD
    },
    Scenario {
        name: "fails-on-one-route",
        bad: true,
        failure: |call| {
            if call.new && call.route == 1 {
                0.5
            } else {
                BASE_FAILURE_RATE
            }
        },
        ..GOOD
    },
    Scenario {
        name: "three-times-slower",
        bad: true,
        slowdown: |_| 3.0,
        ..GOOD
    },
    Scenario {
        name: "fails-2-percent",
        bad: true,
        failure: |call| {
            if call.new {
                0.02 + BASE_FAILURE_RATE
            } else {
                BASE_FAILURE_RATE
            }
        },
        ..GOOD
    },
    Scenario {
        name: "both-fail",
        failure: |call| {
            if call.age % 80_000 >= 60_000 {
                0.4
            } else {
                BASE_FAILURE_RATE
            }
        },
        ..GOOD
    },
    Scenario {
        name: "leader-lost-good",
        leader_lost: true,
        ..GOOD
    },
    Scenario {
        name: "leader-lost-late",
        leader_lost: true,
        ..FAILS_LATE
    },
    Scenario {
        name: "no-leader-fails",
        bad: true,
        failure: |call| {
            if call.new && call.age >= 170_000 {
                1.0
            } else {
                BASE_FAILURE_RATE
            }
        },
        no_leader: 165_000..215_000,
        ..GOOD
    },
    Scenario {
        name: "herd-good",
        mass_restart: true,
        ..GOOD
    },
    Scenario {
        name: "herd-fails-at-once",
        bad: true,
        failure: |call| if call.new { 1.0 } else { BASE_FAILURE_RATE },
        mass_restart: true,
        ..GOOD
    },
    Scenario {
        name: "herd-late",
        mass_restart: true,
        ..FAILS_LATE
    },
];
