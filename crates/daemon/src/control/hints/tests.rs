#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use sycamoreflow_state::ids::ViewVersion;
use sycamoreflow_state::view::{Interest, Resource, ResourceKey};

use super::*;

fn endpoint(daemon: &str, port: u16) -> Endpoint {
    Endpoint {
        daemon: daemon.into(),
        service: "orders".into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: ([127, 0, 0, 1], port).into(),
        slots: 9,
        draining: false,
        drained_by_operator: false,
    }
}

fn view(seq: u64, endpoints: &[Endpoint]) -> View {
    let mut view = View::new(Interest::All);
    for endpoint in endpoints {
        let key = ResourceKey::Endpoint(endpoint.daemon.clone(), endpoint.service.clone());
        view.insert(key, Arc::new(Resource::Endpoint(endpoint.clone())));
    }
    view.set_version(ViewVersion {
        endpoints: EndpointVersion { term: 1, seq },
        ..ViewVersion::default()
    });
    view
}

/// Guards against one invalid entry in the file that makes a replica ignore the others, or that it
/// passes on.
#[test]
fn open_invalid_entry() {
    let folder = tempfile::tempdir().unwrap();
    let data = folder.path().join("log");
    let (mut hints, _) = EndpointHints::open(&data);
    let entries = [endpoint("sfax-a-1", 7000), endpoint("sfax-a-2", 0)];
    hints.save_if_due(Millis(5_000), &view(1, &entries));
    let (_, read) = EndpointHints::open(&data);
    assert_eq!(read, entries[..1]);
}

/// Guards against a copy that stays outdated because one write failed on a full disk: the endpoints
/// may not change again before the next restart.
#[test]
fn save_if_due_after_failure() {
    let folder = tempfile::tempdir().unwrap();
    let missing = folder.path().join("missing");
    let data = missing.join("log");
    let (mut hints, _) = EndpointHints::open(&data);
    let entries = [endpoint("sfax-a-1", 7000)];
    hints.save_if_due(Millis(5_000), &view(1, &entries));
    std::fs::create_dir(&missing).unwrap();
    hints.save_if_due(Millis(8_000), &view(1, &entries));
    let (_, read) = EndpointHints::open(&data);
    assert_eq!(read, entries);
}
