//! The generated configuration of the mesh.
//!
//! Invariants, established by generation and checked again by every proxy: each route
//! names an existing service and existing tenants; no two routes have the same prefix and a
//! common method; the share steps of a rollout rise strictly and end at [`Share::ALL`].

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{Millis, RouteName, ServiceName, TenantName, VersionName};

/// The complete configuration of the mesh, as generated from the answers.
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

/// A class of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TenantConfig {
    /// Relative share of a contended service's slots.
    pub weight: u32,
}

/// A service and the way its versions reach traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceConfig {
    /// Version that is to receive all traffic. A change of it starts a rollout.
    pub version: VersionName,
    /// Services that call this one. Empty if only tenants do.
    pub callers: Vec<ServiceName>,
    /// How a change of `version` reaches traffic.
    pub rollout: RolloutRule,
    /// Share of endpoints that expired leases and ejection leave in use at least.
    pub min_endpoints: Share,
    /// Retries allowed per first attempt, in parts per million.
    pub retry_budget: Share,
}

impl ServiceConfig {
    /// Returns the configuration of a service about which an operator says nothing else. Its
    /// version is learned from its endpoints.
    pub fn with_defaults(retry_budget: Share) -> Self {
        Self {
            version: VersionName::default(),
            callers: Vec::new(),
            rollout: RolloutRule::brisk(),
            min_endpoints: Share::percent(50),
            retry_budget,
        }
    }
}

impl RolloutRule {
    /// Returns a rule for rollouts that are to be done within seconds: a small share for most of the
    /// time, so that faults that show late meet few calls, then all traffic for as long as the exposure
    /// allows, so that faults that depend on load show before the old version may go.
    pub fn brisk() -> Self {
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

/// How a new version reaches traffic and what counts as bad.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RolloutRule {
    /// Shares of traffic, strictly rising, the last one [`Share::ALL`].
    pub steps: Vec<Share>,
    /// When the new version must have all traffic.
    pub finish: FinishTime,
    /// How long the old version is kept after the new one has all traffic.
    pub watch: Millis,
    /// Failure ratio above that of the old version that counts as bad.
    pub max_extra_failures: Share,
    /// Latency relative to the old version that counts as bad, in percent (200 is twice as slow).
    pub max_slowdown_percent: u32,
    /// Probability that a good version is taken back by chance.
    pub false_alarm: Share,
    /// What to do at the finish time when traffic was too low for a decision.
    pub low_traffic: LowTraffic,
    /// Part of the service's calls since the start that the new version may get before it is the stable
    /// one, whatever the evidence says. `None` leaves it to the steps.
    #[serde(default)]
    pub max_exposure: Option<Share>,
    /// Calls over the mesh that it may get beside that part.
    #[serde(default)]
    pub exposure_slack: u32,
}

/// When a rollout must be finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum FinishTime {
    /// This long after approval.
    Within(Millis),
    /// At this point in time, counted from the Unix epoch.
    By(Millis),
}

/// Decision at the finish time when there is too little evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum LowTraffic {
    /// Move all traffic to the new version.
    Finish,
    /// Stay at the share reached and tell the operator.
    Stay,
}

/// Maps a set of requests to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RouteConfig {
    /// Service that answers.
    pub service: ServiceName,
    /// Path prefix, matched at segment boundaries; the longest matching prefix wins.
    pub prefix: String,
    /// Methods in upper case. Empty means all methods.
    pub methods: Vec<String>,
    /// Whether requests may be run more than once, whatever their method.
    pub idempotent: bool,
    /// Tenants that may use the route. Empty means all tenants.
    pub tenants: Vec<TenantName>,
    /// Longest time that a call may take, also if its caller would wait longer.
    pub timeout: Millis,
    /// Host, distribution, attempts and urgency.
    #[serde(default)]
    pub delivery: Delivery,
}

impl RouteConfig {
    /// Yields the services that requests of the route may go to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let sole_service = self.delivery.split.is_empty().then_some(&self.service);
        let split = self.delivery.split.iter();
        sole_service
            .into_iter()
            .chain(split.map(|part| &part.service))
    }
}

/// How the requests of a route are matched and delivered beyond its service and prefix. The
/// default leaves everything to the daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Delivery {
    /// Host that requests must name, in lower case. `None` matches every host.
    pub host: Option<String>,
    /// Services among which the requests are distributed by weight. Empty means that all go to the
    /// service of the route.
    pub split: Vec<WeightedService>,
    /// Endpoints that one request may be sent to at most. `None` leaves it to the daemon.
    pub max_attempts: Option<u32>,
    /// Time within which a response has its full value to the caller.
    pub target_latency: Option<Millis>,
    /// Rank among the routes that lead to the same service; 0 is the most urgent.
    pub priority: u32,
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightedService {
    /// Service that answers this part.
    pub service: ServiceName,
    /// Size of the part, relative to the sum of the weights.
    pub weight: u32,
}

/// The division of a service's traffic between versions, as proxies enforce it. The default has no
/// version, which no endpoint runs: the service has no known endpoint yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TrafficSplit {
    /// Version that receives the traffic that the candidate does not.
    pub stable: VersionName,
    /// New version under rollout, if any.
    pub candidate: Option<Candidate>,
    /// Versions that were taken back and receive nothing until they are approved again.
    pub blocked: Vec<VersionName>,
}

/// A version that is being rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Candidate {
    /// The new version.
    pub version: VersionName,
    /// Upper bound of its share of calls over the whole mesh.
    pub share: Share,
    /// Number of the rollout, unique in the mesh, so that late reports and grants are recognised.
    pub rollout: u64,
    /// Time from the start of the rollout to its finish time, in which faults are expected to show.
    /// The rule alone doesn't tell it, since it may name a point in time.
    pub window: Millis,
    /// What it may get before it is the stable version, if the rule limits that.
    #[serde(default)]
    pub limit: Option<ExposureLimit>,
}

/// Upper bound of the calls of a candidate, which every daemon keeps for its own calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExposureLimit {
    /// Part of the answered calls of the service since the rollout is known.
    pub share: Share,
    /// Calls beside that part, for each daemon.
    pub extra: u32,
    /// Part of the traffic that the candidate gets in its test under full load.
    #[serde(default)]
    pub test_share: Share,
    /// Time from then on after which the candidate gets nothing, so that it does not keep its calls
    /// when no leader ends the rollout.
    pub lasts: Millis,
}

/// A share in parts per million.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// Nothing.
    pub const NONE: Self = Self(0);
    /// The whole.
    pub const ALL: Self = Self(1_000_000);

    /// Returns the share that `percent` percent make.
    pub const fn percent(percent: u32) -> Self {
        Self(percent * 10_000)
    }

    /// Returns the share as a ratio between 0 and 1.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(Self::ALL.0)
    }
}
