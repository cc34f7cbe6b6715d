//! Validation of configurations and key holder groups before they enter the log and again when an
//! entry is applied.

use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use sycamoreflow_state::config::{MeshConfig, RouteConfig, ServiceConfig, Share};
use sycamoreflow_state::ids::{RouteName, ServiceName};
use sycamoreflow_state::view::KeyHolder;

use super::document::{Meaning, Replacement};

#[cfg(test)]
mod tests;

/// Maximum number of key holders of a service. Each record is stored on a majority of them.
const MAX_KEY_HOLDERS: usize = 3;

/// Maximum number of upserts of a change that is checked incrementally. Above it, the incremental
/// check costs more than the full one, because it compares every changed route with all others.
const MAX_INCREMENTAL_UPSERTS: usize = 16;

/// Returns the problems that make a proxy reject the configuration. The list is empty if it is
/// valid.
///
/// The check covers the references between resources and the invariants of
/// [`sycamoreflow_state::config`]. Its result decides the effect of a log entry, so replicas of
/// different releases must agree on it. Checks that may change between releases, such as those of
/// the configuration generator, run before a configuration is proposed and must not be added here.
pub fn check_config(config: &MeshConfig) -> Vec<String> {
    let mut problems = Vec::new();
    let mut holders = HashMap::new();
    for (name, tenant) in &config.tenants {
        if tenant.weight == 0 {
            problems.push(format!("tenant {name} has the weight 0"));
        }
        if tenant.quota.is_some_and(|quota| quota.rate_per_s == 0) {
            problems.push(format!(
                "tenant {name} has a quota of 0 requests per second"
            ));
        }
        // Upstreams receive the name of an account in a header.
        if !tenant.keys.is_empty() && name.as_str().contains(char::is_control) {
            problems.push(format!(
                "tenant {:?} has keys and a control character in its name",
                name.as_str()
            ));
        }
        for key in &tenant.keys {
            let holder = *holders.entry(key).or_insert(name);
            if holder != name {
                problems.push(format!("tenants {holder} and {name} have a key in common"));
            }
        }
    }
    for (name, service) in &config.services {
        check_service(config, name, service, &mut problems);
    }
    let is_service = |service: &ServiceName| config.services.contains_key(service);
    for (name, route) in &config.routes {
        check_route(config, name, route, is_service, &mut problems);
    }
    check_shadowing(config, &mut problems);
    problems
}

/// Applies a change to a valid configuration if the result is valid.
///
/// # Errors
///
/// Returns the problems of the result. `config` is then unchanged.
pub(super) fn apply_change(
    config: &mut MeshConfig,
    change: &Replacement,
) -> Result<(), Vec<String>> {
    if keeps_valid(config, change) {
        change.apply_to(config);
        return Ok(());
    }
    let mut changed = config.clone();
    change.apply_to(&mut changed);
    let problems = check_config(&changed);
    if !problems.is_empty() {
        return Err(problems);
    }
    *config = changed;
    Ok(())
}

/// Returns whether a change keeps a valid configuration valid, by a check of the changed parts
/// only. A restarted replica applies hundreds of changes before it can serve, and a full check of
/// each would cover all routes.
///
/// If it returns `false`, the result may still be valid, and only [`check_config`] decides.
fn keeps_valid(config: &MeshConfig, change: &Replacement) -> bool {
    // Other resources may refer to a service or a tenant.
    let removes_referent = |(_, meaning): &(String, Meaning)| {
        matches!(meaning, Meaning::Service(..) | Meaning::Tenant(..))
    };
    if change.removals.iter().any(removes_referent)
        || change.upserts.len() > MAX_INCREMENTAL_UPSERTS
    {
        return false;
    }
    let mut routes: IndexMap<&RouteName, Option<&RouteConfig>> = IndexMap::new();
    for (_, meaning) in &change.removals {
        if let Meaning::Route(name, _) = meaning {
            routes.insert(name, None);
        }
    }
    let mut services = BTreeSet::new();
    let mut problems = Vec::new();
    for part in change.upserts.values() {
        match &part.meaning {
            Meaning::Service(name, service) if service.callers.is_empty() => {
                check_service(config, name, service, &mut problems);
                services.insert(name);
            }
            Meaning::Service(..) => return false,
            Meaning::Route(name, route) => drop(routes.insert(name, Some(route))),
            // Keys of all tenants have to be compared.
            Meaning::Tenant(..) => return false,
            Meaning::Other => {}
        }
    }
    let is_service =
        |service: &ServiceName| config.services.contains_key(service) || services.contains(service);
    for (name, route) in &routes {
        let Some(route) = route else { continue };
        check_route(config, name, route, is_service, &mut problems);
        let unchanged = config
            .routes
            .iter()
            .filter(|(n, _)| !routes.contains_key(n));
        let changed = routes.iter().filter(|(n, _)| *n != name);
        let others = unchanged
            .map(|(_, other)| other)
            .chain(changed.filter_map(|(_, other)| *other));
        if has_duplicate_methods(route)
            || others.into_iter().any(|other| routes_overlap(route, other))
        {
            return false;
        }
    }
    problems.is_empty()
}

