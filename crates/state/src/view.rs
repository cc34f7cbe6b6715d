//! The view: the resources that a proxy enforces, at one version.
//!
//! A proxy changes its view only by applying a whole [`Delta`]. Invariants: neither component of
//! the version ever decreases; the content passes [`View::verify`]; the digest is the sum of the
//! hashes of all entries. Each entry stores its hash, so an update hashes only the changed
//! resources instead of every resource of the mesh.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{MeshConfig, RouteConfig, ServiceConfig, TenantConfig, TrafficSplit};
use crate::endpoint::{Departure, Endpoint};
use crate::ids::{
    ConfigVersion, DaemonId, DataCentre, RouteName, ServiceName, TenantName, ViewVersion,
};

mod delta;
mod digest;

#[cfg(test)]
mod tests;

pub use delta::{Delta, Rejection};
pub use digest::Digest;

/// Result of an operation that either applies a whole delta or rejects it and changes nothing.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Key of a resource.
///
/// Keys of the configuration sort before those of traffic splits, key holders, evacuations,
/// endpoints and departures, so checks of the configuration stop before they reach the endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKey {
    /// Configuration of the tenant with this name.
    Tenant(TenantName),
    /// Configuration of the service with this name.
    Service(ServiceName),
    /// Configuration of the route with this name.
    Route(RouteName),
    /// Traffic split of the service with this name.
    Traffic(ServiceName),
    /// Key holders of the service with this name.
    KeyHolders(ServiceName),
    /// Evacuation of the data centre with this name. It belongs to no service, so every subscriber
    /// receives it.
    Evacuation(DataCentre),
    /// Endpoint of the service at the daemon; a daemon has at most one per service.
    Endpoint(DaemonId, ServiceName),
    /// Departures at the daemon. They belong to no service, so every subscriber receives them.
    Departures(DaemonId),
}

impl ResourceKey {
    /// Returns the service that the resource belongs to, or `None` for tenants, routes,
    /// evacuations and departures.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Tenant(_) | Self::Route(_) | Self::Evacuation(_) | Self::Departures(_) => None,
            Self::Service(service)
            | Self::Traffic(service)
            | Self::KeyHolders(service)
            | Self::Endpoint(_, service) => Some(service),
        }
    }
}

impl ResourceKey {
    /// Returns whether a change of the resource changes the version of the endpoint table rather than
    /// that of the configuration. No other resource refers to it.
    pub fn has_endpoint_version(&self) -> bool {
        matches!(self, Self::Endpoint(..) | Self::Departures(_))
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tenant(name) => write!(f, "tenant {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Traffic(name) => write!(f, "traffic split of {name}"),
            Self::KeyHolders(name) => write!(f, "key holders of {name}"),
            Self::Evacuation(name) => write!(f, "evacuation of {name}"),
            Self::Endpoint(daemon, name) => write!(f, "endpoint of {name} at {daemon}"),
            Self::Departures(daemon) => write!(f, "departures at {daemon}"),
        }
    }
}

/// A resource that a proxy enforces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// Configuration of a tenant.
    Tenant(TenantConfig),
    /// Configuration of a service and of its rollouts.
    Service(ServiceConfig),
    /// Configuration of a route.
    Route(RouteConfig),
    /// Distribution of a service's traffic among its versions.
    Traffic(TrafficSplit),
    /// Daemons that store the idempotency keys of a service.
    KeyHolders(KeyHolders),
    /// An order that the endpoints of a data centre get no requests.
    Evacuation(Evacuation),
    /// An upstream that other daemons can send requests to.
    Endpoint(Endpoint),
    /// Instances of upstreams that have left a daemon, for a limited time.
    Departures(Vec<Departure>),
}

/// The group of daemons that stores the idempotency keys of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct KeyHolders {
    /// Epoch of the group, incremented whenever a holder is replaced.
    pub epoch: u64,
    /// The members of the group. A daemon occurs at most once.
    pub daemons: Vec<KeyHolder>,
}

/// A member of a group of [`KeyHolders`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct KeyHolder {
    /// Identifier of the daemon.
    pub daemon: DaemonId,
    /// Address of the daemon's link listener.
    pub address: std::net::SocketAddr,
}

