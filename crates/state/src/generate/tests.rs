use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::answers::template;

/// 2026-12-04T00:00:00Z.
const NOW: Millis = Millis(1_796_342_400_000);

const GOOD: &str = r#"mesh = "sfax"
[[tenants]]
name = "grocers"
weight = 3
[[tenants]]
name = "exporters"
[[services]]
name = "orders"
version = "v2"
callers = ["catalogue", "orders"]
min-endpoints = 40
[services.rollout]
steps = [1, 10, 100]
finish-by = 2026-12-24T06:00:00Z
watch = "90s"
max-extra-failures = 0.25
max-slowdown = 20
false-alarm = 0.1
[[services]]
name = "catalogue"
version = "v1"
callers = ["orders"]
[services.rollout]
finish-within = "1h"
[[routes]]
name = "blend"
service = "orders"
prefix = "/blend"
methods = ["POST", "PUT"]
tenants = ["grocers", "exporters"]
timeout = "250ms"
[[routes]]
name = "stock"
service = "catalogue"
prefix = "/blend"
methods = ["GET"]
"#;

fn problems(text: &str) -> Vec<Problem> {
    let answers = Answers::parse("a.toml", text).unwrap();
    generate(&answers, NOW).unwrap_err()
}

fn with_line(line: usize, replacement: &str) -> String {
    let mut lines: Vec<_> = GOOD.lines().collect();
    lines[line - 1] = replacement;
    lines.join("\n")
}

// Guards against an invalid value that is accepted, or reported at the wrong line or field. A case
// with several entries is one mistake that makes several fields invalid.
#[rstest]
#[case(1, "mesh = \"Sfax 1\"", &[(1, "mesh")])]
#[case(3, "name = \"gro.cers\"", &[(3, "tenants.gro.cers.name"), (30, "routes.blend.tenants")])]
#[case(4, "weight = 0", &[(4, "tenants.grocers.weight")])]
#[case(4, "weight = 10001", &[(4, "tenants.grocers.weight")])]
#[case(6, "name = \"grocers\"", &[(6, "tenants[1].name"), (30, "routes.blend.tenants")])]
#[case(8, "name = \"-orders\"", &[
    (8, "services.-orders.name"),
    (10, "services.-orders.callers"),
    (22, "services.catalogue.callers"),
    (27, "routes.blend.service"),
])]
#[case(9, "version = \"v 2\"", &[(9, "services.orders.version")])]
#[case(9, "version = \"\"", &[(9, "services.orders.version")])]
#[case(10, "callers = [\"stock\"]", &[(10, "services.orders.callers")])]
#[case(10, "callers = [\"orders\", \"orders\"]", &[(10, "services.orders.callers")])]
#[case(13, "steps = []", &[(13, "services.orders.rollout.steps")])]
#[case(13, "steps = [0, 100]", &[(13, "services.orders.rollout.steps")])]
#[case(13, "steps = [10, 10, 100]", &[(13, "services.orders.rollout.steps")])]
#[case(13, "steps = [20, 10, 100]", &[(13, "services.orders.rollout.steps")])]
#[case(13, "steps = [1, 99.9]", &[(13, "services.orders.rollout.steps")])]
#[case(14, "finish-by = 2026-12-04T00:00:00Z", &[(14, "services.orders.rollout.finish-by")])]
#[case(14, "finish-by = 2027-12-04T00:00:00Z", &[(14, "services.orders.rollout.finish-by")])]
#[case(14, "finish-within = \"0s\"", &[(14, "services.orders.rollout.finish-within")])]
#[case(15, "watch = \"0s\"", &[(15, "services.orders.rollout.watch")])]
#[case(15, "watch = \"31d\"", &[(15, "services.orders.rollout.watch")])]
#[case(16, "max-extra-failures = 0", &[(16, "services.orders.rollout.max-extra-failures")])]
#[case(17, "max-slowdown = 0", &[(17, "services.orders.rollout.max-slowdown")])]
#[case(17, "max-slowdown = 4294967295", &[(17, "services.orders.rollout.max-slowdown")])]
#[case(18, "false-alarm = 0", &[(18, "services.orders.rollout.false-alarm")])]
#[case(18, "false-alarm = 21", &[(18, "services.orders.rollout.false-alarm")])]
#[case(20, "name = \"orders\"", &[
    (10, "services.orders.callers"),
    (20, "services[1].name"),
    (34, "routes.stock.service"),
])]
#[case(24, "finish-within = \"31d\"", &[(24, "services.catalogue.rollout.finish-within")])]
#[case(26, "name = \"stock\"", &[(33, "routes[1].name")])]
#[case(27, "service = \"shop\"", &[(27, "routes.blend.service")])]
#[case(28, "prefix = \"blend\"", &[(28, "routes.blend.prefix")])]
#[case(28, "prefix = \"/blend/\"", &[(28, "routes.blend.prefix")])]
#[case(28, "prefix = \"/a/../b\"", &[(28, "routes.blend.prefix")])]
#[case(28, "prefix = \"/a?b\"", &[(28, "routes.blend.prefix")])]
#[case(28, "prefix = \"\"", &[(28, "routes.blend.prefix")])]
#[case(29, "methods = [\"post\"]", &[(29, "routes.blend.methods")])]
#[case(29, "methods = [\"CONNECT\"]", &[(29, "routes.blend.methods")])]
#[case(29, "methods = [\"PUT\", \"PUT\"]", &[(29, "routes.blend.methods")])]
#[case(29, "methods = [\"PUT\", \"GET\"]", &[(35, "routes.stock.prefix")])]
#[case(29, "methods = []", &[(35, "routes.stock.prefix")])]
#[case(30, "tenants = [\"roasters\"]", &[(30, "routes.blend.tenants")])]
#[case(31, "timeout = \"0ms\"", &[(31, "routes.blend.timeout")])]
#[case(31, "timeout = \"2h\"", &[(31, "routes.blend.timeout")])]
fn generate_broken_field(
    #[case] line: usize,
    #[case] replacement: &str,
    #[case] expected: &[(usize, &str)],
) {
    let problems = problems(&with_line(line, replacement));
    let found: Vec<_> = problems
        .iter()
        .map(|p| (p.line.unwrap(), p.field.as_str()))
        .collect();
    assert_eq!(found, expected, "{problems:?}");
    assert!(
        problems
            .iter()
            .all(|p| !p.help.is_empty() && p.file == "a.toml")
    );
}

