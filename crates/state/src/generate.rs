//! Generation of the mesh configuration from the answers.
//!
//! Generation is deterministic: the result depends only on the answers, so equal answers yield
//! equal bytes. The current time is used for checks and is never part of the result.

use std::fmt::Display;

use indexmap::IndexMap;

use crate::answers::{Answers, Problem};
use crate::config::MeshConfig;
use crate::ids::Millis;

pub mod names;
mod validate;

#[cfg(test)]
mod tests;

/// Generates the configuration, or returns all problems, sorted by line.
///
/// `now` is the current time relative to the Unix epoch.
pub fn generate(answers: &Answers, now: Millis) -> Result<MeshConfig, Vec<Problem>> {
    let mut problems = Vec::new();
    if let Some(problem) = names::check_name("mesh", &answers.mesh) {
        problems.push(problem);
    }
    let mut cfg = MeshConfig {
        tenants: index_by_name("tenants", &answers.tenants, &mut problems),
        services: index_by_name("services", &answers.services, &mut problems),
        routes: index_by_name("routes", &answers.routes, &mut problems),
    };
    normalise(&mut cfg);
    problems.extend(cfg.validate(now));
    if problems.is_empty() {
        return Ok(cfg);
    }
    for problem in &mut problems {
        problem.file = answers.file().to_owned();
        problem.line = answers.line(&problem.field);
    }
    problems.sort_by_key(|problem| problem.line);
    Err(problems)
}

/// Sorts the lists whose order has no meaning, so that their order does not affect the result.
fn normalise(cfg: &mut MeshConfig) {
    for service in cfg.services.values_mut() {
        service.callers.sort();
    }
    for route in cfg.routes.values_mut() {
        route.methods.sort();
        route.tenants.sort();
    }
}

/// Collects the entries of a section by name, and reports every name that occurs again.
fn index_by_name<N, T>(
    section: &str,
    items: &[(N, T)],
    problems: &mut Vec<Problem>,
) -> IndexMap<N, T>
where
    N: Clone + Display + Eq + std::hash::Hash,
    T: Clone,
{
    let mut map = IndexMap::with_capacity(items.len());
    for (index, (name, item)) in items.iter().enumerate() {
        if map.contains_key(name) {
            problems.push(field_problem(
                format!("{section}[{index}].name"),
                format!("{name:?} is given twice", name = name.to_string()),
                "give every entry a name of its own",
            ));
            continue;
        }
        map.insert(name.clone(), item.clone());
    }
    map
}

impl MeshConfig {
    /// Returns the canonical encoding: compact JSON, with entries in the order of the
    /// configuration.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration consists of types that JSON can encode")
    }
}

/// Creates a problem without a file and line.
fn field_problem(field: String, message: String, help: &str) -> Problem {
    Problem {
        file: String::new(),
        line: None,
        field,
        message,
        help: help.to_owned(),
    }
}