/// An evacuation in force: no request is sent to the endpoints of the data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Evacuation {
    /// Version at which it came into force.
    pub since: ConfigVersion,
}

/// The part of the mesh that a subscriber receives. Tenants, routes, evacuations and departures are
/// always included.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Interest {
    /// All resources of the mesh.
    All,
    /// The resources of these services, and all tenants and routes.
    Services(BTreeSet<ServiceName>),
}

impl Interest {
    /// Returns whether the resources of `service` are included.
    pub fn includes_service(&self, service: &ServiceName) -> bool {
        match self {
            Self::All => true,
            Self::Services(services) => services.contains(service),
        }
    }

    /// Returns whether the resource with this key is included.
    pub fn includes(&self, key: &ResourceKey) -> bool {
        key.service()
            .is_none_or(|service| self.includes_service(service))
    }
}

/// A resource and its hash, which is stored so that removal and [`View::restrict`] need no hashing.
#[derive(Clone, Debug)]
struct Entry {
    resource: Arc<Resource>,
    hash: Digest,
}

/// The resources that a proxy holds, at one version.
///
/// Deserialization computes the digest from the content and verifies nothing. A receiver must call
/// [`View::verify`] before it uses the view, or apply a [`Delta::full`] instead.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "ViewParts", from = "ViewParts")]
pub struct View {
    version: ViewVersion,
    interest: Interest,
    entries: BTreeMap<ResourceKey, Entry>,
    digest: Digest,
}

/// Serialized form of a [`View`]. The digest is left out and recomputed on deserialization.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct ViewParts {
    version: ViewVersion,
    interest: Interest,
    resources: Vec<(ResourceKey, Arc<Resource>)>,
}

impl From<View> for ViewParts {
    fn from(view: View) -> Self {
        Self {
            version: view.version,
            interest: view.interest,
            resources: view
                .entries
                .into_iter()
                .map(|(key, entry)| (key, entry.resource))
                .collect(),
        }
    }
}

impl From<ViewParts> for View {
    fn from(parts: ViewParts) -> Self {
        let mut view = Self::new(parts.interest);
        view.version = parts.version;
        for (key, resource) in parts.resources {
            view.insert(key, resource);
        }
        view
    }
}

impl PartialEq for View {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version
            && self.interest == other.interest
            && self.digest == other.digest
            && self.entries.len() == other.entries.len()
            && self.iter().eq(other.iter())
    }
}

impl View {
    /// Creates an empty view at the lowest version.
    pub fn new(interest: Interest) -> Self {
        Self {
            version: ViewVersion::default(),
            interest,
            entries: BTreeMap::new(),
            digest: Digest::default(),
        }
    }

    /// Returns the version of the configuration and of the endpoint table.
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// Sets the version. For control replicas, which own the state; proxies apply deltas.
    pub fn set_version(&mut self, version: ViewVersion) {
        self.version = version;
    }

    /// Returns the interest that the content of the view is limited to.
    pub fn interest(&self) -> &Interest {
        &self.interest
    }

    /// Returns the digest over all resources.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the view has no resources.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the resource with this key, if the view has one.
    pub fn get(&self, key: &ResourceKey) -> Option<&Arc<Resource>> {
        self.entries.get(key).map(|entry| &entry.resource)
    }

