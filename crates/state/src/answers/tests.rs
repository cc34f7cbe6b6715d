use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::config::Share;
use crate::ids::Millis;

const FULL: &str = r#"mesh = "sfax"

[[tenants]]
name = "grocers"
weight = 3

[[services]]
name = "orders"
version = "v2"
callers = ["catalogue"]
min-endpoints = 40
retry-budget = 12.5

[services.rollout]
steps = [0.5, 10, 100]
finish-by = 2026-12-24T06:00:00+01:00
watch = "90s"
max-extra-failures = 0.25
max-slowdown = 20
false-alarm = 0.1
low-traffic = "stay"

[[routes]]
name = "blend"
service = "orders"
prefix = "/blend"
methods = ["POST"]
idempotent = true
tenants = ["grocers"]
timeout = "250ms"
"#;

// Guards against a value that is read from the wrong key or in the wrong unit.
#[test]
fn parse_full() {
    let answers = Answers::parse("a.toml", FULL).unwrap();
    assert_eq!(answers.mesh, "sfax");
    assert_eq!(
        answers.tenants,
        [("grocers".into(), TenantConfig::with_weight(3))]
    );
    let (name, service) = &answers.services[0];
    assert_eq!(name.as_str(), "orders");
    let expected = ServiceConfig {
        version: "v2".into(),
        callers: vec!["catalogue".into()],
        rollout: RolloutRule {
            steps: vec![Share(5000), Share::percent(10), Share::ALL],
            finish: FinishTime::By(Millis(1_798_088_400_000)),
            watch: Millis(90_000),
            max_extra_failures: Share(2500),
            max_slowdown_percent: 120,
            false_alarm: Share(1000),
            low_traffic: LowTraffic::Stay,
            max_exposure: None,
            exposure_slack: 0,
        },
        min_endpoints: Share::percent(40),
        retry_budget: Share(125_000),
        cold_start: None,
    };
    assert_eq!(*service, expected);
    let expected = RouteConfig {
        service: "orders".into(),
        prefix: "/blend".into(),
        methods: vec!["POST".into()],
        idempotent: true,
        tenants: vec!["grocers".into()],
        timeout: Millis(250),
        delivery: Default::default(),
    };
    assert_eq!(answers.routes, [("blend".into(), expected)]);
    assert_eq!(answers.line("services.orders.rollout.watch"), Some(17));
    assert_eq!(answers.line("services.orders.rollout.unset"), Some(14));
}

// Guards against a template that does not parse, or whose comments state wrong defaults: with the
// commented-out settings enabled, except finish-by, it must give the same result.
#[test]
fn template_states_defaults() {
    let plain = Answers::parse("a", template()).unwrap();
    let text: Vec<_> = template()
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(key) if key.contains(" = ") && !key.contains("finish-by") => key,
            _ => line,
        })
        .collect();
    let stated = Answers::parse("a", &text.join("\n")).unwrap();
    assert_eq!(stated.tenants, plain.tenants);
    assert_eq!(stated.services, plain.services);
    assert_eq!(stated.routes, plain.routes);
    assert!(text.join("\n").contains("\nlow-traffic = "));
}

// Guards against a value of the wrong type or out of range that is accepted, or reported at the
// wrong line or field.
#[rstest]
#[case(1, "mesh = 7", "mesh")]
#[case(5, "weight = -1", "tenants.grocers.weight")]
#[case(5, "weight = 1.5", "tenants.grocers.weight")]
#[case(9, "version = 2", "services.orders.version")]
#[case(10, "callers = \"catalogue\"", "services.orders.callers")]
#[case(10, "callers = [1]", "services.orders.callers")]
#[case(11, "min-endpoints = 101", "services.orders.min-endpoints")]
#[case(12, "retry-budget = \"many\"", "services.orders.retry-budget")]
#[case(15, "steps = [0.00001, 100]", "services.orders.rollout.steps")]
#[case(16, "finish-by = 2026-12-24", "services.orders.rollout.finish-by")]
#[case(
    16,
    "finish-by = 2026-12-24T06:00:00",
    "services.orders.rollout.finish-by"
)]
#[case(
    16,
    "finish-within = \"soon\"",
    "services.orders.rollout.finish-within"
)]
#[case(17, "watch = 90", "services.orders.rollout.watch")]
#[case(
    17,
    "watch = \"99999999999999999999d\"",
    "services.orders.rollout.watch"
)]
#[case(
    18,
    "max-extra-failures = nan",
    "services.orders.rollout.max-extra-failures"
)]
#[case(19, "max-slowdown = true", "services.orders.rollout.max-slowdown")]
#[case(20, "false-alarm = 1e1", "services.orders.rollout.false-alarm")]
#[case(21, "low-traffic = \"wait\"", "services.orders.rollout.low-traffic")]
#[case(25, "service = []", "routes.blend.service")]
#[case(26, "prefix = 1", "routes.blend.prefix")]
#[case(27, "methods = \"POST\"", "routes.blend.methods")]
#[case(28, "idempotent = \"yes\"", "routes.blend.idempotent")]
#[case(29, "tenants = {}", "routes.blend.tenants")]
#[case(30, "timeout = \"1 s\"", "routes.blend.timeout")]
fn parse_wrong_value(#[case] line: usize, #[case] replacement: &str, #[case] field: &str) {
    let problems = Answers::parse("a.toml", &with_line(line, replacement)).unwrap_err();
    let found: Vec<_> = problems
        .iter()
        .map(|p| (p.line, p.field.as_str()))
        .collect();
    assert_eq!(found, [(Some(line), field)], "{problems:?}");
}

