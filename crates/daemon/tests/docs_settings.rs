//! Checks that docs/settings.md matches the settings that the daemon reads.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use sycamoreflow_daemon::settings::{
    ControlSettings, FloorSettings, Limits, Listen, LogFormat, LogSettings, ReplicaAddress,
    Settings,
};

const PAGE: &str = include_str!("../../../docs/settings.md");

fn replica(name: &str) -> ReplicaAddress {
    ReplicaAddress {
        daemon: name.into(),
        link: address(1),
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns settings in which every field is set. The struct literals are exhaustive, so that a new
/// field causes a compile error here until it is added.
fn complete() -> Settings {
    Settings {
        mesh: "sfax".to_owned(),
        daemon: "a".into(),
        data_centre: "sfax-a".into(),
        data_centres: vec!["sfax-a".into(), "sfax-b".into()],
        mesh_key_file: Some(PathBuf::from("mesh.key")),
        operator_token_file: Some(PathBuf::from("operator.token")),
        listen: Listen {
            calls: Some(address(2)),
            link: address(1),
            announce: Some(address(3)),
            operator: Some(address(4)),
        },
        control_replicas: vec![replica("a")],
        seeds: vec![address(1)],
        own_service: Some("orders".into()),
        control: Some(ControlSettings {
            data: PathBuf::from("data"),
            voters: vec!["a".into()],
            wanted_voters: 3,
            bootstrap: true,
            joins_per_second: 1,
        }),
        floor: FloorSettings {
            witnesses: vec![replica("b")],
        },
        interest: vec!["orders".into()],
        limits: Limits {
            body_bytes: 1,
            response_buffer_bytes: 16 << 20,
            client_buffer_bytes: 64 << 20,
            connections: 1,
            queue_ms: 1,
            queue_per_slot: 1,
            drain_timeout_ms: 1,
            key_record_ms: 1,
            reconnect_ms: 1,
            pipelined: 1,
            idle_ms: 1,
            upstream_idle_ms: 1,
            link_silence_ms: 1,
            leave_notice_ms: 1,
            shared_retries: 1,
            quota_window_ms: 1_000,
            quota_overage_percent: 1,
            quota_slack: 1,
            adapt_limit: true,
            link_kbit_per_s: 1,
            key_lease_ms: 1,
        },
        log: LogSettings {
            format: LogFormat::Json,
            filter: "info".to_owned(),
        },
    }
}

/// Adds the dotted paths of all scalars in `value`. A list adds no component to the path.
fn collect(prefix: &str, value: &Value, keys: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = match prefix {
                    "" => name.clone(),
                    _ => format!("{prefix}.{name}"),
                };
                collect(&path, value, keys);
            }
        }
        Value::Array(items) => {
            for item in items {
                collect(prefix, item, keys);
            }
        }
        _ => drop(keys.insert(prefix.to_owned())),
    }
}

/// Returns the keys in the first cells of all table rows.
fn documented() -> BTreeSet<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.map(|row| row.split('`').next().unwrap().to_owned())
        .collect()
}

// Guards against an undocumented setting, and against documentation of a setting that was renamed
// or removed.
#[test]
fn settings_page_keys() {
    let mut keys = BTreeSet::new();
    collect("", &serde_json::to_value(complete()).unwrap(), &mut keys);
    assert_eq!(documented(), keys);
}

// Guards against documented defaults that differ from the actual ones.
#[test]
fn settings_page_defaults() {
    let limits = serde_json::to_value(Limits::default()).unwrap();
    for (name, value) in limits.as_object().unwrap() {
        let row = format!("| `limits.{name}` | {value} |");
        assert!(PAGE.contains(&row), "docs/settings.md needs a row {row}");
    }
}

// Guards against an example on the page that fails validation.
#[test]
fn settings_page_example() {
    let start = PAGE.find("```toml\n").unwrap() + "```toml\n".len();
    let end = start + PAGE[start..].find("```").unwrap();
    Settings::parse(&PAGE[start..end]).unwrap();
}
