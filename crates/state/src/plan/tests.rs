use proptest::prelude::*;

use super::*;
use crate::answers::Answers;
use crate::generate::generate;
use crate::ids::Millis;

fn config(text: &str) -> MeshConfig {
    generate(&Answers::parse("a", text).unwrap(), Millis(0)).unwrap()
}

const OLD: &str = r#"mesh = "m"
tenants = [{ name = "grocers" }, { name = "restaurants" }]
services = [{ name = "orders", version = "v1" }, { name = "lots", version = "v1" }]
routes = [
    { name = "orders", service = "orders", prefix = "/orders", tenants = ["restaurants"] },
    { name = "lots", service = "lots", prefix = "/lots" },
]
"#;

const NEW: &str = r#"mesh = "m"
tenants = [{ name = "exporters" }, { name = "grocers", weight = 2 }]
services = [
    { name = "stock", version = "v1", callers = ["orders"] },
    { name = "orders", version = "v2", rollout = { steps = [2.5, 100] } },
]
routes = [
    { name = "stock", service = "stock", prefix = "/stock", tenants = ["exporters"] },
    { name = "orders", service = "orders", prefix = "/orders", timeout = "250ms" },
]
"#;

// Guards against a plan that omits a change, or that lists an added subject after one that refers
// to it.
#[test]
fn diff_order() {
    let changes = diff(&config(OLD), &config(NEW));
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    let text = lines.join("\n");
    let expected = "\
+ tenant exporters
    weight: 1
~ tenant grocers
    weight: 1 -> 2
+ service stock
    version: v1
    callers: orders
    min-endpoints: 50%
    retry-budget: 10%
    rollout.steps: 1%, 5%, 25%, 50%, 100%
    rollout.finish: within 30m
    rollout.watch: 10m
    rollout.max-extra-failures: 1%
    rollout.max-slowdown: 50%
    rollout.false-alarm: 1%
    rollout.low-traffic: finish
    rollout.max-exposure: none
    rollout.exposure-slack: 0
~ service orders
    version: v1 -> v2
    rollout.steps: 1%, 5%, 25%, 50%, 100% -> 2.5%, 100%
    starts a rollout
+ route stock
    service: stock
    prefix: /stock
    methods: all
    idempotent: false
    tenants: exporters
    timeout: 5s
~ route orders
    tenants: restaurants -> all
    timeout: 5s -> 250ms
- route lots
- service lots
- tenant restaurants";
    assert_eq!(text, expected);
}

// Guards against changes reported between equal configurations, for example because the entries
// have a different order.
#[test]
fn diff_same_config() {
    let cfg = config(NEW);
    let mut reordered = cfg.clone();
    reordered.services.reverse();
    assert_eq!(diff(&cfg, &reordered), []);
}

proptest! {
    // Guards against a removal listed before an addition, and against a change found in only one
    // direction.
    #[test]
    fn diff_symmetric(tenants in proptest::collection::vec((0..3u8, 0..2u32), 3)) {
        let mut old = config(OLD);
        let mut new = config(OLD);
        for (index, (presence, weight)) in tenants.into_iter().enumerate() {
            let name = format!("t{index}");
            let tenant = |weight| TenantConfig::with_weight(weight);
            if presence != 0 {
                old.tenants.insert(name.as_str().into(), tenant(1));
            }
            if presence != 1 {
                new.tenants.insert(name.as_str().into(), tenant(1 + weight));
            }
        }
        let (forward, backward) = (diff(&old, &new), diff(&new, &old));
        prop_assert_eq!(forward.len(), backward.len());
        prop_assert!(forward.is_sorted_by_key(|change| change.action == Action::Remove));
        for change in &forward {
            let inverse = backward.iter().find(|other| other.subject == change.subject).unwrap();
            let expected = match change.action {
                Action::Add => Action::Remove,
                Action::Change => Action::Change,
                Action::Remove => Action::Add,
            };
            prop_assert_eq!(inverse.action, expected);
        }
    }
}
