//! The configuration of the mesh, which is generated from the answers.
//!
//! Invariants, established by generation and checked again by every proxy: each route refers to an
//! existing service and existing tenants; no two routes have the same prefix and a common method;
//! the steps of a rollout are strictly increasing shares that end at [`Share::ALL`].

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{Millis, RouteName, ServiceName, TenantName, VersionName};

mod account;
#[cfg(test)]
mod tests;

pub use account::{KeyDigest, Quota};

/// The complete configuration of the mesh.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct MeshConfig {
    /// Tenants by name, in the order of the answers.
    pub tenants: IndexMap<TenantName, TenantConfig>,
    /// Services by name, in the order of the answers.
    pub services: IndexMap<ServiceName, ServiceConfig>,
    /// Routes by name, in the order of the answers.
    pub routes: IndexMap<RouteName, RouteConfig>,
}

/// Configuration of a tenant, which is a class of callers.
///
/// A tenant with keys is a client account: its callers prove with a key that they belong to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TenantConfig {
    /// Weight of the tenant when it competes with others for the slots of a service.
    pub weight: u32,
    /// Priority of its requests, which goes before that of their route. `None` leaves the priority
    /// to the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Digests of the keys with which callers prove that they belong to the tenant. No other tenant
    /// has any of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyDigest>,
    /// Limit of its requests in the whole mesh. `None` sets no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

impl TenantConfig {
    /// Returns a tenant that only has a weight.
    pub fn with_weight(weight: u32) -> Self {
        Self {
            weight,
            priority: None,
            keys: Vec::new(),
            quota: None,
        }
    }
}

/// Configuration of a service and of the rollouts of its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceConfig {
    /// Version that is to receive all traffic. Changing it starts a rollout.
    pub version: VersionName,
    /// Services that call this one. Empty if only tenants call it.
    pub callers: Vec<ServiceName>,
    /// How a changed `version` is rolled out.
    pub rollout: RolloutRule,
    /// Minimum share of endpoints that stay in use despite expired leases and ejection.
    pub min_endpoints: Share,
    /// Retries allowed per first attempt. [`Share::ALL`] allows one retry per first attempt.
    pub retry_budget: Share,
    /// What an upstream bears after its start. `None` sets no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
}

/// What an upstream bears while it is cold, that is, for some time after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ColdStart {
    /// Time for which an upstream that does not tell counts as cold after its announcement.
    pub duration: Millis,
    /// Calls per second in the long run.
    pub rate: f64,
    /// Calls in any second beyond the rate.
    pub burst: u32,
}

impl ServiceConfig {
    /// Returns the configuration of a service with defaults for all but the retry budget. The
    /// version is empty and is taken from the endpoints.
    pub fn with_defaults(retry_budget: Share) -> Self {
        Self {
            version: VersionName::default(),
            callers: Vec::new(),
            rollout: RolloutRule::short_rollout(),
            min_endpoints: Share::percent(50),
            retry_budget,
            cold_start: None,
        }
    }
}

impl RolloutRule {
    /// Returns a rule for short rollouts, which finish within seconds.
    ///
    /// The new version has a small share for most of the time, so that faults that appear late
    /// affect few calls. It then gets all traffic for as long as the exposure limit allows, so that
    /// faults that depend on load appear before the old version may be removed.
    pub fn short_rollout() -> Self {
        Self {
            steps: vec![Share::percent(3), Share::ALL],
            finish: FinishTime::Within(Millis(30_000)),
            watch: Millis(1_200),
            max_extra_failures: Share::percent(5),
            max_slowdown_percent: 250,
            false_alarm: Share(2_000),
            low_traffic: LowTraffic::Finish,
            max_exposure: Some(Share::percent(10)),
            exposure_slack: 0,
        }
    }
}

/// How a new version is rolled out and when it counts as bad.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RolloutRule {
    /// Shares of traffic, strictly increasing, the last one [`Share::ALL`].
    pub steps: Vec<Share>,
    /// When the new version is to have all traffic.
    pub finish: FinishTime,
    /// How long the old version is kept after the new one has all traffic.
    pub watch: Millis,
    /// Excess of the failure ratio over that of the old version from which on a version counts as
    /// bad.
    pub max_extra_failures: Share,
    /// Latency relative to the old version from which on a version counts as bad, in percent: 200
    /// is twice the latency.
    pub max_slowdown_percent: u32,
    /// Accepted probability that a good version is rolled back by chance.
    pub false_alarm: Share,
    /// What to do at the finish time if there was too little traffic for a decision.
    pub low_traffic: LowTraffic,
    /// Maximum share of the calls of the service since the start of the rollout that the new
    /// version may receive before it is stable, regardless of the evidence. `None` sets no limit
    /// beyond the steps.
    #[serde(default)]
    pub max_exposure: Option<Share>,
    /// Number of calls in the whole mesh that the new version may receive in addition to that
    /// share.
    #[serde(default)]
    pub exposure_slack: u32,
}