// Guards against an empty configuration that is accepted, whose approval would remove the whole
// mesh.
#[test]
fn generate_empty_mesh() {
    let problems = problems("mesh = \"sfax\"");
    let fields: Vec<_> = problems.iter().map(|p| p.field.as_str()).collect();
    assert_eq!(fields, ["services", "tenants"]);
}

// Guards against valid answers that are refused: services that call each other in a cycle, and
// routes that have the same prefix but different methods.
#[test]
fn generate_good() {
    let cfg = generate(&Answers::parse("a.toml", GOOD).unwrap(), NOW).unwrap();
    assert_eq!(
        (cfg.tenants.len(), cfg.services.len(), cfg.routes.len()),
        (2, 2, 2)
    );
    assert_eq!(cfg.validate(NOW), []);
    assert!(generate(&Answers::parse("a.toml", template()).unwrap(), NOW).is_ok());
}

// Guards against checks that need the answers file: a replica repeats them on the configuration
// alone, since a client may have skipped them.
#[test]
fn validate_bare_config() {
    let mut cfg = generate(&Answers::parse("a.toml", GOOD).unwrap(), NOW).unwrap();
    cfg.services.shift_remove("catalogue");
    let problems = cfg.validate(NOW);
    let fields: Vec<_> = problems.iter().map(|p| p.field.as_str()).collect();
    assert_eq!(fields, ["services.orders.callers", "routes.stock.service"]);
    assert!(problems.iter().all(|p| p.line.is_none()));
}

proptest! {
    // Guards against a result that depends on the time, on the order within unordered lists, or on
    // the iteration order of hash maps.
    #[test]
    fn generate_deterministic(
        later in 0..1_000_000u64,
        methods in Just(["POST", "PUT"]).prop_shuffle(),
        tenants in Just(["grocers", "exporters"]).prop_shuffle(),
    ) {
        let text = with_line(29, &format!("methods = {methods:?}"));
        let text = text.replace("[\"grocers\", \"exporters\"]", &format!("{tenants:?}"));
        let expected = generate(&Answers::parse("a.toml", GOOD).unwrap(), NOW).unwrap();
        let answers = Answers::parse("b.toml", &text).unwrap();
        let cfg = generate(&answers, NOW.after(Millis(later))).unwrap();
        prop_assert_eq!(cfg.to_bytes(), expected.to_bytes());
        let mut cbor = Vec::new();
        ciborium::into_writer(&cfg, &mut cbor).unwrap();
        let decoded: MeshConfig = ciborium::from_reader(cbor.as_slice()).unwrap();
        prop_assert_eq!(decoded.to_bytes(), cfg.to_bytes());
        let decoded: MeshConfig = serde_json::from_slice(&cfg.to_bytes()).unwrap();
        prop_assert_eq!(decoded.to_bytes(), cfg.to_bytes());
    }
}
