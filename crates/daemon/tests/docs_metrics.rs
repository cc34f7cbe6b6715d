//! Checks that docs/metrics.md lists exactly the metrics recorded in the source code.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

const PAGE: &str = include_str!("../../../docs/metrics.md");

/// Kind and labels of each metric, by name.
type Metrics = BTreeMap<String, (String, Vec<String>)>;

/// Adds the metrics recorded in the source files under `dir`, recursively.
fn collect(dir: &Path, metrics: &mut Metrics) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, metrics);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            collect_from(&fs::read_to_string(&path).unwrap(), metrics);
        }
    }
}

fn collect_from(text: &str, metrics: &mut Metrics) {
    for kind in ["counter", "gauge", "histogram"] {
        let start = format!("{kind}!(");
        for (offset, _) in text.match_indices(&start) {
            let arguments = &text[offset + start.len()..];
            let end = arguments.find(')').unwrap();
            // String literals are at the odd indexes. The first one is the name; the others are
            // labels if an arrow follows.
            let parts: Vec<&str> = arguments[..end].split('"').collect();
            assert!(
                parts[0].trim().is_empty() && parts.len() > 1,
                "the name of a {kind} is not a string literal: {}",
                &arguments[..end]
            );
            let labels = (3..parts.len())
                .step_by(2)
                .filter(|&i| parts[i + 1].trim_start().starts_with("=>"))
                .map(|i| parts[i].to_owned())
                .collect();
            let previous = metrics.insert(parts[1].to_owned(), (kind.to_owned(), labels));
            assert!(previous.is_none_or(|previous| previous == metrics[parts[1]]));
        }
    }
}

/// Parses the table rows `| name | kind | unit | labels | meaning |` of the page.
fn documented() -> Metrics {
    let mut metrics = Metrics::new();
    for line in PAGE.lines().filter(|line| line.starts_with("| `")) {
        let line = line.strip_prefix('|').unwrap().strip_suffix('|').unwrap();
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 5, "{line}");
        assert!(!cells[2].is_empty() && !cells[4].is_empty(), "{line}");
        let labels = cells[3]
            .split(',')
            .map(|label| label.trim().trim_matches('`'));
        let labels = labels.filter(|label| !label.is_empty()).map(str::to_owned);
        let name = cells[0].trim_matches('`').to_owned();
        metrics.insert(name, (cells[1].to_owned(), labels.collect()));
    }
    metrics
}

// Guards against an undocumented metric, and against documentation of a metric that is no longer
// recorded or has different labels.
#[test]
fn metrics_page() {
    let mut recorded = Metrics::new();
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for entry in fs::read_dir(crates).unwrap() {
        collect(&entry.unwrap().path().join("src"), &mut recorded);
    }
    assert!(!recorded.is_empty());
    assert_eq!(documented(), recorded);
}

// Guards against a source scan that misses labels, which would make the comparison vacuous.
#[test]
fn collect_labels() {
    let mut metrics = Metrics::new();
    let text = "counter!(\n \"calls\",\n \"tenant\" => tenant, \"kind\" => \"a\").increment(1)";
    collect_from(text, &mut metrics);
    let labels = vec!["tenant".to_owned(), "kind".to_owned()];
    assert_eq!(metrics["calls"], ("counter".to_owned(), labels));
}
