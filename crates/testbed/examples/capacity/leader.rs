//! Costs at the leader as the number of endpoints grows, and costs of views at replicas and
//! daemons.

use std::sync::Arc;

use sycamoreflow_coordination::leases::Leases;
use sycamoreflow_coordination::machine::ControlState;
use sycamoreflow_daemon::control::hub::Hub;
use sycamoreflow_daemon::control::leader::Leader;
use sycamoreflow_daemon::control::replica::event_queue;
use sycamoreflow_protocol::codec;
use sycamoreflow_protocol::distribution::FromReplica;
use sycamoreflow_protocol::replica::{Forwarded, ToLeader};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{ConfigVersion, Millis};
use sycamoreflow_state::view::{Delta, Interest, View};

use crate::meter::{Meter, resident_kib};
use crate::table::{Measure, Table, measure};
use crate::world;

const REPEATS: usize = 5;
/// Repeats of the measures with a complete leader, which take seconds at the largest size.
const LEADER_REPEATS: usize = 3;
/// Number of views held at once, over which their memory is averaged.
const VIEWS: usize = 4;

/// Stride between consecutive daemons in the shuffled order. It is a prime that divides none of the
/// sizes, so that each daemon occurs once.
const SHUFFLE_STRIDE: usize = 7_919;

const VIEW_KIB: Measure = measure("memory of a view", "endpoints", "KiB");
const FULL_BYTES: Measure = measure("bytes of a full state", "endpoints", "B");
const RENEW: Measure = measure("processor time of a lease renewal", "endpoints", "us");
const FORWARDED_RENEWAL: Measure =
    measure("processor time of a forwarded renewal", "endpoints", "us");
const LEASE_TICK: Measure = measure("processor time of a lease tick", "endpoints", "us");
const LEADER_TICK: Measure = measure("processor time of a leader tick", "endpoints", "us");
const PUBLICATION: Measure = measure("processor time of a publication", "endpoints", "us");
const HUB_PUBLISH: Measure = measure("processor time of Hub::publish", "endpoints", "us");
const HUB_UPDATE: Measure = measure("processor time of one encoded update", "endpoints", "us");
const IN_FORCE_ORDERED: Measure = measure("in-force message, in order of ids", "endpoints", "us");
const IN_FORCE_SHUFFLED: Measure = measure("in-force message, in mixed order", "endpoints", "us");
const CHOOSE_HOLDERS: Measure = measure("choice of all key holders", "endpoints", "us");
const CHECK_HOLDERS: Measure = measure("check of all key holders, each second", "endpoints", "us");
const APPLY: Measure = measure("processor time of View::apply", "endpoints", "us");
const FULL_ENCODE: Measure = measure("processor time of a full encoding", "endpoints", "us");
const FULL_DECODE: Measure = measure("processor time of a full decoding", "endpoints", "us");

/// Measures the memory of a view and the size of its encoding as a full state.
pub(crate) fn view_memory(table: &mut Table) -> eyre::Result<()> {
    // Views are kept until the end: reuse of freed memory would not show in the resident memory.
    let mut kept: Vec<View> = Vec::new();
    for _ in 0..REPEATS {
        for endpoints in world::ENDPOINTS {
            let before = resident_kib();
            for _ in 0..VIEWS {
                kept.push(world::view(world::SERVICES, endpoints));
            }
            let each = (resident_kib() - before) / VIEWS as f64;
            table.add(VIEW_KIB, endpoints as f64, each);
        }
    }
    for view in kept.iter().step_by(VIEWS).take(world::ENDPOINTS.len()) {
        let bytes = codec::encode(&Delta::full(view))?.len();
        table.add(FULL_BYTES, view.endpoints().count() as f64, bytes as f64);
    }
    // The views are leaked, since later measurements that reuse their memory would show too little.
    std::mem::forget(kept);
    Ok(())
}

/// Measures lease renewals, ticks and publications at the leader, and the distribution of views.
pub(crate) fn leader(table: &mut Table) -> eyre::Result<()> {
    for repeat in 0..REPEATS {
        for endpoints in world::ENDPOINTS {
            measure_leases(table, endpoints);
            if repeat < LEADER_REPEATS {
                measure_leader(table, endpoints);
            }
            measure_distribution(table, endpoints)?;
        }
    }
    Ok(())
}

fn measure_leases(table: &mut Table, count: usize) {
    let size = count as f64;
    let endpoints: Vec<_> = (0..count)
        .map(|index| world::endpoint(index, 880))
        .collect();
    let mut leases = Leases::default();
    let copy = endpoints.iter().cloned();
    leases.take_over(Millis(1_000), 1, copy, &Default::default());
    let meter = Meter::thread();
    for endpoint in &endpoints {
        let announced = std::slice::from_ref(endpoint);
        leases.renew(Millis(1_500), &endpoint.daemon, announced);
    }
    table.add(RENEW, size, meter.cpu_us() / size);
    let meter = Meter::thread();
    for tick in 0..20 {
        leases.tick(Millis(1_500 + tick * 50), |_| Share::NONE);
    }
    table.add(LEASE_TICK, size, meter.cpu_us() / 20.0);
}

