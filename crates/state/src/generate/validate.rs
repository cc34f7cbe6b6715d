//! Validation of a complete configuration.
//!
//! The checks run on generation and again at a control replica, which must not rely on the client
//! to have run them. Fields are identified by their paths in the answers.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Display;
use std::hash::Hash;

use super::{field_problem, names};
use crate::answers::{Problem, units};
use crate::config::{FinishTime, MeshConfig, RolloutRule, RouteConfig, ServiceConfig, Share};
use crate::ids::{Millis, RouteName, ServiceName};

/// Maximum weight of a tenant. It prevents sums of weights from overflowing.
const MAX_WEIGHT: u32 = 10_000;
/// Maximum number of steps of a rollout. Each step is a new version of the configuration.
const MAX_STEPS: usize = 32;
/// Maximum duration of a rollout until its finish time, and of its watch period.
const MAX_ROLLOUT_DURATION: Millis = Millis(30 * 86_400_000);
/// Maximum timeout of a route.
const MAX_TIMEOUT: Millis = Millis(3_600_000);
/// Maximum accepted probability of rolling back a good version.
const MAX_FALSE_ALARM: Share = Share::percent(20);
/// Maximum tolerated latency relative to the old version, in percent.
const MAX_SLOWDOWN_PERCENT: u32 = 10_000;

impl MeshConfig {
    /// Returns all problems of the configuration, without files and lines. `now` is the current
    /// time relative to the Unix epoch, which finish times are compared with.
    pub fn validate(&self, now: Millis) -> Vec<Problem> {
        let mut validator = Validator {
            cfg: self,
            now,
            problems: Vec::new(),
        };
        validator.check_tenants();
        for (name, service) in &self.services {
            validator.check_service(name, service);
        }
        for (name, route) in &self.routes {
            validator.check_route(name, route);
        }
        validator.check_ambiguous_routes();
        validator.problems
    }
}

