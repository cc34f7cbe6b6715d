//! Costs of distribution over real links as the number of subscribers grows.
//!
//! Both ends of the links are in this process, so processor time and memory include the replica and
//! the subscribers' ends of the links. The subscribers decode and confirm updates but keep no view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task;
use futures::future::join_all;
use sycamoreflow_state::ids::ViewVersion;

use crate::baseline::Baseline;
use crate::light::{Counts, LightSubscriber};
use crate::meter::{Meter, resident_kib};
use crate::replica::Replica;
use crate::table::{Measure, Table, measure};

const REPEATS: usize = 2;
const SUBSCRIBERS: [usize; 3] = [10, 100, 1_000];
/// Number of services of the distributed view, and largest number of endpoints in that of the
/// baseline. The full state has about 60 KB.
const SERVICES: usize = 100;
const CHANGES: usize = 10;
const REST: Duration = Duration::from_secs(3);
/// Time without updates after which a replica is at rest. It exceeds the interval of one second at
/// which key holders are chosen.
const QUIET_TIME: Duration = Duration::from_millis(1_500);
const TIMEOUT: Duration = Duration::from_secs(60);
const STORM_SIZE: usize = 1_000;
const JOIN_RATES: [u32; 3] = [200, 400, 800];
/// Joins per second, high enough not to delay the subscribers where joins are not measured.
const UNLIMITED_JOINS: u32 = 100_000;

const MEMORY: Measure = measure("memory of all links (both ends)", "subscribers", "KiB");
const REST_CPU: Measure = measure("processor time at rest per second", "subscribers", "us");
const REST_BYTES: Measure = measure("bytes at rest per second", "subscribers", "B");
const CHANGE_CPU: Measure = measure("processor time of a change", "subscribers", "us");
const CHANGE_BYTES: Measure = measure("bytes of a change", "subscribers", "B");
const CHANGE_TIME: Measure = measure("time of a change, all confirmed", "subscribers", "ms");
const FULL_CPU: Measure = measure("full state: processor time", "subscribers", "us");
const FULL_BYTES: Measure = measure("full state: bytes", "subscribers", "B");
const FULL_TIME: Measure = measure("full state: time, all confirmed", "subscribers", "ms");
const START: [Measure; 3] = [
    measure("1,000 first starts: time", "joins/s", "s"),
    measure("1,000 first starts: bytes", "joins/s", "B"),
    measure("1,000 first starts: processor time", "joins/s", "ms"),
];
const RETURN: [Measure; 3] = [
    measure("1,000 returns with a view: time", "joins/s", "s"),
    measure("1,000 returns with a view: bytes", "joins/s", "B"),
    measure("1,000 returns with a view: processor time", "joins/s", "ms"),
];
const RESTART: [Measure; 3] = [
    measure("1,000 restarts without a view: time", "joins/s", "s"),
    measure("1,000 restarts without a view: bytes", "joins/s", "B"),
    measure(
        "1,000 restarts without a view: processor time",
        "joins/s",
        "ms",
    ),
];

/// Measures changes and the state at rest as the number of subscribers grows, and the same for the
/// baseline, which sends full states.
pub(crate) fn distribution(table: &mut Table) -> eyre::Result<()> {
    let before = resident_kib();
    for repeat in 0..REPEATS {
        for count in SUBSCRIBERS {
            // Later links reuse freed memory, so memory is measured in the first repeat only.
            let before = (repeat == 0).then_some(before);
            task::block_on(measure_deltas(table, count, before))?;
            task::block_on(measure_full_states(table, count))?;
        }
    }
    Ok(())
}

/// Measures how long 1,000 daemons that connect at once take to join, at several rates of
/// admission.
pub(crate) fn reconnect_storm(table: &mut Table) -> eyre::Result<()> {
    for _ in 0..2 {
        for rate in JOIN_RATES {
            task::block_on(measure_reconnects(table, rate))?;
        }
    }
    Ok(())
}

/// Connects `count` subscribers that announce one endpoint each.
async fn connect(
    address: SocketAddr,
    count: usize,
    have: Option<ViewVersion>,
    counts: &Arc<Counts>,
) -> eyre::Result<Vec<LightSubscriber>> {
    let opening = (0..count)
        .map(|index| LightSubscriber::open(address, index, SERVICES, have, counts.clone()));
    join_all(opening).await.into_iter().collect()
}

/// Waits until every subscriber has confirmed the configuration version `config` or a later one.
async fn wait_until_confirmed(subscribers: &[LightSubscriber], config: u64) -> eyre::Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    for subscriber in subscribers {
        while subscriber.config() < config {
            if Instant::now() > deadline {
                eyre::bail!("a subscriber did not confirm version {config}");
            }
            task::sleep(Duration::from_millis(1)).await;
        }
    }
    Ok(())
}

/// Waits until no more updates arrive. The announced endpoints lead to publications after the
/// subscribers have been admitted.
async fn wait_until_quiet(counts: &Counts) {
    let mut last = u64::MAX;
    loop {
        let updates = counts.updates.load(Ordering::Relaxed);
        if updates == last {
            return;
        }
        last = updates;
        task::sleep(QUIET_TIME).await;
    }
}

