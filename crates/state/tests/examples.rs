//! Checks of the example answers of the current deployments.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use rstest::rstest;
use sycamoreflow_state::answers::Answers;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::generate::generate;
use sycamoreflow_state::ids::Millis;

// Guards against example answers that are refused or no longer match docs/design.md, section 1.
#[rstest]
#[case(
    "sfax",
    &["catalogue", "orders", "traceability"],
    &["grocers", "restaurants", "exporters"],
    "place-blend-order"
)]
#[case(
    "amman",
    &["catalogue", "contracts", "logistics"],
    &["roasters", "buyers", "warehouse"],
    "place-contract"
)]
fn examples_generate(
    #[case] mesh: &str,
    #[case] services: &[&str],
    #[case] tenants: &[&str],
    #[case] at_most_once: &str,
) {
    let path = format!(
        "{}/../../examples/{mesh}/answers.toml",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(Path::new(&path)).unwrap();
    let answers = Answers::parse(&path, &text).unwrap();
    assert_eq!(answers.mesh, mesh);
    let cfg = generate(&answers, Millis(0)).unwrap();
    let found: Vec<_> = cfg.services.keys().map(|name| name.as_str()).collect();
    assert_eq!(found, services);
    let found: Vec<_> = cfg.tenants.keys().map(|name| name.as_str()).collect();
    assert_eq!(found, tenants);
    assert!(!cfg.routes[at_most_once].idempotent);
    for (name, service) in &cfg.services {
        let routed = cfg.routes.values().any(|route| route.service == *name);
        assert!(routed, "{name} has no route");
        assert!(service.rollout.steps[0] <= Share::percent(2), "{name}");
    }
}