/// When the new version is to have all traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum FinishTime {
    /// A duration after the approval.
    Within(Millis),
    /// A point in time, relative to the Unix epoch.
    By(Millis),
}

/// What happens at the finish time if there is too little evidence for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum LowTraffic {
    /// Move all traffic to the new version.
    Finish,
    /// Keep the share of the current step and report that to the operator.
    Stay,
}

/// Maps a set of requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RouteConfig {
    /// Service that handles the requests, unless [`Delivery::split`] distributes them.
    pub service: ServiceName,
    /// Path prefix, matched at segment boundaries. The longest matching prefix wins.
    pub prefix: String,
    /// Accepted methods in upper case. Empty means all methods.
    pub methods: Vec<String>,
    /// Whether requests may be executed more than once regardless of their method.
    pub idempotent: bool,
    /// Tenants that may use the route. Empty means all tenants.
    pub tenants: Vec<TenantName>,
    /// Maximum duration of a call, even if the deadline of the caller is later.
    pub timeout: Millis,
    /// Host, traffic distribution, attempts and priority.
    #[serde(default)]
    pub delivery: Delivery,
}

impl RouteConfig {
    /// Returns the services that requests of the route may be sent to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let sole_service = self.delivery.split.is_empty().then_some(&self.service);
        let split = self.delivery.split.iter();
        sole_service
            .into_iter()
            .chain(split.map(|part| &part.service))
    }
}

/// Settings for matching and delivering the requests of a route, in addition to its service and
/// prefix. With the default values, a route matches every host and sends all requests to its
/// service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Delivery {
    /// Host that a request must be addressed to, in lower case. `None` matches every host.
    pub host: Option<String>,
    /// Services among which requests are distributed by weight. If empty, all requests go to the
    /// service of the route.
    pub split: Vec<WeightedService>,
    /// Maximum number of endpoints that one request may be sent to. `None` uses the default of the
    /// daemon.
    pub max_attempts: Option<u32>,
    /// Latency up to which a response has its full value to the caller.
    pub target_latency: Option<Millis>,
    /// Priority among the routes to the same service. 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key, in a mesh whose tenants have keys.
    #[serde(default, skip_serializing_if = "is_false")]
    pub allow_anonymous: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A service and its weight in the distribution of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightedService {
    /// Service that receives this part of the requests.
    pub service: ServiceName,
    /// Weight, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// The distribution of a service's traffic among its versions, as proxies enforce it.
///
/// The default has an empty stable version, which no endpoint runs. It stands for a service without
/// any known endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TrafficSplit {
    /// Version that receives all traffic except that of the candidate.
    pub stable: VersionName,
    /// New version that is being rolled out, if any.
    pub candidate: Option<Candidate>,
    /// Versions that were rolled back and receive no traffic until they are approved again.
    pub blocked: Vec<VersionName>,
}

/// A version that is being rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Candidate {
    /// Name of the new version.
    pub version: VersionName,
    /// Upper bound of the candidate's share of calls in the whole mesh.
    pub share: Share,
    /// Number of the rollout, unique in the mesh. It identifies reports and grants that arrive
    /// late.
    pub rollout: u64,
    /// Duration from the start of the rollout to its finish time, within which faults are expected
    /// to appear. It can't be derived from the rule alone, which may contain a point in time.
    pub window: Millis,
    /// Limit of the calls that the candidate receives before it is stable, if the rule has one.
    #[serde(default)]
    pub limit: Option<ExposureLimit>,
}

/// Upper bound of the calls to a candidate, which each daemon enforces for the calls that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExposureLimit {
    /// Maximum ratio of calls to the candidate to answered calls of the service, counted from when
    /// the daemon received the rollout.
    pub share: Share,
    /// Calls that each daemon may send in addition to that share.
    pub extra: u32,
    /// Share of traffic that the candidate receives in its test under full load.
    #[serde(default)]
    pub test_share: Share,
    /// Duration after which the candidate receives no more calls, counted from when the daemon
    /// received the rollout. It bounds a rollout that no leader ends.
    pub lasts: Millis,
}

/// A share or ratio in parts per million.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// A share of zero.
    pub const NONE: Self = Self(0);
    /// The whole, one million parts.
    pub const ALL: Self = Self(1_000_000);

    /// Creates a share from a whole percentage.
    pub const fn percent(percent: u32) -> Self {
        Self(percent * 10_000)
    }

    /// Returns the share as a ratio between 0 and 1.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(Self::ALL.0)
    }
}