fn bytes(subscribers: &[LightSubscriber]) -> f64 {
    subscribers.iter().map(LightSubscriber::bytes).sum::<u64>() as f64
}

async fn measure_deltas(table: &mut Table, count: usize, before: Option<f64>) -> eyre::Result<()> {
    let size = count as f64;
    let mut replica = Replica::start(SERVICES, UNLIMITED_JOINS).await?;
    let counts = Arc::new(Counts::default());
    let subscribers = connect(replica.address(), count, None, &counts).await?;
    wait_until_confirmed(&subscribers, 1).await?;
    wait_until_quiet(&counts).await;
    if let Some(before) = before {
        table.add(MEMORY, size, resident_kib() - before);
    }

    let bytes_before = bytes(&subscribers);
    let meter = Meter::process();
    task::sleep(REST).await;
    let seconds = meter.seconds();
    let rest_cpu = meter.cpu_us() / seconds;
    let rest_bytes = (bytes(&subscribers) - bytes_before) / seconds;
    table.add(REST_CPU, size, rest_cpu);
    table.add(REST_BYTES, size, rest_bytes);

    let bytes_before = bytes(&subscribers);
    let meter = Meter::process();
    for _ in 0..CHANGES {
        let start = Instant::now();
        let version = replica.change().await?;
        wait_until_confirmed(&subscribers, version.0).await?;
        table.add(CHANGE_TIME, size, start.elapsed().as_secs_f64() * 1e3);
    }
    let cpu = meter.cpu_us() - rest_cpu * meter.seconds();
    let used = bytes(&subscribers) - bytes_before - rest_bytes * meter.seconds();
    table.add(CHANGE_CPU, size, cpu / CHANGES as f64);
    table.add(CHANGE_BYTES, size, used / CHANGES as f64);
    close_all(subscribers).await;
    replica.stop().await;
    Ok(())
}

async fn measure_full_states(table: &mut Table, count: usize) -> eyre::Result<()> {
    let size = count as f64;
    let mut baseline = Baseline::start(SERVICES, count.min(SERVICES)).await?;
    let counts = Arc::new(Counts::default());
    let subscribers = connect(baseline.address(), count, None, &counts).await?;
    let version = baseline.send_change()?;
    wait_until_confirmed(&subscribers, version).await?;
    let bytes_before = bytes(&subscribers);
    let meter = Meter::process();
    task::sleep(Duration::from_secs(1)).await;
    let rest_cpu = meter.cpu_us() / meter.seconds();
    let rest_bytes = (bytes(&subscribers) - bytes_before) / meter.seconds();

    let bytes_before = bytes(&subscribers);
    let meter = Meter::process();
    for _ in 0..CHANGES {
        let start = Instant::now();
        let version = baseline.send_change()?;
        wait_until_confirmed(&subscribers, version).await?;
        table.add(FULL_TIME, size, start.elapsed().as_secs_f64() * 1e3);
    }
    let cpu = meter.cpu_us() - rest_cpu * meter.seconds();
    let used = bytes(&subscribers) - bytes_before - rest_bytes * meter.seconds();
    table.add(FULL_CPU, size, cpu / CHANGES as f64);
    table.add(FULL_BYTES, size, used / CHANGES as f64);
    close_all(subscribers).await;
    baseline.stop().await;
    Ok(())
}

async fn close_all(subscribers: Vec<LightSubscriber>) {
    for subscriber in subscribers {
        subscriber.close().await;
    }
    // Gives the other ends time to notice the closed links before the next measurement.
    task::sleep(Duration::from_millis(200)).await;
}

/// Measures three cases in which all daemons connect to one replica at once: the first start, when
/// every endpoint is new; a reconnection of daemons that have a view; and a restart without views.
async fn measure_reconnects(table: &mut Table, rate: u32) -> eyre::Result<()> {
    let replica = Replica::start(SERVICES, rate).await?;
    let subscribers = measure_joins(table, &replica, rate, START, None).await?;
    close_all(subscribers).await;
    let have = Some(replica.hub().view().version());
    let subscribers = measure_joins(table, &replica, rate, RETURN, have).await?;
    close_all(subscribers).await;
    let subscribers = measure_joins(table, &replica, rate, RESTART, None).await?;
    close_all(subscribers).await;
    replica.stop().await;
    Ok(())
}

/// Measures the time until all daemons are admitted and, if they start without a view, have
/// received one. Bytes and processor time are counted until no more updates arrive.
async fn measure_joins(
    table: &mut Table,
    replica: &Replica,
    rate: u32,
    [time, bytes_used, cpu]: [Measure; 3],
    have: Option<ViewVersion>,
) -> eyre::Result<Vec<LightSubscriber>> {
    let counts = Arc::new(Counts::default());
    let meter = Meter::process();
    let subscribers = connect(replica.address(), STORM_SIZE, have, &counts).await?;
    if have.is_none() {
        wait_until_confirmed(&subscribers, 1).await?;
    }
    table.add(time, f64::from(rate), meter.seconds());
    wait_until_quiet(&counts).await;
    table.add(cpu, f64::from(rate), meter.cpu_us() / 1e3);
    let used = bytes(&subscribers) + counts.refused_bytes.load(Ordering::Relaxed) as f64;
    table.add(bytes_used, f64::from(rate), used);
    Ok(subscribers)
}
