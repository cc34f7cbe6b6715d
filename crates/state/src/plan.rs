//! Differences between two configurations, for review by an operator before an approval.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::answers::units;
use crate::config::{
    FinishTime, LowTraffic, MeshConfig, RolloutRule, RouteConfig, ServiceConfig, Share,
    TenantConfig,
};
use crate::view::ResourceKey;

#[cfg(test)]
mod tests;

/// A change of one tenant, service or route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Change {
    /// Whether the subject is added, changed or removed.
    pub action: Action,
    /// Key of the tenant, service or route.
    pub subject: ResourceKey,
    /// The fields that differ: all fields of an added subject, none of a removed one.
    pub fields: Vec<FieldChange>,
}

/// What happens to a tenant, service or route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// It is only in the new configuration.
    Add,
    /// It is in both configurations, with different fields.
    Change,
    /// It is only in the old configuration.
    Remove,
}

/// A changed field, with its key and its values written as in the answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FieldChange {
    /// Key of the field, for example `rollout.steps`.
    pub field: String,
    /// Value in the old configuration, or `None` if the subject is added.
    pub from: Option<String>,
    /// Value in the new configuration.
    pub to: String,
}

impl Change {
    /// Returns whether approving the change starts a rollout, which a changed version of an
    /// existing service does.
    pub fn starts_rollout(&self) -> bool {
        self.action == Action::Change
            && matches!(self.subject, ResourceKey::Service(_))
            && self
                .fields
                .iter()
                .any(|change| change.field == VERSION_FIELD)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Add => '+',
            Action::Change => '~',
            Action::Remove => '-',
        };
        write!(f, "{sign} {}", self.subject)?;
        for change in &self.fields {
            write!(f, "\n    {}: ", change.field)?;
            if let Some(from) = &change.from {
                write!(f, "{from} -> ")?;
            }
            f.write_str(&change.to)?;
        }
        if self.starts_rollout() {
            f.write_str("\n    starts a rollout")?;
        }
        Ok(())
    }
}

/// Returns the changes from `old` to `new`.
///
/// Additions and changes come first, in the order tenants, services, routes, so that a subject is
/// added before what refers to it. Removals come last, in the reverse order. A different order of
/// entries is not a change.
pub fn diff(old: &MeshConfig, new: &MeshConfig) -> Vec<Change> {
    let old = fields_by_subject(old);
    let new = fields_by_subject(new);
    let mut changes = Vec::new();
    for (subject, fields) in &new {
        changes.extend(diff_subject(subject, old.get(subject), fields));
    }
    for subject in old.keys().rev() {
        if new.contains_key(subject) {
            continue;
        }
        changes.push(Change {
            action: Action::Remove,
            subject: subject.clone(),
            fields: Vec::new(),
        });
    }
    changes
}

/// Key of the field whose change starts a rollout.
const VERSION_FIELD: &str = "version";

/// Keys and formatted values of the fields of a tenant, service or route.
type Fields = Vec<(&'static str, String)>;

/// Returns the fields of all subjects, in the order tenants, services, routes.
fn fields_by_subject(cfg: &MeshConfig) -> IndexMap<ResourceKey, Fields> {
    let tenants = cfg
        .tenants
        .iter()
        .map(|(name, tenant)| (ResourceKey::Tenant(name.clone()), tenant_fields(tenant)));
    let services = cfg
        .services
        .iter()
        .map(|(name, service)| (ResourceKey::Service(name.clone()), service_fields(service)));
    let routes = cfg
        .routes
        .iter()
        .map(|(name, route)| (ResourceKey::Route(name.clone()), route_fields(route)));
    tenants.chain(services).chain(routes).collect()
}

fn diff_subject(subject: &ResourceKey, old: Option<&Fields>, new: &Fields) -> Option<Change> {
    let mut fields = Vec::new();
    for (index, (field, to)) in new.iter().enumerate() {
        let from = old.map(|old| &old[index].1);
        if from == Some(to) {
            continue;
        }
        fields.push(FieldChange {
            field: (*field).to_owned(),
            from: from.cloned(),
            to: to.clone(),
        });
    }
    let action = match old {
        None => Action::Add,
        Some(_) if fields.is_empty() => return None,
        Some(_) => Action::Change,
    };
    Some(Change {
        action,
        subject: subject.clone(),
        fields,
    })
}

fn tenant_fields(tenant: &TenantConfig) -> Fields {
    // Answers define no accounts, so plans never show keys or quotas.
    let TenantConfig {
        weight,
        priority: _,
        keys: _,
        quota: _,
    } = tenant;
    vec![("weight", weight.to_string())]
}

fn service_fields(service: &ServiceConfig) -> Fields {
    // The patterns list every field, so that a new field can't be left out of plans by mistake.
    let ServiceConfig {
        version,
        callers,
        rollout,
        min_endpoints,
        retry_budget,
        // Answers can't set it.
        cold_start: _,
    } = service;
    let RolloutRule {
        steps,
        finish,
        watch,
        max_extra_failures,
        max_slowdown_percent,
        false_alarm,
        low_traffic,
        max_exposure,
        exposure_slack,
    } = rollout;
    let finish = match *finish {
        FinishTime::Within(duration) => format!("within {}", units::format_duration(duration)),
        FinishTime::By(time) => format!("by {}", units::format_time(time)),
    };
    let low_traffic = match low_traffic {
        LowTraffic::Finish => "finish",
        LowTraffic::Stay => "stay",
    };
    let percent = |share: &Share| units::format_percent(*share);
    vec![
        (VERSION_FIELD, version.to_string()),
        ("callers", join_or(callers, "none")),
        ("min-endpoints", percent(min_endpoints)),
        ("retry-budget", percent(retry_budget)),
        ("rollout.steps", join_or(steps.iter().map(percent), "none")),
        ("rollout.finish", finish),
        ("rollout.watch", units::format_duration(*watch)),
        ("rollout.max-extra-failures", percent(max_extra_failures)),
        (
            "rollout.max-slowdown",
            format!("{}%", i64::from(*max_slowdown_percent) - 100),
        ),
        ("rollout.false-alarm", percent(false_alarm)),
        ("rollout.low-traffic", low_traffic.to_owned()),
        (
            "rollout.max-exposure",
            max_exposure
                .as_ref()
                .map_or_else(|| "none".to_owned(), percent),
        ),
        ("rollout.exposure-slack", exposure_slack.to_string()),
    ]
}

fn route_fields(route: &RouteConfig) -> Fields {
    let RouteConfig {
        service,
        prefix,
        methods,
        idempotent,
        tenants,
        timeout,
        delivery: _,
    } = route;
    vec![
        ("service", service.to_string()),
        ("prefix", prefix.clone()),
        ("methods", join_or(methods, "all")),
        ("idempotent", idempotent.to_string()),
        ("tenants", join_or(tenants, "all")),
        ("timeout", units::format_duration(*timeout)),
    ]
}

fn join_or<T: fmt::Display>(items: impl IntoIterator<Item = T>, empty: &str) -> String {
    let items: Vec<_> = items.into_iter().map(|item| item.to_string()).collect();
    if items.is_empty() {
        return empty.to_owned();
    }
    items.join(", ")
}
