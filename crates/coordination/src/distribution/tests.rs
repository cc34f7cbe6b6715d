use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{
    ConfigVersion, DaemonId, EndpointVersion, Millis, ServiceName, ViewVersion,
};
use sycamoreflow_state::view::{Interest, Resource, ResourceKey, View};

use super::{Distribution, JoinLimiter, MAX_PUBLISHED, MAX_TOMBSTONES, UpdateCache, home_replica};

fn endpoint(daemon: usize, service: usize, slots: u32) -> (ResourceKey, Arc<Resource>) {
    let endpoint = Endpoint {
        daemon: format!("d{daemon}").into(),
        service: format!("s{service}").into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        slots,
        draining: false,
        drained_by_operator: false,
    };
    let key = ResourceKey::Endpoint(endpoint.daemon.clone(), endpoint.service.clone());
    (key, Arc::new(Resource::Endpoint(endpoint)))
}

fn next_version(version: ViewVersion, config: bool) -> ViewVersion {
    ViewVersion {
        config: ConfigVersion(version.config.0 + u64::from(config)),
        endpoints: EndpointVersion {
            term: 1,
            seq: version.endpoints.seq + u64::from(!config),
        },
    }
}

#[derive(Clone, Debug)]
enum Event {
    Change { daemon: usize, slots: Option<u32> },
    ConfigOnly,
    Poll { subscriber: usize },
    Restart { subscriber: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0usize..8, prop::option::of(1u32..4))
            .prop_map(|(daemon, slots)| Event::Change { daemon, slots }),
        1 => Just(Event::ConfigOnly),
        3 => (0usize..3).prop_map(|subscriber| Event::Poll { subscriber }),
        1 => (0usize..3).prop_map(|subscriber| Event::Restart { subscriber }),
    ]
}

fn interest_of(subscriber: usize) -> Interest {
    match subscriber {
        0 => Interest::All,
        n => Interest::Services(BTreeSet::from([ServiceName::from(format!("s{n}"))])),
    }
}

proptest! {
    /// Guards against a merged delta after which the state of a subscriber differs from that of the
    /// replica, for any sequence of missed updates and restarts.
    #[test]
    fn update_for_any_history(events in prop::collection::vec(event(), 1..80)) {
        let mut distribution = Distribution::new();
        let mut view = View::new(Interest::All);
        let mut subscribers: Vec<Option<View>> = vec![None; 3];
        for event in events {
            match event {
                Event::Change { daemon, slots } => {
                    let (key, resource) = endpoint(daemon, daemon % 3, slots.unwrap_or(1));
                    match slots {
                        Some(_) => view.insert(key, resource),
                        None => drop(view.remove(&key)),
                    }
                    view.set_version(next_version(view.version(), false));
                    prop_assert!(distribution.publish(Arc::new(view.clone())));
                }
                Event::ConfigOnly => {
                    view.set_version(next_version(view.version(), true));
                    prop_assert!(distribution.publish(Arc::new(view.clone())));
                }
                Event::Restart { subscriber } => subscribers[subscriber] = None,
                Event::Poll { subscriber } => {
                    let interest = interest_of(subscriber);
                    let own = &mut subscribers[subscriber];
                    let have = own.as_ref().map(View::version);
                    if let Some(delta) = distribution.update_for(&interest, have) {
                        let next = match own.as_ref() {
                            Some(own) => own.apply(&delta),
                            None => View::from_full(&interest, &delta),
                        };
                        *own = Some(next.expect("the update applies"));
                    }
                    let own = own.as_ref().expect("a first poll gives the full state");
                    prop_assert_eq!(own.digest(), view.restrict(&interest).digest());
                    prop_assert_eq!(own.version().config, view.version().config);
                }
            }
        }
    }
}

/// Guards against a replica that publishes an older view after it received one from a stale leader.
#[test]
fn publish_older_view() {
    let mut distribution = Distribution::new();
    let mut view = View::new(Interest::All);
    view.set_version(next_version(ViewVersion::default(), true));
    assert!(distribution.publish(Arc::new(view.clone())));
    assert!(!distribution.publish(Arc::new(view)));
    assert!(!distribution.publish(Arc::new(View::new(Interest::All))));
}

/// Guards against a subscriber that misses a removal because its tombstone was dropped.
#[test]
fn update_for_behind_tombstones() {
    let mut distribution = Distribution::new();
    let mut view = View::new(Interest::All);
    for daemon in 0..=MAX_TOMBSTONES + 1 {
        let (key, resource) = endpoint(daemon, 0, 1);
        view.insert(key, resource);
    }
    view.set_version(next_version(view.version(), false));
    distribution.publish(Arc::new(view.clone()));
    let first = view.version();
    for daemon in 0..=MAX_TOMBSTONES {
        let (key, _) = endpoint(daemon, 0, 1);
        view.remove(&key);
    }
    view.set_version(next_version(view.version(), false));
    distribution.publish(Arc::new(view.clone()));
    let update = distribution
        .update_for(&Interest::All, Some(first))
        .expect("the view has changed");
    assert_eq!(update.from, None);
    assert_eq!(update.upserts.len(), 1);
}

