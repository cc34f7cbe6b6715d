//! Matches requests to routes.

use std::collections::HashMap;

use sycamoreflow_state::config::RouteConfig;
use sycamoreflow_state::ids::RouteName;
use sycamoreflow_state::view::View;

#[cfg(test)]
mod tests;

/// The routes of a view, by prefix.
///
/// A lookup walks the segments of the path from the longest prefix to the shortest, so its cost
/// does not depend on the number of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<String, Vec<Route>>,
}

/// A route and its name.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Its configuration.
    pub config: RouteConfig,
}

impl RouteTable {
    /// Makes the table of a view.
    pub fn new(view: &View) -> Self {
        let mut by_prefix: HashMap<String, Vec<Route>> = HashMap::new();
        for (name, config) in view.routes() {
            let prefix = config.prefix.trim_end_matches('/').to_owned();
            let route = Route {
                name: name.clone(),
                config: config.clone(),
            };
            by_prefix.entry(prefix).or_default().push(route);
        }
        Self { by_prefix }
    }

    /// Returns the route with the longest prefix of `path` that allows `method`.
    pub fn find(&self, method: &str, path: &str) -> Option<&Route> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            let routes = self.by_prefix.get(prefix).into_iter().flatten();
            for route in routes {
                let methods = &route.config.methods;
                if methods.is_empty() || methods.iter().any(|m| m == method) {
                    return Some(route);
                }
            }
            let end = prefix.rfind('/')?;
            prefix = &prefix[..end];
        }
    }
}