    /// Returns all resources in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceKey, &Arc<Resource>)> {
        self.entries
            .iter()
            .map(|(key, entry)| (key, &entry.resource))
    }

    /// Adds or replaces a resource. For control replicas only; proxies apply deltas.
    pub fn insert(&mut self, key: ResourceKey, resource: Arc<Resource>) {
        let hash = Digest::of(&key, &resource);
        let old = self.entries.insert(key, Entry { resource, hash });
        self.digest = self.digest.plus(hash);
        if let Some(old) = old {
            self.digest = self.digest.minus(old.hash);
        }
    }

    /// Removes a resource and returns whether it existed. For control replicas only.
    pub fn remove(&mut self, key: &ResourceKey) -> bool {
        let Some(old) = self.entries.remove(key) else {
            return false;
        };
        self.digest = self.digest.minus(old.hash);
        true
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        match self.get(&ResourceKey::Service(name.clone()))?.as_ref() {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns the traffic split of a service.
    pub fn traffic(&self, name: &ServiceName) -> Option<&TrafficSplit> {
        match self.get(&ResourceKey::Traffic(name.clone()))?.as_ref() {
            Resource::Traffic(traffic) => Some(traffic),
            _ => None,
        }
    }

    /// Returns the key holders of a service.
    pub fn key_holders(&self, name: &ServiceName) -> Option<&KeyHolders> {
        match self.get(&ResourceKey::KeyHolders(name.clone()))?.as_ref() {
            Resource::KeyHolders(holders) => Some(holders),
            _ => None,
        }
    }

    /// Returns the data centres that are evacuated, with their evacuations.
    pub fn evacuations(&self) -> impl Iterator<Item = (&DataCentre, &Evacuation)> {
        let first = ResourceKey::Evacuation(DataCentre::default());
        let entries = self.entries.range(first..);
        entries.map_while(|(key, entry)| match (key, entry.resource.as_ref()) {
            (ResourceKey::Evacuation(name), Resource::Evacuation(evacuation)) => {
                Some((name, evacuation))
            }
            _ => None,
        })
    }

    /// Returns whether a data centre is evacuated, so that its endpoints get no requests.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.get(&ResourceKey::Evacuation(data_centre.clone()))
            .is_some()
    }

    /// Returns the departures at all daemons.
    pub fn departures(&self) -> impl Iterator<Item = (&DaemonId, &[Departure])> {
        let entries = self.entries.iter().rev();
        entries.map_while(|(key, entry)| match (key, entry.resource.as_ref()) {
            (ResourceKey::Departures(daemon), Resource::Departures(departures)) => {
                Some((daemon, departures.as_slice()))
            }
            _ => None,
        })
    }

    /// Returns the configuration of a tenant.
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantConfig> {
        match self.get(&ResourceKey::Tenant(name.clone()))?.as_ref() {
            Resource::Tenant(tenant) => Some(tenant),
            _ => None,
        }
    }

    /// Returns all routes with their names.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, &RouteConfig)> {
        self.iter().filter_map(|entry| match entry {
            (ResourceKey::Route(name), resource) => match resource.as_ref() {
                Resource::Route(route) => Some((name, route)),
                _ => None,
            },
            _ => None,
        })
    }

    /// Returns all tenants with their names.
    pub fn tenants(&self) -> impl Iterator<Item = (&TenantName, &TenantConfig)> {
        self.iter().filter_map(|entry| match entry {
            (ResourceKey::Tenant(name), resource) => match resource.as_ref() {
                Resource::Tenant(tenant) => Some((name, tenant)),
                _ => None,
            },
            _ => None,
        })
    }

    /// Returns all services with their names.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceConfig)> {
        self.iter().filter_map(|entry| match entry {
            (ResourceKey::Service(name), resource) => match resource.as_ref() {
                Resource::Service(service) => Some((name, service)),
                _ => None,
            },
            _ => None,
        })
    }

    /// Returns all endpoints, ordered by daemon and then by service.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.iter()
            .filter_map(|(_, resource)| match resource.as_ref() {
                Resource::Endpoint(endpoint) => Some(endpoint),
                _ => None,
            })
    }

    /// Returns the resources of this view that `interest` includes, at the same version.
    pub fn restrict(&self, interest: &Interest) -> Self {
        let mut view = Self::new(interest.clone());
        view.version = self.version;
        for (key, entry) in &self.entries {
            if !interest.includes(key) {
                continue;
            }
            view.digest = view.digest.plus(entry.hash);
            view.entries.insert(key.clone(), entry.clone());
        }
        view
    }

    /// Checks that every key matches its resource, that all resources belong to the interest, and
    /// that no resource refers to one that a proxy with this interest lacks.
    ///
    /// A route to a service outside the interest is allowed: the proxy has no [`ServiceConfig`]
    /// for it and therefore refuses its requests with the verdict "not run".
    pub fn verify(&self, interest: &Interest) -> std::result::Result<(), Violation> {
        for (key, resource) in self.iter() {
            verify_entry(key, resource, interest)?;
        }
        self.verify_references(interest)
    }

    /// Checks the references between resources. Only routes and services contain references, so the
    /// iteration ends at the first key that sorts after them.
    fn verify_references(&self, interest: &Interest) -> std::result::Result<(), Violation> {
        for (key, resource) in self.iter() {
            match (key, resource.as_ref()) {
                (ResourceKey::Route(name), Resource::Route(route)) => {
                    self.verify_route(name, route, interest)?;
                }
                (ResourceKey::Service(name), _) => {
                    self.require_entry(key, ResourceKey::Traffic(name.clone()))?;
                }
                (ResourceKey::Tenant(_) | ResourceKey::Route(_), _) => {}
                _ => break,
            }
        }
        Ok(())
    }

    fn verify_route(
        &self,
        name: &RouteName,
        route: &RouteConfig,
        interest: &Interest,
    ) -> std::result::Result<(), Violation> {
        let key = ResourceKey::Route(name.clone());
        for service in route.services() {
            if interest.includes_service(service) {
                self.require_entry(&key, ResourceKey::Service(service.clone()))?;
            }
        }
        for tenant in &route.tenants {
            self.require_entry(&key, ResourceKey::Tenant(tenant.clone()))?;
        }
        Ok(())
    }

    fn require_entry(
        &self,
        from: &ResourceKey,
        to: ResourceKey,
    ) -> std::result::Result<(), Violation> {
        if self.entries.contains_key(&to) {
            return Ok(());
        }
        Err(Violation::Missing {
            from: from.clone(),
            to,
        })
    }
}

