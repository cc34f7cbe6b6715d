//! Compares docs/answers.md with the keys and defaults of the answers file.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use sycamoreflow_state::answers::{Answers, template};

const PAGE: &str = include_str!("../../../docs/answers.md");

/// TOML headers of the sections, each with the prefix of its keys on the page.
const SECTIONS: [(&str, &str); 5] = [
    ("", ""),
    ("[[tenants]]\n", "tenants."),
    ("[[services]]\n", "services."),
    ("[[services]]\n[services.rollout]\n", "services.rollout."),
    ("[[routes]]\n", "routes."),
];

/// Returns the keys of a section, which the parser lists when it refuses an unknown key.
fn known_keys(section: &str) -> Vec<String> {
    let text = format!("{section}no-such-key = 1\n");
    let problems = Answers::parse("a", &text).unwrap_err();
    let unknown_key = problems
        .iter()
        .find(|problem| problem.help.starts_with("known here: "))
        .unwrap();
    let keys = unknown_key
        .help
        .trim_start_matches("known here: ")
        .split(", ");
    keys.map(str::to_owned).collect()
}

// Guards against a key without documentation, and against documentation of a key that was renamed
// or removed.
#[test]
fn answers_page_keys() {
    let mut keys = BTreeSet::new();
    for (section, prefix) in SECTIONS {
        keys.extend(
            known_keys(section)
                .iter()
                .map(|key| format!("{prefix}{key}")),
        );
    }
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<_> = rows
        .map(|row| row.split('`').next().unwrap().to_owned())
        .collect();
    // Keys of tables are documented by a heading instead of a row.
    for table in ["tenants", "services", "routes", "services.rollout"] {
        assert!(keys.remove(table), "{table} is not a known key");
        assert!(
            PAGE.contains(&format!("`{table}`")),
            "{table} has no heading"
        );
    }
    assert_eq!(documented, keys);
}

// Guards against defaults on the page that differ from those in the template.
#[test]
fn answers_page_defaults() {
    for line in template()
        .lines()
        .filter_map(|line| line.strip_prefix("# "))
    {
        let Some((key, value)) = line.split_once(" = ") else {
            continue;
        };
        if key == "finish-by" || key.contains(' ') {
            continue;
        }
        let row = format!("{key}` | `{value}` |");
        assert!(
            PAGE.contains(&row),
            "docs/answers.md needs a row with {row}"
        );
    }
}