fn measure_leader(table: &mut Table, count: usize) {
    let size = count as f64;
    let state = world::state(&world::config(world::SERVICES));
    let empty = View::new(Interest::All);
    let initial = ControlState::default();
    let mut leader = Leader::new(Millis(1_000), Millis(1), 1, &empty, &initial, &[]);
    let renew = |index: usize| {
        let endpoint = world::endpoint(index, world::SERVICES);
        Forwarded {
            daemon: endpoint.daemon.clone(),
            content: ToLeader::Renew {
                departures: Vec::new(),
                endpoints: vec![endpoint],
                in_force: None,
            },
        }
    };
    for index in 0..count {
        leader.handle_message(Millis(1_000), Millis(1), renew(index));
    }
    leader.publication(Millis(1_000), &state);
    let messages: Vec<Forwarded> = (0..count).map(renew).collect();
    let meter = Meter::thread();
    for message in messages {
        leader.handle_message(Millis(1_500), Millis(1), message);
    }
    table.add(FORWARDED_RENEWAL, size, meter.cpu_us() / size);
    let meter = Meter::thread();
    for tick in 0..10 {
        leader.tick(Millis(1_500 + tick * 50), &state);
    }
    table.add(LEADER_TICK, size, meter.cpu_us() / 10.0);
    let meter = Meter::thread();
    for _ in 0..5 {
        leader.mark_dirty();
        leader.publication(Millis(2_000), &state);
    }
    table.add(PUBLICATION, size, meter.cpu_us() / 5.0);
    measure_key_holders(table, &mut leader, state, count);
    measure_in_force(
        table,
        IN_FORCE_ORDERED,
        &mut leader,
        1,
        |index| index,
        count,
    );
    measure_in_force(
        table,
        IN_FORCE_SHUFFLED,
        &mut leader,
        2,
        |index| index * SHUFFLE_STRIDE % count,
        count,
    );
}

/// Measures the decision on the key holders of all services, which the leader makes every second:
/// first while services have none yet, then when nothing has to change.
fn measure_key_holders(
    table: &mut Table,
    leader: &mut Leader,
    mut state: ControlState,
    count: usize,
) {
    let mut now = Millis(4_000);
    let mut index = 2;
    loop {
        let meter = Meter::thread();
        let commands = leader.next_commands(now, Millis(1), &state);
        if commands.is_empty() {
            break;
        }
        table.add(CHOOSE_HOLDERS, count as f64, meter.cpu_us());
        for command in &commands {
            state.apply(index, command);
            index += 1;
        }
        now = now.after(Millis(1_000));
    }
    let meter = Meter::thread();
    leader.next_commands(now.after(Millis(1_000)), Millis(1), &state);
    table.add(CHECK_HOLDERS, count as f64, meter.cpu_us());
}

/// Measures the messages by which all daemons confirm a version. At each message the leader
/// searches for daemons that have not confirmed yet, so the cost depends on the order of the
/// messages.
fn measure_in_force(
    table: &mut Table,
    measure: Measure,
    leader: &mut Leader,
    version: u64,
    order: impl Fn(usize) -> usize,
    count: usize,
) {
    let mut config = world::config(1);
    let mut state = world::state(&config);
    for number in 2..=version {
        world::change(&mut config, number as u32);
        let command = world::approval(&config, ConfigVersion(number - 1), number as u32);
        state.apply(number, &command);
    }
    leader.mark_dirty();
    leader.publication(Millis(2_000), &state);
    let messages: Vec<Forwarded> = (0..count)
        .map(|index| Forwarded {
            daemon: world::daemon(order(index)).into(),
            content: ToLeader::InForce(world::version(version, 1)),
        })
        .collect();
    let meter = Meter::thread();
    for message in messages {
        leader.handle_message(Millis(2_000), Millis(1), message);
    }
    table.add(measure, count as f64, meter.cpu_us() / count as f64);
}

fn measure_distribution(table: &mut Table, count: usize) -> eyre::Result<()> {
    let size = count as f64;
    let old = world::view(world::SERVICES, count);
    let mut config = world::config(world::SERVICES);
    world::change(&mut config, 0);
    let mut new = old.clone();
    for (key, resource) in world::state(&config).resources() {
        new.insert(key, Arc::new(resource));
    }
    new.set_version(world::version(2, 1));
    let have = Some(old.version());
    let (events, _kept) = event_queue();
    let hub = Hub::new(200, events);
    hub.publish(old.clone());
    let meter = Meter::thread();
    hub.publish(new);
    table.add(HUB_PUBLISH, size, meter.cpu_us());
    let meter = Meter::thread();
    let Some((frame, _)) = hub.update_for(&Interest::All, have) else {
        eyre::bail!("the hub has no update for the change");
    };
    table.add(HUB_UPDATE, size, meter.cpu_us());
    let update = FromReplica::from_frame(&frame)?;
    let FromReplica::Update(delta) = update else {
        eyre::bail!("the hub sent a message other than an update");
    };
    let meter = Meter::thread();
    let applied = old.apply(&delta);
    table.add(APPLY, size, meter.cpu_us());
    if let Err(rejection) = applied {
        eyre::bail!("a delta was rejected: {rejection}");
    }
    let meter = Meter::thread();
    let frame = codec::encode(&Delta::full(&old))?;
    table.add(FULL_ENCODE, size, meter.cpu_us());
    let meter = Meter::thread();
    let _: Delta = codec::decode(&frame)?;
    table.add(FULL_DECODE, size, meter.cpu_us());
    Ok(())
}
