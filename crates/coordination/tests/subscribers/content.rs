//! Random configurations, endpoints and interests for the test cases.

use std::collections::BTreeSet;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::machine::Command;
use sycamoreflow_state::config::{
    FinishTime, LowTraffic, MeshConfig, RolloutRule, RouteConfig, ServiceConfig, Share,
    TenantConfig,
};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{ConfigVersion, Millis};
use sycamoreflow_state::view::Interest;

pub(crate) const SERVICES: [&str; 4] = ["catalogue", "orders", "lots", "recipes"];

/// Returns a command that approves a random configuration based on `base`.
pub(crate) fn approval(rng: &mut ChaCha8Rng, number: u64, base: ConfigVersion) -> Command {
    let mut config = MeshConfig::default();
    for tenant in ["grocers", "roasters"] {
        let weight = rng.random_range(1..4);
        config
            .tenants
            .insert(tenant.into(), TenantConfig::with_weight(weight));
    }
    for service in SERVICES {
        if rng.random_range(0..4) == 0 {
            continue;
        }
        let version = format!("v{}", rng.random_range(1..3));
        config
            .services
            .insert(service.into(), service_config(&version));
        let route = route(rng, service);
        config.routes.insert(service.into(), route);
    }
    Command::Approve {
        request: format!("r{number}").into(),
        base,
        operator: "operator".to_owned(),
        answers: format!("answers {number}"),
        config,
        at: Millis(number),
    }
}

fn service_config(version: &str) -> ServiceConfig {
    ServiceConfig {
        version: version.into(),
        callers: Vec::new(),
        rollout: RolloutRule {
            steps: vec![Share::ALL],
            finish: FinishTime::Within(Millis(1_000)),
            watch: Millis(1_000),
            max_extra_failures: Share::percent(1),
            max_slowdown_percent: 200,
            false_alarm: Share::percent(1),
            low_traffic: LowTraffic::Stay,
            max_exposure: None,
            exposure_slack: 0,
        },
        min_endpoints: Share::percent(20),
        retry_budget: Share::percent(10),
        cold_start: None,
    }
}

fn route(rng: &mut ChaCha8Rng, service: &str) -> RouteConfig {
    RouteConfig {
        service: service.into(),
        prefix: format!("/{service}"),
        methods: Vec::new(),
        idempotent: rng.random_bool(0.5),
        tenants: vec!["grocers".into()],
        timeout: Millis(rng.random_range(500..2_000)),
        delivery: Default::default(),
    }
}

/// Returns an endpoint that the daemon of a subscriber announces.
pub(crate) fn endpoint(daemon: usize, service: &str, slots: u32) -> Endpoint {
    Endpoint {
        daemon: name(daemon).as_str().into(),
        service: service.into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        slots,
        draining: false,
        drained_by_operator: false,
    }
}

/// Returns the daemon identifier of a subscriber.
pub(crate) fn name(daemon: usize) -> String {
    format!("d{daemon}")
}

/// Returns the interest of a subscriber: all resources for every third one, two services for the
/// others.
pub(crate) fn interest(daemon: usize) -> Interest {
    if daemon.is_multiple_of(3) {
        return Interest::All;
    }
    let wanted = [SERVICES[daemon % 4], SERVICES[(daemon + 1) % 4]];
    Interest::Services(BTreeSet::from(wanted.map(Into::into)))
}