/// Guards against a delta that fails the digest check: the subscriber has a resource that only an
/// earlier leader published, or that was added and removed between two versions of this replica.
/// The subscriber would reconnect at the same version and receive the same delta again.
#[test]
fn update_for_unpublished_version() {
    let mut distribution = Distribution::new();
    let mut view = View::new(Interest::All);
    for daemon in 0..20 {
        let (key, resource) = endpoint(daemon, 0, 1);
        view.insert(key, resource);
    }
    view.set_version(next_version(view.version(), false));
    distribution.publish(Arc::new(view.clone()));
    let mut unpublished = view.clone();
    let (key, resource) = endpoint(20, 0, 1);
    unpublished.insert(key, resource);
    unpublished.set_version(next_version(view.version(), false));
    let (key, resource) = endpoint(0, 0, 2);
    view.insert(key, resource);
    view.set_version(next_version(unpublished.version(), false));
    distribution.publish(Arc::new(view.clone()));
    let update = distribution
        .update_for(&Interest::All, Some(unpublished.version()))
        .expect("the view has changed");
    assert_eq!(unpublished.apply(&update), Ok(view));
}

/// Guards against stored versions that grow without bound, and against a delta from a version that
/// was dropped.
#[test]
fn update_for_forgotten_version() {
    let mut distribution = Distribution::new();
    let mut view = View::new(Interest::All);
    let (key, resource) = endpoint(0, 0, 1);
    view.insert(key, resource);
    let mut first = ViewVersion::default();
    for published in 0..=MAX_PUBLISHED {
        view.set_version(next_version(view.version(), true));
        distribution.publish(Arc::new(view.clone()));
        if published == 0 {
            first = view.version();
        }
    }
    let update_from = |have| {
        let update = distribution.update_for(&Interest::All, Some(have));
        update.expect("the configuration version has changed").from
    };
    assert_eq!(update_from(first), None);
    let second = next_version(first, true);
    assert_eq!(update_from(second), Some(second));
}

/// Guards against an update that is encoded once per subscriber.
#[test]
fn get_or_encode_repeated() {
    let mut cache = UpdateCache::new();
    let mut encoded = 0;
    for _ in 0..1_000 {
        cache.get_or_encode(&Interest::All, None, ViewVersion::default(), || {
            encoded += 1
        });
    }
    assert_eq!(encoded, 1);
}

/// Guards against the admission of many reconnecting subscribers at once, and against a subscriber
/// that is refused forever.
#[test]
fn admit_many_reconnecting() {
    let mut limiter = JoinLimiter::new(Millis(0), 100);
    let mut waiting: Vec<Millis> = vec![Millis(0); 1_000];
    let mut admitted_by_second = [0u32; 30];
    for at in 0..30_000 {
        let now = Millis(at);
        let mut still_waiting = Vec::new();
        for due in waiting {
            if due > now {
                still_waiting.push(due);
                continue;
            }
            match limiter.admit(now) {
                Ok(()) => admitted_by_second[(at / 1_000) as usize] += 1,
                Err(wait) => still_waiting.push(now.after(wait)),
            }
        }
        waiting = still_waiting;
    }
    assert!(waiting.is_empty(), "{} were never admitted", waiting.len());
    assert!(admitted_by_second.iter().all(|count| *count <= 200));
    let done = admitted_by_second.iter().rposition(|count| *count > 0);
    assert!(
        done <= Some(15),
        "took {done:?} seconds for 1,000 at 100 a second"
    );
}

fn ids(prefix: &str, count: usize) -> Vec<DaemonId> {
    let id = |index| DaemonId::from(format!("10.1.0.{index}:{prefix}"));
    (0..count).map(id).collect()
}

/// Guards against replicas that serve many more subscribers than others. With 281 daemons that know
/// three of ten replicas when they start, those three served 94 each and the others none; when one
/// of them froze, the other two got its daemons and were too slow to keep the group's quorum.
#[rstest]
#[case::large_mesh(281, 10)]
#[case::grown_mesh(80, 6)]
#[case::many_subscribers(1_400, 20)]
fn home_replica_balance(#[case] daemons: usize, #[case] replicas: usize) {
    let replicas = ids("7520", replicas);
    let mut counts: BTreeMap<&DaemonId, usize> = BTreeMap::new();
    for daemon in ids("7600", daemons) {
        let home = home_replica(&daemon, &replicas).expect("there are replicas");
        *counts.entry(home).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    let mean = daemons as f64 / replicas.len() as f64;
    assert_eq!(counts.len(), replicas.len(), "a replica has no subscriber");
    assert!(
        most as f64 <= 1.6 * mean,
        "{most} subscribers, {mean} on average"
    );
}

/// Guards against daemons that all move when one replica leaves, and against a choice that depends
/// on the order in which a daemon has learnt of the replicas.
#[test]
fn home_replica_lost() {
    let replicas = ids("7520", 10);
    let mut others: Vec<DaemonId> = replicas[1..].to_vec();
    others.reverse();
    for daemon in ids("7600", 281) {
        let before = home_replica(&daemon, &replicas);
        let after = home_replica(&daemon, &others);
        if before != Some(&replicas[0]) {
            assert_eq!(before, after);
        }
    }
    assert_eq!(home_replica(&replicas[0], &[]), None);
}
