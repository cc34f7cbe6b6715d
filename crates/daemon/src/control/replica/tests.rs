#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::thread;

use futures::channel::oneshot;
use sycamoreflow_coordination::raft::{Entry, Payload};
use sycamoreflow_protocol::handshake::{Identity, MeshKey};
use sycamoreflow_protocol::replica::ToLeader;
use sycamoreflow_state::config::{MeshConfig, RouteConfig, ServiceConfig, Share, TenantConfig};
use sycamoreflow_state::endpoint::Departure;
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_state::view::View;
use sycamoreflow_transport::link;
use sycamoreflow_transport::storage::Files;

use super::*;
use crate::settings::Limits;

const ID: &str = "host-1";

fn replica(folder: &Path) -> Replica {
    let id = DaemonId::from(ID);
    let group = GroupSettings {
        replicas: vec![id.clone()],
        voters: vec![id.clone()],
        wanted_voters: None,
        may_bootstrap: true,
    };
    let data = folder.join("data");
    let tolerance = Limits::default().quota_tolerance();
    let init = crate::control::open(&data, &id, group, tolerance, 1, Files::default()).unwrap();
    let (tx, _events) = event_queue();
    let identity = Identity {
        mesh: "sfax".to_owned(),
        daemon: id,
        key: MeshKey::new([7; 32]).unwrap(),
    };
    let peers = Peers::new(&[], &identity, &link::Limits::default(), Arc::default());
    Replica::new(init, Arc::new(Hub::new(200, tx)), Arc::new(peers))
}

/// Returns a configuration whose approval takes a noticeable time to apply.
fn large_config(weight: u32) -> MeshConfig {
    let mut config = MeshConfig::default();
    config
        .tenants
        .insert("grocers".into(), TenantConfig::with_weight(weight));
    let service = ServiceConfig::with_defaults(Share::percent(10));
    config.services.insert("orders".into(), service);
    for number in 0..200 {
        let route = RouteConfig {
            service: "orders".into(),
            prefix: format!("/orders/{number}/"),
            methods: Vec::new(),
            idempotent: true,
            tenants: vec!["grocers".into()],
            timeout: Millis(1_000),
            delivery: Default::default(),
        };
        config
            .routes
            .insert(format!("r{number}").as_str().into(), route);
    }
    config
}

fn approval(index: u64) -> Unapplied {
    let command = Command::Approve {
        request: format!("request-{index}").into(),
        base: ConfigVersion(index - 1),
        operator: "operator".to_owned(),
        answers: String::new(),
        config: large_config(index as u32),
        at: Millis(index),
    };
    let entry = Entry {
        index,
        term: 1,
        payload: Payload::Data(command.encode().unwrap()),
    };
    Unapplied::Entry(index, Arc::new(entry))
}

/// Guards against a replica that handles no heartbeat while it applies a long log, and against a
/// read that is answered before the entries that it has to observe are applied.
#[test]
fn apply_slice_long_log() {
    const ENTRIES: u64 = 400;
    let folder = tempfile::tempdir().unwrap();
    let mut replica = replica(folder.path());
    replica.unapplied.extend((1..=ENTRIES).map(approval));
    let (tx, mut rx) = oneshot::channel();
    let token = replica.register_waiter(Waiter::ConfirmedVersion(tx));
    replica.unapplied.push_back(Unapplied::Read(token));
    let mut slices = 0;
    while !replica.unapplied.is_empty() {
        assert_eq!(rx.try_recv(), Ok(None), "the read was answered early");
        replica.apply_slice().unwrap();
        slices += 1;
    }
    assert!(slices > 3, "{ENTRIES} entries in {slices} slices");
    let confirmed = rx.try_recv().unwrap().flatten();
    assert_eq!(confirmed.unwrap().config, ConfigVersion(ENTRIES));
}

/// Scenario: all replicas restart, and the first leader loses its leadership before it has published
/// a view.
///
/// Guards against a later term of the same replica that has forgotten the saved endpoints and waits
/// for renewals before it publishes, so that no daemon gets a view for 3 s.
#[test]
fn lead_again_before_publication() {
    let folder = tempfile::tempdir().unwrap();
    let mut replica = replica(folder.path());
    let endpoint = Endpoint {
        daemon: "host-2".into(),
        service: "orders".into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 9,
        draining: false,
        drained_by_operator: false,
    };
    replica.hinted_endpoints = vec![endpoint.clone()];
    replica.unapplied.push_back(approval(1));
    replica.apply_slice().unwrap();
    for term in [1, 3] {
        replica.update_leadership(ReplicaState::Leader, term, Some(ID.into()));
        replica.lead_if_ready(term);
        assert!(replica.leader.is_some());
        if term == 1 {
            replica.update_leadership(ReplicaState::Follower, 2, None);
        }
    }
    replica.publish();
    let view = replica.hub.view();
    assert!(view.endpoints().eq([&endpoint]), "{view:?}");
}

/// Runs a replica until its published view meets a condition.
fn run_until(replica: &mut Replica, condition: impl Fn(&View) -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !condition(&replica.hub.view()) {
        assert!(Instant::now() < end, "{:?}", replica.hub.view());
        replica.process(Vec::new(), true).unwrap();
        thread::sleep(Duration::from_millis(5));
    }
}

fn departure() -> Departure {
    Departure {
        instance: "i-1".to_owned(),
        started_at: 1_000,
        is_final: true,
    }
}

/// Returns the renewal of a daemon whose only instance has left.
fn renewal_with_departure() -> Forwarded {
    Forwarded {
        daemon: "host-2".into(),
        content: ToLeader::Renew {
            endpoints: Vec::new(),
            departures: vec![departure()],
            in_force: None,
        },
    }
}

fn is_published(view: &View) -> bool {
    view.version().endpoints.term > 0
}

/// Guards against a departure that was acknowledged, because a view contained it, and is forgotten
/// when all processes are killed.
#[test]
fn departure_all_killed() {
    let folder = tempfile::tempdir().unwrap();
    let mut killed = replica(folder.path());
    run_until(&mut killed, is_published);
    killed.handle_forwarded(None, vec![renewal_with_departure()]);
    run_until(&mut killed, |view| view.departures().next().is_some());
    drop(killed);
    let mut restarted = replica(folder.path());
    run_until(&mut restarted, is_published);
    let view = restarted.hub.view();
    let known: Vec<_> = view.departures().collect();
    assert_eq!(known, [(&"host-2".into(), [departure()].as_slice())]);
}

/// Guards against a departure that a daemon acknowledges while only the leader knows it.
#[test]
fn departure_uncommitted() {
    let folder = tempfile::tempdir().unwrap();
    let mut replica = replica(folder.path());
    run_until(&mut replica, is_published);
    // Longer than the interval between publications.
    thread::sleep(Duration::from_millis(300));
    replica.handle_forwarded(None, vec![renewal_with_departure()]);
    replica.publish();
    assert_eq!(replica.hub.view().departures().count(), 0);
    run_until(&mut replica, |view| view.departures().next().is_some());
}
