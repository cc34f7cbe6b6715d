//! The answers file, a TOML document in which a team describes its mesh.
//!
//! Parsing checks syntax, keys and types and fills in defaults. It reports all problems at once.
//! A derived deserializer would stop at the first one, so the parser reads the document itself.
//! [`crate::generate`] checks the answers for consistency.

use std::collections::BTreeMap;

use crate::config::{
    FinishTime, LowTraffic, RolloutRule, RouteConfig, ServiceConfig, TenantConfig,
};
use crate::ids::{RouteName, ServiceName, TenantName};

mod problem;
mod reader;
pub mod units;

#[cfg(test)]
mod tests;

pub use problem::Problem;
use reader::{Reader, Section};

/// Default values of optional answers.
pub mod defaults {
    use crate::config::{LowTraffic, Share};
    use crate::ids::Millis;

    /// Weight of a tenant; see [`TenantConfig::weight`](crate::config::TenantConfig::weight).
    pub const WEIGHT: u32 = 1;
    /// Steps of a rollout. The first share bounds the impact of a bad version.
    pub const STEPS: [Share; 5] = [
        Share::percent(1),
        Share::percent(5),
        Share::percent(25),
        Share::percent(50),
        Share::ALL,
    ];
    /// Duration from the approval until the new version is to have all traffic.
    pub const FINISH_WITHIN: Millis = Millis(30 * 60_000);
    /// Duration for which the old version is kept after that.
    pub const WATCH: Millis = Millis(10 * 60_000);
    /// Tolerated excess of the failure ratio over that of the old version.
    pub const MAX_EXTRA_FAILURES: Share = Share::percent(1);
    /// Tolerated excess of the latency over that of the old version, in percent of the latter.
    pub const MAX_SLOWDOWN_PERCENT: u32 = 50;
    /// Accepted probability of rolling back a good version by chance.
    pub const FALSE_ALARM: Share = Share::percent(1);
    /// What happens at the finish time if there was too little traffic for a decision.
    pub const LOW_TRAFFIC: LowTraffic = LowTraffic::Finish;
    /// Minimum share of endpoints kept in use.
    pub const MIN_ENDPOINTS: Share = Share::percent(50);
    /// Retries allowed per first attempt.
    pub const RETRY_BUDGET: Share = Share::percent(10);
    /// Timeout of a route.
    pub const TIMEOUT: Millis = Millis(5000);
}

/// A parsed answers file, with defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Answers {
    /// Name of the mesh.
    pub mesh: String,
    /// Tenants in the order of the file. Duplicate names are possible until generation.
    pub tenants: Vec<(TenantName, TenantConfig)>,
    /// Services in the order of the file. Duplicate names are possible until generation.
    pub services: Vec<(ServiceName, ServiceConfig)>,
    /// Routes in the order of the file. Duplicate names are possible until generation.
    pub routes: Vec<(RouteName, RouteConfig)>,
    file: String,
    lines: BTreeMap<String, usize>,
}

impl Answers {
    /// Parses `text`, or returns all problems of syntax, keys and types, sorted by line. `file` is
    /// the file name to show in problems.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Problem>> {
        let mut reader = Reader::new(file, text);
        let document = reader.parse_document()?;
        let mut root = Section::root(document.get_ref());
        let mesh = reader.read_required(&mut root, "mesh", Reader::string);
        let tenants = reader.read_items(&mut root, "tenants", read_tenant);
        let services = reader.read_items(&mut root, "services", read_service);
        let routes = reader.read_items(&mut root, "routes", read_route);
        reader.report_unknown_keys(root);
        let (mut problems, lines) = reader.into_parts();
        problems.sort_by_key(|problem| problem.line);
        match mesh {
            Some(mesh) if problems.is_empty() => Ok(Self {
                mesh,
                tenants: convert_names(tenants),
                services: convert_names(services),
                routes: convert_names(routes),
                file: file.to_owned(),
                lines,
            }),
            _ => Err(problems),
        }
    }

    /// Returns the file name that was given to [`Answers::parse`].
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the line of `field`, or of the innermost enclosing table that the file contains.
    pub fn line(&self, field: &str) -> Option<usize> {
        let mut field = field;
        loop {
            if let Some(&line) = self.lines.get(field) {
                return Some(line);
            }
            field = &field[..field.rfind('.')?];
        }
    }
}

/// Returns a commented `answers.toml` for a new mesh, which states the defaults.
pub fn template() -> &'static str {
    include_str!("answers/template.toml")
}

fn convert_names<N: From<String>, T>(items: Vec<(String, T)>) -> Vec<(N, T)> {
    items
        .into_iter()
        .map(|(name, item)| (N::from(name), item))
        .collect()
}

