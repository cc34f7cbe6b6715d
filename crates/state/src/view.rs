//! The view: the resources that a proxy enforces, at one version.
//!
//! A view changes only by applying a [`Delta`] as a whole. Invariants: both components of the
//! version only rise; the content passes [`View::verify`]; the digest is the sum of the hashes of
//! all entries. Every entry keeps its hash, so a change costs one hash per changed resource and
//! not one per resource of the mesh.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{MeshConfig, RouteConfig, ServiceConfig, TenantConfig, TrafficSplit};
use crate::endpoint::Endpoint;
use crate::ids::{DaemonId, RouteName, ServiceName, TenantName, ViewVersion};

mod delta;
mod digest;

#[cfg(test)]
mod tests;

pub use delta::{Delta, Rejection};
pub use digest::Digest;

/// Result of an operation that rejects a change as a whole.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Key of a resource.
///
/// The order places the configuration before the endpoints, so that checks of the configuration
/// need not walk the endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKey {
    /// A tenant.
    Tenant(TenantName),
    /// A service.
    Service(ServiceName),
    /// A route.
    Route(RouteName),
    /// The traffic split of a service.
    Traffic(ServiceName),
    /// The key holders of a service.
    KeyHolders(ServiceName),
    /// The endpoint of a service at a daemon.
    Endpoint(DaemonId, ServiceName),
}

impl ResourceKey {
    /// Returns the service that the resource belongs to. Tenants and routes belong to none.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Tenant(_) | Self::Route(_) => None,
            Self::Service(service)
            | Self::Traffic(service)
            | Self::KeyHolders(service)
            | Self::Endpoint(_, service) => Some(service),
        }
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
            Self::Endpoint(daemon, name) => write!(f, "endpoint of {name} at {daemon}"),
        }
    }
}

/// A resource that a proxy enforces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// A tenant.
    Tenant(TenantConfig),
    /// A service.
    Service(ServiceConfig),
    /// A route.
    Route(RouteConfig),
    /// The traffic split of a service.
    Traffic(TrafficSplit),
    /// The key holders of a service.
    KeyHolders(KeyHolders),
    /// An endpoint.
    Endpoint(Endpoint),
}

/// The daemons that hold the idempotency keys of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct KeyHolders {
    /// Number of the group. It rises by one with each replacement of a holder.
    pub epoch: u64,
    /// The holders, each daemon at most once.
    pub daemons: Vec<KeyHolder>,
}

/// A daemon that holds idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct KeyHolder {
    /// The daemon.
    pub daemon: DaemonId,
    /// Address of the daemon's link listener.
    pub address: std::net::SocketAddr,
}

/// The part of the mesh that a subscriber wants. Tenants and routes are always included.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Interest {
    /// Everything.
    All,
    /// The resources of these services.
    Services(BTreeSet<ServiceName>),
}

impl Interest {
    /// Returns whether the resources of `service` are wanted.
    pub fn includes_service(&self, service: &ServiceName) -> bool {
        match self {
            Self::All => true,
            Self::Services(services) => services.contains(service),
        }
    }

    /// Returns whether the resource `key` is wanted.
    pub fn includes(&self, key: &ResourceKey) -> bool {
        key.service()
            .is_none_or(|service| self.includes_service(service))
    }
}

/// A resource and its hash, kept so that removal and restriction need no hashing.
#[derive(Clone, Debug)]
struct Entry {
    resource: Arc<Resource>,
    hash: Digest,
}

/// The resources that a proxy holds, at one version.
///
/// A deserialized view has a digest of its own content and is not verified; a receiver calls
/// [`View::verify`] before it uses one, or applies [`Delta::full`] instead.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "ViewParts", from = "ViewParts")]
pub struct View {
    version: ViewVersion,
    interest: Interest,
    entries: BTreeMap<ResourceKey, Entry>,
    digest: Digest,
}

/// Serialized form of a [`View`]. The digest is computed again when a view is read.
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
    /// Makes an empty view at the lowest version.
    pub fn new(interest: Interest) -> Self {
        Self {
            version: ViewVersion::default(),
            interest,
            entries: BTreeMap::new(),
            digest: Digest::default(),
        }
    }

    /// Returns the version.
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// Sets the version. Only the owner of the state calls this; proxies apply deltas.
    pub fn set_version(&mut self, version: ViewVersion) {
        self.version = version;
    }

    /// Returns the interest that the view was made for.
    pub fn interest(&self) -> &Interest {
        &self.interest
    }

    /// Returns the digest of all resources.
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

    /// Returns the resource `key`.
    pub fn get(&self, key: &ResourceKey) -> Option<&Arc<Resource>> {
        self.entries.get(key).map(|entry| &entry.resource)
    }

    /// Returns all resources in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceKey, &Arc<Resource>)> {
        self.entries
            .iter()
            .map(|(key, entry)| (key, &entry.resource))
    }

    /// Adds or replaces a resource. Only the owner of the state calls this.
    pub fn insert(&mut self, key: ResourceKey, resource: Arc<Resource>) {
        let hash = Digest::of(&key, &resource);
        let old = self.entries.insert(key, Entry { resource, hash });
        self.digest = self.digest.plus(hash);
        if let Some(old) = old {
            self.digest = self.digest.minus(old.hash);
        }
    }

    /// Removes a resource and returns whether it existed. Only the owner of the state calls this.
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

    /// Returns the configuration of a tenant.
    pub fn tenant(&self, name: &TenantName) -> Option<&TenantConfig> {
        match self.get(&ResourceKey::Tenant(name.clone()))?.as_ref() {
            Resource::Tenant(tenant) => Some(tenant),
            _ => None,
        }
    }

    /// Returns all routes.
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

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.iter()
            .filter_map(|(_, resource)| match resource.as_ref() {
                Resource::Endpoint(endpoint) => Some(endpoint),
                _ => None,
            })
    }

    /// Returns the part of this view that `interest` wants, at the same version.
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

    /// Checks that no resource refers to one that a proxy with this interest lacks.
    ///
    /// A route to a service outside the interest is allowed: the proxy has no [`ServiceConfig`]
    /// for it and therefore refuses its requests as not run.
    pub fn verify(&self, interest: &Interest) -> std::result::Result<(), Violation> {
        for (key, resource) in self.iter() {
            verify_entry(key, resource, interest)?;
        }
        self.verify_references(interest)
    }

    /// Checks the references between resources. Endpoints refer to nothing, so they are skipped.
    fn verify_references(&self, interest: &Interest) -> std::result::Result<(), Violation> {
        for (key, resource) in self.iter() {
            match (key, resource.as_ref()) {
                (ResourceKey::Route(name), Resource::Route(route)) => {
                    self.verify_route(name, route, interest)?;
                }
                (ResourceKey::Service(name), _) => {
                    self.require_entry(key, ResourceKey::Traffic(name.clone()))?;
                }
                (ResourceKey::Traffic(_) | ResourceKey::Endpoint(..), _) => break,
                _ => {}
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

/// Returns the resources that a configuration consists of. Traffic splits, key holders and
/// endpoints are not part of it.
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

/// Checks that a key names the kind and the identity of its resource.
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
        | (ResourceKey::Traffic(_), Resource::Traffic(_)) => true,
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

/// A reason why the content of a view is not usable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A resource refers to one that is not there.
    Missing {
        /// The referring resource.
        from: ResourceKey,
        /// The resource that is not there.
        to: ResourceKey,
    },
    /// A key does not match its resource, or a group of key holders names a daemon twice.
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
