//! Costs of distribution over real links by the number of subscribers.
//!
//! Both ends of the links are in this process, so processor time and memory are those of the
//! replica and of the links of its subscribers together. The subscribers decode updates and
//! confirm them, but keep no view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task;
use futures::future::join_all;
use sycamoreflow_state::ids::ViewVersion;

use crate::baseline::Baseline;
use crate::light::{Counts, Light};
use crate::meter::{Meter, resident_kib};
use crate::replica::Replica;
use crate::table::{Measure, Table, measure};

const REPEATS: usize = 2;
const SUBSCRIBERS: [usize; 3] = [10, 100, 1_000];
/// Services and endpoints of the distributed view. Its full state has about 60 KB.
const SERVICES: usize = 100;
const CHANGES: usize = 10;
const REST: Duration = Duration::from_secs(3);
/// Without updates for this long a replica is at rest: key holders are chosen once a second.
const QUIET: Duration = Duration::from_millis(1_500);
const LIMIT: Duration = Duration::from_secs(60);
const HERD: usize = 1_000;
const JOIN_RATES: [u32; 3] = [200, 400, 800];
/// Joins a second while the subscribers of a measurement connect.
const NO_JOIN_BOUND: u32 = 100_000;

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

/// Measures changes and rest by the number of subscribers, beside the baseline.
pub(crate) fn distribution(table: &mut Table) -> eyre::Result<()> {
    let before = resident_kib();
    for repeat in 0..REPEATS {
        for count in SUBSCRIBERS {
            // Later links reuse freed memory, so only the first ones count.
            let before = (repeat == 0).then_some(before);
            task::block_on(deltas(table, count, before))?;
            task::block_on(full_states(table, count))?;
        }
    }
    Ok(())
}