/// Collects the problems of a configuration.
struct Validator<'a> {
    cfg: &'a MeshConfig,
    now: Millis,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn report(&mut self, field: String, message: impl Into<String>, help: &str) {
        self.problems
            .push(field_problem(field, message.into(), help));
    }

    /// Checks the tenants, and that there is at least one tenant and one service.
    fn check_tenants(&mut self) {
        if self.cfg.services.is_empty() {
            self.report(
                "services".into(),
                "there is none",
                "add at least one service",
            );
        }
        if self.cfg.tenants.is_empty() {
            self.report("tenants".into(), "there is none", "add at least one tenant");
        }
        for (name, tenant) in &self.cfg.tenants {
            let field = format!("tenants.{name}");
            self.problems
                .extend(names::check_name(&format!("{field}.name"), name.as_str()));
            if !(1..=MAX_WEIGHT).contains(&tenant.weight) {
                let message = format!("{} is not a weight", tenant.weight);
                self.report(format!("{field}.weight"), message, "use 1 to 10000");
            }
        }
    }

    fn check_service(&mut self, name: &ServiceName, service: &ServiceConfig) {
        let path = format!("services.{name}");
        let field = |key: &str| format!("{path}.{key}");
        self.problems
            .extend(names::check_name(&field("name"), name.as_str()));
        let version = service.version.as_str();
        self.problems
            .extend(names::check_version(&field("version"), version));
        self.check_distinct(&field("callers"), &service.callers);
        for caller in &service.callers {
            if !self.cfg.services.contains_key(caller) {
                let message = format!("there is no service {:?}", caller.as_str());
                self.report(
                    field("callers"),
                    message,
                    "add the service or remove the caller",
                );
            }
        }
        self.check_share_range(
            field("min-endpoints"),
            service.min_endpoints,
            Share::NONE,
            Share::ALL,
        );
        self.check_share_range(
            field("retry-budget"),
            service.retry_budget,
            Share::NONE,
            Share::ALL,
        );
        self.check_rollout(&field("rollout"), &service.rollout);
    }

    fn check_rollout(&mut self, path: &str, rule: &RolloutRule) {
        let field = |key: &str| format!("{path}.{key}");
        self.check_steps(field("steps"), &rule.steps);
        self.check_finish(path, rule.finish);
        self.check_duration(field("watch"), rule.watch, MAX_ROLLOUT_DURATION);
        let min = Share(1);
        let failures = rule.max_extra_failures;
        self.check_share_range(field("max-extra-failures"), failures, min, Share::ALL);
        self.check_share_range(field("false-alarm"), rule.false_alarm, min, MAX_FALSE_ALARM);
        if let Some(exposure) = rule.max_exposure {
            self.check_share_range(field("max-exposure"), exposure, min, Share::ALL);
        }
        if !(101..=MAX_SLOWDOWN_PERCENT).contains(&rule.max_slowdown_percent) {
            let message = match rule.max_slowdown_percent.checked_sub(100) {
                Some(slowdown) => format!("{slowdown} is not a usable slowdown"),
                None => "the new version would have to be faster".to_owned(),
            };
            self.report(field("max-slowdown"), message, "use 1 to 9900 percent");
        }
    }

    fn check_steps(&mut self, field: String, steps: &[Share]) {
        let help = "list rising percentages that end at 100, for example [1, 10, 100]";
        if steps.first().is_none_or(|first| *first == Share::NONE) {
            self.report(field.clone(), "the first share must be above zero", help);
        }
        if steps.windows(2).any(|pair| pair[0] >= pair[1]) {
            self.report(field.clone(), "the shares must rise", help);
        }
        if steps.last().is_some_and(|last| *last != Share::ALL) {
            self.report(field.clone(), "the last share must be 100", help);
        }
        if steps.len() > MAX_STEPS {
            self.report(field, "there are too many shares", "use at most 32");
        }
    }

    fn check_finish(&mut self, path: &str, finish: FinishTime) {
        match finish {
            FinishTime::Within(duration) => {
                self.check_duration(
                    format!("{path}.finish-within"),
                    duration,
                    MAX_ROLLOUT_DURATION,
                );
            }
            FinishTime::By(time) if time <= self.now => {
                let message = format!("{} is in the past", units::format_time(time));
                let help = "use a later time, or finish-within";
                self.report(format!("{path}.finish-by"), message, help);
            }
            FinishTime::By(time) if time > self.now.after(MAX_ROLLOUT_DURATION) => {
                let message = format!("{} is too far away", units::format_time(time));
                self.report(format!("{path}.finish-by"), message, "use at most 30 days");
            }
            FinishTime::By(_) => {}
        }
    }

    fn check_route(&mut self, name: &RouteName, route: &RouteConfig) {
        let path = format!("routes.{name}");
        let field = |key: &str| format!("{path}.{key}");
        self.problems
            .extend(names::check_name(&field("name"), name.as_str()));
        if !self.cfg.services.contains_key(&route.service) {
            let message = format!("there is no service {:?}", route.service.as_str());
            self.report(
                field("service"),
                message,
                "add the service or name another one",
            );
        }
        self.problems
            .extend(names::check_prefix(&field("prefix"), &route.prefix));
        self.check_distinct(&field("methods"), &route.methods);
        for method in &route.methods {
            if names::is_forwardable_method(method) {
                continue;
            }
            let message = format!("{method:?} is not a method that can be forwarded");
            self.report(
                field("methods"),
                message,
                "write methods in upper case, such as GET",
            );
        }
        self.check_distinct(&field("tenants"), &route.tenants);
        for tenant in &route.tenants {
            if self.cfg.tenants.contains_key(tenant) {
                continue;
            }
            let message = format!("there is no tenant {:?}", tenant.as_str());
            self.report(
                field("tenants"),
                message,
                "add the tenant or remove it here",
            );
        }
        self.check_duration(field("timeout"), route.timeout, MAX_TIMEOUT);
    }

    /// Reports routes with the same prefix and a common method. A request could match both, and
    /// there is no rule to choose one.
    fn check_ambiguous_routes(&mut self) {
        let mut by_prefix: BTreeMap<&str, Vec<(&RouteName, &RouteConfig)>> = BTreeMap::new();
        for (name, route) in &self.cfg.routes {
            let others = by_prefix.entry(&route.prefix).or_default();
            let conflicting = others
                .iter()
                .find(|(_, other)| have_common_method(route, other));
            if let Some((other, _)) = conflicting {
                let message = format!("route {other} has the same prefix and a common method");
                let help = "change the prefix, divide the methods, or remove one of the routes";
                self.problems.push(field_problem(
                    format!("routes.{name}.prefix"),
                    message,
                    help,
                ));
            }
            others.push((name, route));
        }
    }

    fn check_distinct<T: Display + Eq + Hash>(&mut self, field: &str, items: &[T]) {
        let mut seen = HashSet::with_capacity(items.len());
        for item in items {
            if seen.insert(item) {
                continue;
            }
            let message = format!("{:?} is given twice", item.to_string());
            self.report(field.to_owned(), message, "remove one of them");
        }
    }

    fn check_share_range(&mut self, field: String, share: Share, min: Share, max: Share) {
        if (min..=max).contains(&share) {
            return;
        }
        let message = format!("{} is out of range", units::format_percent(share));
        let bound = if min == Share::NONE { "0" } else { "above 0" };
        let help = format!("use {bound} to {} percent", max.0 / 10_000);
        self.report(field, message, &help);
    }

    fn check_duration(&mut self, field: String, duration: Millis, max: Millis) {
        if (1..=max.0).contains(&duration.0) {
            return;
        }
        let message = format!("{} is out of range", units::format_duration(duration));
        let help = format!(
            "use more than zero and at most {}",
            units::format_duration(max)
        );
        self.report(field, message, &help);
    }
}

/// Returns whether the routes accept a common method. An empty list accepts all methods.
fn have_common_method(first: &RouteConfig, other: &RouteConfig) -> bool {
    first.methods.is_empty()
        || other.methods.is_empty()
        || first
            .methods
            .iter()
            .any(|method| other.methods.contains(method))
}