// Guards against a missing required value that is silently replaced by a default, or reported at a
// line other than that of its table.
#[rstest]
#[case(1, 1, "mesh")]
#[case(4, 3, "tenants[0].name")]
#[case(8, 7, "services[0].name")]
#[case(9, 7, "services.orders.version")]
#[case(24, 23, "routes[0].name")]
#[case(25, 23, "routes.blend.service")]
#[case(26, 23, "routes.blend.prefix")]
fn parse_missing_value(#[case] line: usize, #[case] reported: usize, #[case] field: &str) {
    let problems = Answers::parse("a.toml", &with_line(line, "")).unwrap_err();
    let found: Vec<_> = problems
        .iter()
        .map(|p| (p.line, p.field.as_str()))
        .collect();
    assert_eq!(found, [(Some(reported), field)], "{problems:?}");
}

// Guards against a mistyped key that is ignored, so that the default applies unnoticed.
#[rstest]
#[case(2, "regions")]
#[case(5, "tenants.grocers.wieght")]
#[case(12, "services.orders.retry_budget")]
#[case(17, "services.orders.rollout.wait")]
#[case(30, "routes.blend.time-out")]
fn parse_unknown_key(#[case] line: usize, #[case] field: &str) {
    let key = field.rsplit('.').next().unwrap();
    let problems = Answers::parse("a.toml", &with_line(line, &format!("{key} = 1"))).unwrap_err();
    let found: Vec<_> = problems
        .iter()
        .map(|p| (p.line, p.field.as_str()))
        .collect();
    assert_eq!(found, [(Some(line), field)], "{problems:?}");
    assert!(problems[0].help.contains("known here"));
}

// Guards against a report that stops at the first problem.
#[test]
fn parse_many_problems() {
    let text = with_line(5, "weight = \"x\"")
        .replace("\"250ms\"", "250")
        .replace("steps", "step");
    let problems = Answers::parse("a.toml", &text).unwrap_err();
    let lines: Vec<_> = problems.iter().map(|p| p.line).collect();
    assert_eq!(lines, [Some(5), Some(15), Some(30)], "{problems:?}");
    let both = FULL.replace("watch =", "finish-within = \"1h\"\nwatch =");
    let problems = Answers::parse("a.toml", &both).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
}

// Guards against a panic on text that is not TOML, and against accepting it.
#[test]
fn parse_syntax_error() {
    let problems = Answers::parse("a.toml", "mesh = \"x\"\n\n[[services]\nname = \n").unwrap_err();
    assert_eq!(problems[0].line, Some(3), "{problems:?}");
    assert!(problems[0].to_string().starts_with("a.toml:3: "));
}

proptest! {
    // Guards against a panic on malformed text, and against a failure without problems or lines.
    #[test]
    fn parse_any_text(cut in 0..FULL.len(), insert in "[\\[\\]{}=.,\"'#a-z0-9\\n ]{0,12}") {
        prop_assume!(FULL.is_char_boundary(cut));
        let text = format!("{}{insert}{}", &FULL[..cut], &FULL[cut..]);
        if let Err(problems) = Answers::parse("a.toml", &text) {
            prop_assert!(!problems.is_empty());
            prop_assert!(problems.iter().all(|p| p.line.is_some()));
        }
    }

    // Guards against rounding and calendar errors between formatting and parsing.
    #[test]
    fn units_round_trip(share in 0..=1_000_000u32, millis: u32, seconds in 0..4_102_444_800u64) {
        let percent = units::format_percent(Share(share));
        prop_assert_eq!(units::parse_percent(percent.trim_end_matches('%')), Some(Share(share)));
        let duration = Millis(u64::from(millis));
        prop_assert_eq!(units::parse_duration(&units::format_duration(duration)), Some(duration));
        let time = Millis(seconds * 1000);
        prop_assert_eq!(units::parse_time(&units::format_time(time)), Some(time));
    }
}

// Guards against a calendar error that parsing and formatting share, so that the round trip does
// not reveal it.
#[rstest]
#[case("1970-01-01T00:00:00Z", 0)]
#[case("2000-02-29T23:59:59.5Z", 951_868_799_500)]
#[case("2026-12-04T10:00:00+01:00", 1_796_374_800_000)]
#[case("2100-03-01T00:00:00Z", 4_107_542_400_000)]
fn parse_time_known(#[case] text: &str, #[case] millis: u64) {
    assert_eq!(units::parse_time(text), Some(Millis(millis)));
}

fn with_line(line: usize, replacement: &str) -> String {
    let mut lines: Vec<_> = FULL.lines().collect();
    lines[line - 1] = replacement;
    lines.join("\n")
}

// Guards against an exposure limit that is ignored, or accepted with an invalid value.
#[rstest]
#[case("max-exposure = 15\nexposure-slack = 30", Some((Some(Share::percent(15)), 30)))]
#[case("max-exposure = 0.5", Some((Some(Share(5_000)), 0)))]
#[case("", Some((None, 0)))]
#[case("max-exposure = 101", None)]
#[case("exposure-slack = -1", None)]
#[case("exposure-slack = 1.5", None)]
fn parse_exposure(#[case] lines: &str, #[case] expected: Option<(Option<Share>, u32)>) {
    let rollout = FULL.find("low-traffic = \"stay\"\n").unwrap();
    let (before, after) = FULL.split_at(rollout);
    let parsed = Answers::parse("a", &format!("{before}{lines}\n{after}"));
    let rule = parsed
        .ok()
        .map(|answers| answers.services[0].1.rollout.clone());
    let limits = rule.map(|rule| (rule.max_exposure, rule.exposure_slack));
    assert_eq!(limits, expected);
}