/// Measures the return of 1,000 daemons at once against the rate of joins.
pub(crate) fn herd(table: &mut Table) -> eyre::Result<()> {
    for _ in 0..2 {
        for rate in JOIN_RATES {
            task::block_on(return_at_once(table, rate))?;
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
) -> eyre::Result<Vec<Light>> {
    let opening = (0..count).map(|at| Light::open(address, at, SERVICES, have, counts.clone()));
    join_all(opening).await.into_iter().collect()
}

/// Waits until every subscriber has confirmed a version with this configuration.
async fn confirmed(lights: &[Light], config: u64) -> eyre::Result<()> {
    let end = Instant::now() + LIMIT;
    for light in lights {
        while light.config() < config {
            if Instant::now() > end {
                eyre::bail!("a subscriber did not confirm version {config}");
            }
            task::sleep(Duration::from_millis(1)).await;
        }
    }
    Ok(())
}

/// Waits until no update arrives any more, as announcements lead to publications of their own.
async fn settled(counts: &Counts) {
    let mut last = u64::MAX;
    loop {
        let updates = counts.updates.load(Ordering::Relaxed);
        if updates == last {
            return;
        }
        last = updates;
        task::sleep(QUIET).await;
    }
}

fn bytes(lights: &[Light]) -> f64 {
    lights.iter().map(Light::bytes).sum::<u64>() as f64
}

async fn deltas(table: &mut Table, count: usize, before: Option<f64>) -> eyre::Result<()> {
    let size = count as f64;
    let mut replica = Replica::start(SERVICES, NO_JOIN_BOUND).await?;
    let counts = Arc::new(Counts::default());
    let lights = connect(replica.address(), count, None, &counts).await?;
    confirmed(&lights, 1).await?;
    settled(&counts).await;
    if let Some(before) = before {
        table.add(MEMORY, size, resident_kib() - before);
    }

    let sent = bytes(&lights);
    let meter = Meter::process();
    task::sleep(REST).await;
    let seconds = meter.seconds();
    let rest_cpu = meter.cpu_us() / seconds;
    let rest_bytes = (bytes(&lights) - sent) / seconds;
    table.add(REST_CPU, size, rest_cpu);
    table.add(REST_BYTES, size, rest_bytes);

    let sent = bytes(&lights);
    let meter = Meter::process();
    for _ in 0..CHANGES {
        let start = Instant::now();
        let version = replica.change().await?;
        confirmed(&lights, version.0).await?;
        table.add(CHANGE_TIME, size, start.elapsed().as_secs_f64() * 1e3);
    }
    let cpu = meter.cpu_us() - rest_cpu * meter.seconds();
    let used = bytes(&lights) - sent - rest_bytes * meter.seconds();
    table.add(CHANGE_CPU, size, cpu / CHANGES as f64);
    table.add(CHANGE_BYTES, size, used / CHANGES as f64);
    close(lights).await;
    replica.stop().await;
    Ok(())
}

async fn full_states(table: &mut Table, count: usize) -> eyre::Result<()> {
    let size = count as f64;
    let mut baseline = Baseline::start(SERVICES, count.min(SERVICES)).await?;
    let counts = Arc::new(Counts::default());
    let lights = connect(baseline.address(), count, None, &counts).await?;
    let version = baseline.send_change()?;
    confirmed(&lights, version).await?;
    let sent = bytes(&lights);
    let meter = Meter::process();
    task::sleep(Duration::from_secs(1)).await;
    let rest_cpu = meter.cpu_us() / meter.seconds();
    let rest_bytes = (bytes(&lights) - sent) / meter.seconds();

    let sent = bytes(&lights);
    let meter = Meter::process();
    for _ in 0..CHANGES {
        let start = Instant::now();
        let version = baseline.send_change()?;
        confirmed(&lights, version).await?;
        table.add(FULL_TIME, size, start.elapsed().as_secs_f64() * 1e3);
    }
    let cpu = meter.cpu_us() - rest_cpu * meter.seconds();
    let used = bytes(&lights) - sent - rest_bytes * meter.seconds();
    table.add(FULL_CPU, size, cpu / CHANGES as f64);
    table.add(FULL_BYTES, size, used / CHANGES as f64);
    close(lights).await;
    baseline.stop().await;
    Ok(())
}

async fn close(lights: Vec<Light>) {
    for light in lights {
        light.close().await;
    }
    // The other ends notice the closed links before the next measurement.
    task::sleep(Duration::from_millis(200)).await;
}

/// Measures three herds at one replica: the first start, at which every endpoint is new; the return
/// of all daemons with their views; and their restart without views.
async fn return_at_once(table: &mut Table, rate: u32) -> eyre::Result<()> {
    let replica = Replica::start(SERVICES, rate).await?;
    let lights = join(table, &replica, rate, START, None).await?;
    close(lights).await;
    let have = Some(replica.hub().view().version());
    let lights = join(table, &replica, rate, RETURN, have).await?;
    close(lights).await;
    let lights = join(table, &replica, rate, RESTART, None).await?;
    close(lights).await;
    replica.stop().await;
    Ok(())
}

/// Measures until all daemons are admitted and, if they start without a view, have one. Bytes count
/// until the updates cease.
async fn join(
    table: &mut Table,
    replica: &Replica,
    rate: u32,
    [time, bytes_used, cpu]: [Measure; 3],
    have: Option<ViewVersion>,
) -> eyre::Result<Vec<Light>> {
    let counts = Arc::new(Counts::default());
    let meter = Meter::process();
    let lights = connect(replica.address(), HERD, have, &counts).await?;
    if have.is_none() {
        confirmed(&lights, 1).await?;
    }
    table.add(time, f64::from(rate), meter.seconds());
    settled(&counts).await;
    table.add(cpu, f64::from(rate), meter.cpu_us() / 1e3);
    let used = bytes(&lights) + counts.refused_bytes.load(Ordering::Relaxed) as f64;
    table.add(bytes_used, f64::from(rate), used);
    Ok(lights)
}