fn read_tenant(reader: &mut Reader<'_>, section: &mut Section<'_, '_>) -> Option<TenantConfig> {
    let weight = reader.read_or_default(section, "weight", Reader::integer, defaults::WEIGHT);
    Some(TenantConfig::with_weight(weight))
}

fn read_service(reader: &mut Reader<'_>, section: &mut Section<'_, '_>) -> Option<ServiceConfig> {
    let version = reader.read_required(section, "version", Reader::string);
    let callers = reader.read_or_default(section, "callers", Reader::strings, Vec::new());
    let min = reader.read_or_default(
        section,
        "min-endpoints",
        Reader::percent,
        defaults::MIN_ENDPOINTS,
    );
    let budget = reader.read_or_default(
        section,
        "retry-budget",
        Reader::percent,
        defaults::RETRY_BUDGET,
    );
    let rollout = match reader.read_table(section, "rollout") {
        Some(mut table) => {
            let rule = read_rollout(reader, &mut table);
            reader.report_unknown_keys(table);
            rule
        }
        None => read_rollout(reader, &mut Section::empty()),
    };
    Some(ServiceConfig {
        version: version?.into(),
        callers: callers.into_iter().map(ServiceName::from).collect(),
        rollout,
        min_endpoints: min,
        retry_budget: budget,
        cold_start: None,
    })
}

fn read_rollout(reader: &mut Reader<'_>, section: &mut Section<'_, '_>) -> RolloutRule {
    let steps =
        reader.read_or_default(section, "steps", Reader::percents, defaults::STEPS.to_vec());
    let watch = reader.read_or_default(section, "watch", Reader::duration, defaults::WATCH);
    let failures = reader.read_or_default(
        section,
        "max-extra-failures",
        Reader::percent,
        defaults::MAX_EXTRA_FAILURES,
    );
    let slowdown = reader.read_or_default(
        section,
        "max-slowdown",
        Reader::integer,
        defaults::MAX_SLOWDOWN_PERCENT,
    );
    let alarm = reader.read_or_default(
        section,
        "false-alarm",
        Reader::percent,
        defaults::FALSE_ALARM,
    );
    let low = reader.read_or_default(
        section,
        "low-traffic",
        read_low_traffic,
        defaults::LOW_TRAFFIC,
    );
    RolloutRule {
        steps,
        finish: read_finish_time(reader, section),
        watch,
        max_extra_failures: failures,
        max_slowdown_percent: slowdown.saturating_add(100),
        false_alarm: alarm,
        low_traffic: low,
        max_exposure: reader.read_optional(section, "max-exposure", Reader::percent),
        exposure_slack: reader.read_or_default(section, "exposure-slack", Reader::integer, 0),
    }
}

fn read_finish_time(reader: &mut Reader<'_>, section: &mut Section<'_, '_>) -> FinishTime {
    let within = reader.read_optional(section, "finish-within", Reader::duration);
    let by = reader.read_optional(section, "finish-by", Reader::time);
    match (within, by) {
        (Some(_), Some(by)) => {
            let field = section.field("finish-by");
            reader.report_field(
                &field,
                "finish-within is given as well".to_owned(),
                "keep one of finish-within and finish-by",
            );
            FinishTime::By(by)
        }
        (None, Some(by)) => FinishTime::By(by),
        (Some(within), None) => FinishTime::Within(within),
        (None, None) => FinishTime::Within(defaults::FINISH_WITHIN),
    }
}

fn read_low_traffic(value: &reader::Value<'_>) -> Result<LowTraffic, reader::InvalidValue> {
    match Reader::string(value)?.as_str() {
        "finish" => Ok(LowTraffic::Finish),
        "stay" => Ok(LowTraffic::Stay),
        other => Err(reader::InvalidValue {
            message: format!("{other:?} is no decision"),
            help: "write \"finish\" or \"stay\"",
        }),
    }
}

fn read_route(reader: &mut Reader<'_>, section: &mut Section<'_, '_>) -> Option<RouteConfig> {
    let service = reader.read_required(section, "service", Reader::string);
    let prefix = reader.read_required(section, "prefix", Reader::string);
    let methods = reader.read_or_default(section, "methods", Reader::strings, Vec::new());
    let idempotent = reader.read_or_default(section, "idempotent", Reader::boolean, false);
    let tenants = reader.read_or_default(section, "tenants", Reader::strings, Vec::new());
    let timeout = reader.read_or_default(section, "timeout", Reader::duration, defaults::TIMEOUT);
    Some(RouteConfig {
        service: service?.into(),
        prefix: prefix?,
        methods,
        idempotent,
        tenants: tenants.into_iter().map(TenantName::from).collect(),
        timeout,
        delivery: Default::default(),
    })
}
