//! Checks that docs/headers.md lists the reasons and HTTP status codes of refusals.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use sycamoreflow_daemon::proxy::headers::{REASON_HEADER, default_failure_response};
use sycamoreflow_state::verdict::{Failure, Reason};

const PAGE: &str = include_str!("../../../docs/headers.md");

/// Returns the names of all reasons, taken from the error of serde for an unknown variant.
fn reasons() -> BTreeSet<String> {
    let error = serde_json::from_str::<Reason>("\"no-such-reason\"").unwrap_err();
    let text = error.to_string();
    let (_, expected) = text.split_once("expected one of ").unwrap();
    let names = expected.split('`').skip(1).step_by(2);
    names.map(str::to_owned).collect()
}

// Guards against a reason that is sent to callers but not documented, and against a documented
// status code that differs from the one sent.
#[test]
fn headers_page_reasons() {
    let (_, table) = PAGE.split_once("## Reasons").unwrap();
    let (table, _) = table.split_once("\n## ").unwrap();
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `"));
    let mut documented = BTreeSet::new();
    for row in rows {
        let name = row.split('`').next().unwrap();
        let reason: Reason = serde_json::from_str(&format!("\"{name}\"")).unwrap();
        let response = default_failure_response(Failure::not_run(reason));
        assert_eq!(response.headers()[REASON_HEADER], name);
        let status = response.status().as_u16();
        assert!(row.starts_with(&format!("{name}` | {status} |")), "{row}");
        documented.insert(name.to_owned());
    }
    assert_eq!(documented, reasons());
}