/// Returns the tenants, services and routes of a configuration as resources. Traffic splits, key
/// holders and endpoints are not part of a configuration.
pub fn config_resources(cfg: &MeshConfig) -> impl Iterator<Item = (ResourceKey, Resource)> {
    let tenants = cfg.tenants.iter().map(|(name, tenant)| {
        (
            ResourceKey::Tenant(name.clone()),
            Resource::Tenant(tenant.clone()),
        )
    });
    let services = cfg.services.iter().map(|(name, service)| {
        (
            ResourceKey::Service(name.clone()),
            Resource::Service(service.clone()),
        )
    });
    let routes = cfg.routes.iter().map(|(name, route)| {
        (
            ResourceKey::Route(name.clone()),
            Resource::Route(route.clone()),
        )
    });
    tenants.chain(services).chain(routes)
}

/// Checks that a resource belongs to the interest and matches the kind and identity in its key.
fn verify_entry(
    key: &ResourceKey,
    resource: &Resource,
    interest: &Interest,
) -> std::result::Result<(), Violation> {
    if !interest.includes(key) {
        return Err(Violation::OutsideInterest(key.clone()));
    }
    let matches = match (key, resource) {
        (ResourceKey::Tenant(_), Resource::Tenant(_))
        | (ResourceKey::Service(_), Resource::Service(_))
        | (ResourceKey::Route(_), Resource::Route(_))
        | (ResourceKey::Traffic(_), Resource::Traffic(_))
        | (ResourceKey::Evacuation(_), Resource::Evacuation(_))
        | (ResourceKey::Departures(_), Resource::Departures(_)) => true,
        (ResourceKey::KeyHolders(_), Resource::KeyHolders(holders)) => {
            let distinct: BTreeSet<_> = holders.daemons.iter().map(|h| &h.daemon).collect();
            distinct.len() == holders.daemons.len()
        }
        (ResourceKey::Endpoint(daemon, service), Resource::Endpoint(endpoint)) => {
            *daemon == endpoint.daemon && *service == endpoint.service
        }
        _ => false,
    };
    if matches {
        return Ok(());
    }
    Err(Violation::KeyMismatch(key.clone()))
}

/// A violated invariant of the content of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A resource refers to one that is missing.
    Missing {
        /// The referring resource.
        from: ResourceKey,
        /// The missing resource.
        to: ResourceKey,
    },
    /// A key does not match its resource, or a group of key holders contains a daemon twice.
    KeyMismatch(ResourceKey),
    /// A resource is not part of the interest.
    OutsideInterest(ResourceKey),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { from, to } => write!(f, "{from} needs {to}, which is missing"),
            Self::KeyMismatch(key) => write!(f, "{key} does not match its content"),
            Self::OutsideInterest(key) => write!(f, "{key} is outside the interest"),
        }
    }
}

impl std::error::Error for Violation {}
