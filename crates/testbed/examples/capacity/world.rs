//! Synthetic configurations, endpoints and views of a given size.

use std::net::SocketAddr;
use std::sync::Arc;

use sycamoreflow_coordination::machine::{Command, ControlState};
use sycamoreflow_state::config::{
    FinishTime, LowTraffic, MeshConfig, RolloutRule, RouteConfig, ServiceConfig, Share,
    TenantConfig,
};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{ConfigVersion, EndpointVersion, Millis, ViewVersion};
use sycamoreflow_state::view::{Interest, Resource, ResourceKey, View};

/// Number of services of the mesh for which the capacity is planned.
pub(crate) const SERVICES: usize = 880;
/// Numbers of endpoints at which costs are measured.
pub(crate) const ENDPOINTS: [usize; 3] = [1_000, 5_000, 14_000];

/// Returns a configuration with three tenants and one route for each service.
pub(crate) fn config(services: usize) -> MeshConfig {
    let mut config = MeshConfig::default();
    for tenant in ["grocers", "restaurants", "exporters"] {
        config
            .tenants
            .insert(tenant.into(), TenantConfig::with_weight(1));
    }
    for index in 0..services {
        let name = service(index);
        let route = RouteConfig {
            service: name.as_str().into(),
            prefix: format!("/{name}"),
            methods: vec!["GET".to_owned()],
            idempotent: true,
            tenants: vec!["grocers".into()],
            timeout: Millis(1_000),
            delivery: Default::default(),
        };
        config
            .services
            .insert(name.as_str().into(), service_config());
        config.routes.insert(name.as_str().into(), route);
    }
    config
}

/// Returns the name of service `index`.
pub(crate) fn service(index: usize) -> String {
    format!("service-{index:03}")
}

fn service_config() -> ServiceConfig {
    ServiceConfig {
        version: "v1".into(),
        callers: Vec::new(),
        rollout: RolloutRule {
            steps: vec![Share::percent(1), Share::percent(10), Share::ALL],
            finish: FinishTime::Within(Millis(600_000)),
            watch: Millis(60_000),
            max_extra_failures: Share::percent(1),
            max_slowdown_percent: 200,
            false_alarm: Share::percent(1),
            low_traffic: LowTraffic::Finish,
            max_exposure: None,
            exposure_slack: 0,
        },
        min_endpoints: Share::percent(50),
        retry_budget: Share::percent(10),
        cold_start: None,
    }
}

/// Changes the retry budget of one service of `config`, which starts no rollout.
pub(crate) fn change(config: &mut MeshConfig, step: u32) {
    let index = step as usize % config.services.len();
    if let Some((_, service)) = config.services.get_index_mut(index) {
        service.retry_budget = Share(100_000 + step + 1);
    }
}

/// Returns the only endpoint of daemon `index`. Endpoints are spread evenly over the services.
pub(crate) fn endpoint(index: usize, services: usize) -> Endpoint {
    Endpoint {
        daemon: daemon(index).as_str().into(),
        service: service(index % services).as_str().into(),
        version: "v1".into(),
        data_centre: format!("region-{}-dc-{}", index % 7, index % 16)
            .as_str()
            .into(),
        address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000)),
        slots: 9,
        draining: false,
        drained_by_operator: false,
    }
}

/// Returns the name of daemon `index`.
pub(crate) fn daemon(index: usize) -> String {
    format!("daemon-{index:05}")
}

/// Returns the state of the control group after the approval of `config` as its first version.
pub(crate) fn state(config: &MeshConfig) -> ControlState {
    let mut state = ControlState::default();
    state.apply(1, &approval(config, ConfigVersion(0), 1));
    state
}

/// Returns the command that approves `config` based on version `base`. `number` makes the request
/// identifier unique.
pub(crate) fn approval(config: &MeshConfig, base: ConfigVersion, number: u32) -> Command {
    Command::Approve {
        request: format!("capacity-{number}").into(),
        base,
        operator: "capacity".to_owned(),
        answers: String::new(),
        config: config.clone(),
        at: Millis(1),
    }
}

/// Returns a view with `services` services and `endpoints` endpoints.
pub(crate) fn view(services: usize, endpoints: usize) -> View {
    let mut view = View::new(Interest::All);
    for (key, resource) in state(&config(services)).resources() {
        view.insert(key, Arc::new(resource));
    }
    for index in 0..endpoints {
        let endpoint = endpoint(index, services);
        let key = ResourceKey::Endpoint(endpoint.daemon.clone(), endpoint.service.clone());
        view.insert(key, Arc::new(Resource::Endpoint(endpoint)));
    }
    view.set_version(version(1, 1));
    view
}

/// Returns a view version in term 1.
pub(crate) fn version(config: u64, seq: u64) -> ViewVersion {
    ViewVersion {
        config: ConfigVersion(config),
        endpoints: EndpointVersion { term: 1, seq },
    }
}
