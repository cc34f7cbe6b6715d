//! Costs of a view at a daemon as the number of endpoints grows, and costs of the version floors
//! that a daemon records as a witness for others.

use std::sync::Arc;

use async_std::channel;
use sycamoreflow_coordination::dedup::HolderConfig;
use sycamoreflow_coordination::floor::Witness;
use sycamoreflow_daemon::proxy::crashes::CrashTracker;
use sycamoreflow_daemon::proxy::held_lease::HeldLease;
use sycamoreflow_daemon::proxy::keys::Keys;
use sycamoreflow_daemon::proxy::links::CallLinks;
use sycamoreflow_daemon::proxy::owner::{Owner, OwnerLimits};
use sycamoreflow_daemon::proxy::{Proxy, ProxyComponents};
use sycamoreflow_daemon::traffic::Traffic;
use sycamoreflow_protocol::codec;
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis};
use sycamoreflow_state::view::{Delta, View};
use sycamoreflow_transport::http::client::{self, Client};
use sycamoreflow_transport::link;

use crate::meter::{Meter, resident_kib};
use crate::replica::identity;
use crate::table::{Measure, Table, measure};
use crate::world;

const REPEATS: usize = 3;
/// Number of proxies held at once, over which their memory is averaged.
const PROXIES: usize = 4;

const MEMORY: Measure = measure("memory of a proxy and its view", "endpoints", "KiB");
const FIRST_ACTIVATION: Measure =
    measure("processor time of the first activation", "endpoints", "us");
const NEXT_ACTIVATION: Measure = measure("processor time of an activation", "endpoints", "us");
const STAGE: Measure = measure("processor time of a staged version", "daemons", "us");

/// Measures proxies with views of several sizes, and witnesses. Every proxy decodes its own copy of
/// the view.
pub(crate) fn proxies(table: &mut Table) -> eyre::Result<()> {
    for _ in 0..REPEATS {
        for endpoints in world::ENDPOINTS {
            measure_activation(table, endpoints)?;
        }
        for daemons in [3, 300, 14_000] {
            measure_staging(table, daemons);
        }
    }
    Ok(())
}

fn proxy() -> eyre::Result<Proxy> {
    let limits = OwnerLimits {
        max_wait: Millis(100),
        queue_per_slot: 4,
        adaptive_limit: true,
        link_bytes_per_s: 0,
    };
    let address = world::endpoint(0, 1).address;
    let identity = identity(&world::daemon(0))?;
    let daemon: DaemonId = world::daemon(0).into();
    let (urgent_report, _) = channel::bounded(1);
    let crashes = Arc::new(CrashTracker::new(daemon.clone(), 1, urgent_report.clone()));
    let owner = Owner::new(
        daemon.clone(),
        "dc".into(),
        address,
        limits,
        Client::new(client::Limits::default()),
        crashes.clone(),
    );
    let keys = Keys::new(
        identity.clone(),
        link::Limits::default(),
        Arc::new(Traffic::keys()),
        1,
        HolderConfig::default(),
    );
    Ok(Proxy::new(ProxyComponents {
        daemon,
        data_centre: "dc".into(),
        incarnation: 1,
        links: CallLinks::new(identity, link::Limits::default()),
        owner: Arc::new(owner),
        keys: Arc::new(keys),
        crashes,
        key_lease: HeldLease::new(Millis(0)),
        dialect: Arc::default(),
        own_service: None,
        shared_retries: None,
        urgent_report,
    }))
}

fn measure_activation(table: &mut Table, endpoints: usize) -> eyre::Result<()> {
    let size = endpoints as f64;
    let frame = codec::encode(&Delta::full(&world::view(world::SERVICES, endpoints)))?;
    let mut kept = Vec::new();
    let before = resident_kib();
    for _ in 0..PROXIES {
        let delta: Delta = codec::decode(&frame)?;
        let view = View::from_full(&sycamoreflow_state::view::Interest::All, &delta);
        drop(delta);
        let view =
            view.map_err(|rejection| eyre::eyre!("a full state was rejected: {rejection}"))?;
        let proxy = proxy()?;
        let view = Arc::new(view);
        let meter = Meter::thread();
        proxy.activate(view.clone());
        table.add(FIRST_ACTIVATION, size, meter.cpu_us());
        let meter = Meter::thread();
        proxy.activate(view);
        table.add(NEXT_ACTIVATION, size, meter.cpu_us());
        kept.push(proxy);
    }
    let each = (resident_kib() - before) / PROXIES as f64;
    table.add(MEMORY, size, each);
    // The proxies are leaked, since later measurements that reuse their memory would show too
    // little.
    std::mem::forget(kept);
    Ok(())
}

fn measure_staging(table: &mut Table, daemons: usize) {
    let ids: Vec<DaemonId> = (0..daemons)
        .map(|index| world::daemon(index).into())
        .collect();
    let mut witness = Witness::default();
    for id in &ids {
        witness.stage(id, ConfigVersion(1));
    }
    let rounds = (14_000 / daemons).max(1);
    let meter = Meter::thread();
    for round in 0..rounds {
        for id in &ids {
            witness.stage(id, ConfigVersion(2 + round as u64));
        }
    }
    let count = (rounds * daemons) as f64;
    table.add(STAGE, daemons as f64, meter.cpu_us() / count);
}