/// Returns whether some request matches both routes with the same host, prefix and method.
fn routes_overlap(a: &RouteConfig, b: &RouteConfig) -> bool {
    let same_host_and_prefix = a.prefix == b.prefix && a.delivery.host == b.delivery.host;
    let is_shared = |method: &String| b.methods.contains(method);
    same_host_and_prefix
        && (a.methods.is_empty() || b.methods.is_empty() || a.methods.iter().any(is_shared))
}

fn has_duplicate_methods(route: &RouteConfig) -> bool {
    let distinct: BTreeSet<&String> = route.methods.iter().collect();
    distinct.len() != route.methods.len()
}

fn check_service(
    config: &MeshConfig,
    name: &ServiceName,
    service: &ServiceConfig,
    problems: &mut Vec<String>,
) {
    for caller in &service.callers {
        if !config.services.contains_key(caller) {
            problems.push(format!("service {name} names the unknown caller {caller}"));
        }
    }
    let steps = &service.rollout.steps;
    let is_increasing = steps.windows(2).all(|pair| pair[0] < pair[1]);
    if !is_increasing || steps.last() != Some(&Share::ALL) {
        problems.push(format!(
            "the steps of service {name} do not rise to the whole"
        ));
    }
    if service.min_endpoints > Share::ALL {
        problems.push(format!("service {name} has a share above the whole"));
    }
}

fn check_route(
    config: &MeshConfig,
    name: &RouteName,
    route: &RouteConfig,
    is_service: impl Fn(&ServiceName) -> bool,
    problems: &mut Vec<String>,
) {
    for service in route.services() {
        if !is_service(service) {
            problems.push(format!(
                "route {name} leads to the unknown service {service}"
            ));
        }
    }
    let split = &route.delivery.split;
    if !split.is_empty() && split.iter().all(|part| part.weight == 0) {
        problems.push(format!("the weights of route {name} add up to 0"));
    }
    if route.delivery.max_attempts == Some(0) {
        problems.push(format!("route {name} allows no attempt"));
    }
    for tenant in &route.tenants {
        if !config.tenants.contains_key(tenant) {
            problems.push(format!("route {name} names the unknown tenant {tenant}"));
        }
    }
    if !route.prefix.starts_with('/') {
        problems.push(format!("the prefix of route {name} does not start with /"));
    }
}

fn check_shadowing(config: &MeshConfig, problems: &mut Vec<String>) {
    let mut seen = BTreeSet::new();
    let mut any_method = BTreeSet::new();
    let mut with_method = BTreeSet::new();
    for (name, route) in &config.routes {
        let host_and_prefix = (route.delivery.host.as_deref(), route.prefix.as_str());
        let shadowed = if route.methods.is_empty() {
            any_method.insert(host_and_prefix);
            !seen.insert((host_and_prefix, "")) || with_method.contains(&host_and_prefix)
        } else {
            with_method.insert(host_and_prefix);
            let mut methods = route.methods.iter();
            any_method.contains(&host_and_prefix)
                || methods.any(|m| !seen.insert((host_and_prefix, m.as_str())))
        };
        if shadowed {
            problems.push(format!("route {name} covers requests of another route"));
        }
    }
}

/// Returns the problems that make a group of key holders invalid.
pub(super) fn check_key_holders(daemons: &[KeyHolder]) -> Vec<String> {
    let distinct: BTreeSet<_> = daemons.iter().map(|holder| &holder.daemon).collect();
    let mut problems = Vec::new();
    if distinct.len() != daemons.len() {
        problems.push("a daemon is named twice".to_owned());
    }
    if daemons.is_empty() || daemons.len() > MAX_KEY_HOLDERS {
        problems.push(format!("a group has 1 to {MAX_KEY_HOLDERS} holders"));
    }
    problems
}
