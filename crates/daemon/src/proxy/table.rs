//! Matching of requests to routes.

use std::collections::HashMap;

use sycamoreflow_state::config::RouteConfig;
use sycamoreflow_state::ids::RouteName;
use sycamoreflow_state::view::View;

#[cfg(test)]
mod tests;

/// The routes of a view, indexed by host and path prefix.
///
/// A lookup tries the prefixes of the path from the longest to the shortest, one path segment at a
/// time, so its cost does not depend on the number of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    any_host: RoutesByPrefix,
    by_host: HashMap<String, RoutesByPrefix>,
}

/// Routes by path prefix without trailing slashes.
type RoutesByPrefix = HashMap<String, Vec<Route>>;

/// A route with its name.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Configuration of the route.
    pub config: RouteConfig,
}

impl RouteTable {
    /// Builds the table of a view.
    pub fn new(view: &View) -> Self {
        let mut table = Self::default();
        for (name, config) in view.routes() {
            let prefix = config.prefix.trim_end_matches('/').to_owned();
            let route = Route {
                name: name.clone(),
                config: config.clone(),
            };
            let by_prefix = match &config.delivery.host {
                Some(host) => table.by_host.entry(host.clone()).or_default(),
                None => &mut table.any_host,
            };
            by_prefix.entry(prefix).or_default().push(route);
        }
        table
    }

    /// Returns the route with the longest prefix of `path` that allows `method`, among the routes
    /// without a host.
    pub fn find(&self, method: &str, path: &str) -> Option<&Route> {
        find_prefix(&self.any_host, method, path)
    }

    /// Returns the route with the longest prefix of `path` that allows `method`, among the routes
    /// of `host`. If none matches, returns the result of [`RouteTable::find`].
    pub fn find_for_host(&self, host: &str, method: &str, path: &str) -> Option<&Route> {
        let of_host = self.by_host.get(host);
        let found = of_host.and_then(|by_prefix| find_prefix(by_prefix, method, path));
        found.or_else(|| self.find(method, path))
    }
}

fn find_prefix<'a>(by_prefix: &'a RoutesByPrefix, method: &str, path: &str) -> Option<&'a Route> {
    let mut prefix = path.trim_end_matches('/');
    loop {
        let routes = by_prefix.get(prefix).into_iter().flatten();
        for route in routes {
            // The prefix of a route with a host must match exactly, including a trailing slash.
            let of_host = route.config.delivery.host.is_some();
            if of_host && !path.starts_with(&route.config.prefix) {
                continue;
            }
            let methods = &route.config.methods;
            if methods.is_empty() || methods.iter().any(|m| m == method) {
                return Some(route);
            }
        }
        let end = prefix.rfind('/')?;
        prefix = &prefix[..end];
    }
}
