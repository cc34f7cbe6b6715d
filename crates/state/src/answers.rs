//! The questionnaire that a team answers, in TOML.
//!
//! Parsing checks syntax, keys and types and fills in defaults. It reports all problems at once,
//! therefore it reads the document itself instead of deriving a deserializer, which would stop at
//! the first one. What the answers mean together is checked by [`crate::generate`].

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

/// Values of everything that the answers may leave out.
pub mod defaults {
    use crate::config::{LowTraffic, Share};
    use crate::ids::Millis;

    /// Weight of a tenant.
    pub const WEIGHT: u32 = 1;
    /// Shares of traffic of a new version. The first one bounds the harm of a bad version.
    pub const STEPS: [Share; 5] = [
        Share::percent(1),
        Share::percent(5),
        Share::percent(25),
        Share::percent(50),
        Share::ALL,
    ];
    /// Time until a new version has all traffic.
    pub const FINISH_WITHIN: Millis = Millis(30 * 60_000);
    /// Time that the old version is kept after that.
    pub const WATCH: Millis = Millis(10 * 60_000);
    /// Failures above those of the old version.
    pub const MAX_EXTRA_FAILURES: Share = Share::percent(1);
    /// Latency above that of the old version, in percent.
    pub const MAX_SLOWDOWN_PERCENT: u32 = 50;
    /// Probability of taking back a good version.
    pub const FALSE_ALARM: Share = Share::percent(1);
    /// Decision without enough traffic.
    pub const LOW_TRAFFIC: LowTraffic = LowTraffic::Finish;
    /// Endpoints kept in use.
    pub const MIN_ENDPOINTS: Share = Share::percent(50);
    /// Retries per first attempt.
    pub const RETRY_BUDGET: Share = Share::percent(10);
    /// Time limit of a call.
    pub const TIMEOUT: Millis = Millis(5000);
}

/// The answers of a team, with defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Answers {
    /// Name of the mesh.
    pub mesh: String,
    /// Tenants in the order of the file. Names may still occur twice.
    pub tenants: Vec<(TenantName, TenantConfig)>,
    /// Services in the order of the file. Names may still occur twice.
    pub services: Vec<(ServiceName, ServiceConfig)>,
    /// Routes in the order of the file. Names may still occur twice.
    pub routes: Vec<(RouteName, RouteConfig)>,
    file: String,
    lines: BTreeMap<String, usize>,
}

impl Answers {
    /// Parses the text of a file, or returns all problems of syntax, keys and types.
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

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the line of `field`, or of the innermost table around it that the file contains.
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

/// Returns a commented `answers.toml` for a new mesh.
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
    Some(TenantConfig { weight })
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
