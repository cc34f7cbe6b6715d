//! A control replica that doesn't lead freezes, right before a change of the configuration. Each
//! daemon must handle requests by the new version as soon as it counts as in touch.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::client;
use crate::deployment::{ADMIN, APP, Deployment, OUTBOUND, Signal, config};
use crate::endpoint::Endpoint;
use crate::{Context, Result};

/// `touch`: time after the start of the freeze from which calm machines are in touch.
const TOUCH_MS: u64 = 3_000;
/// `configApply`: time after the acknowledgement from which a version has to be in force.
const APPLY_MS: u64 = 2_000;
/// Length of a freeze, and the calm after it.
const FREEZE: Duration = Duration::from_millis(5_500);
const CALM: Duration = Duration::from_millis(7_000);
/// Time after the start of a freeze from which the clients send requests, and their pause.
const QUIET: Duration = Duration::from_millis(2_800);
const PAUSE: Duration = Duration::from_millis(25);
const ROUNDS: usize = 7;
const SERVICES: [&str; 22] = [
    "alpha", "alpha", "beta", "beta", "caller", "caller", "caller", "caller", "caller", "caller",
    "caller", "caller", "caller", "caller", "caller", "caller", "caller", "caller", "caller",
    "caller", "caller", "caller",
];

/// Change in force: time of its acknowledgement, freeze before it, and the service of the route.
#[derive(Clone, Copy, Default)]
struct Change {
    acked_ms: u64,
    frozen_ms: u64,
    thawed_ms: u64,
    service: usize,
}

/// Names of the services, for the configuration.
const NAMES: [&str; 3] = ["alpha", "beta", "caller"];

pub fn run(context: &Context) -> Result {
    let record = &context.record;
    let deployment = Deployment::start(&context.dir, &SERVICES);
    let mut endpoints = Vec::new();
    for (machine, service) in deployment.sides.iter().zip(SERVICES) {
        let id = format!("i-{service}-{}", machine.name);
        let mut endpoint = Endpoint::new(
            &id,
            service,
            machine.address(APP),
            machine.address(ADMIN),
            record.clone(),
        );
        endpoint.work = Duration::from_millis(5);
        endpoint.quiet = true;
        let endpoint = Arc::new(endpoint);
        endpoint.start();
        endpoints.push(endpoint);
    }
    if !deployment.order(
        "/Config.Replace",
        &config(1, 0, "safe", "alpha", &NAMES, 2),
        Duration::from_secs(20),
    ) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Err("a daemon is not ready".to_owned());
    }
    // The subscriptions move to the home replica of each daemon in the first seconds.
    sleep(Duration::from_secs(7));
    let change = Arc::new(Mutex::new(Change::default()));
    let stale: Arc<Mutex<BTreeMap<String, Vec<u64>>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let sending = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(0u64));
    let mut clients = Vec::new();
    for machine in &deployment.sides {
        let (daemon, name) = (machine.address(OUTBOUND), machine.name.clone());
        let (record, change, stale) = (record.clone(), change.clone(), stale.clone());
        let (stop, served, sending) = (stop.clone(), served.clone(), sending.clone());
        clients.push(thread::spawn(move || {
            let mut kept = None;
            while !stop.load(Ordering::SeqCst) {
                sleep(PAUSE);
                if !sending.load(Ordering::SeqCst) {
                    continue;
                }
                let outcome = client::send(daemon, "GET", &mut kept, &record);
                *served.lock().expect("served") += u64::from(outcome.status == 200);
                let now = *change.lock().expect("change");
                // No version but the newest has been in force for long.
                let due = (now.acked_ms + APPLY_MS).max(now.frozen_ms + TOUCH_MS);
                let judged = now.acked_ms > 0
                    && outcome.status == 200
                    && outcome.sent_ms > due
                    && record.now_ms() < now.thawed_ms;
                let run_by = ["alpha", "beta"].iter().position(|s| outcome.body.ends_with(s));
                if judged && run_by != Some(now.service) {
                    let after = outcome.sent_ms - now.acked_ms;
                    record.line(&format!(
                        "CONFIG: {} sent to {name} {after} ms after the acknowledgement and {} ms after the freeze was run by the old service: {}",
                        outcome.id, outcome.sent_ms - now.frozen_ms, outcome.body
                    ));
                    stale.lock().expect("stale").entry(name.clone()).or_default().push(after);
                }
            }
        }));
    }
    for round in 1..=ROUNDS {
        let leader = deployment.leader().ok_or("no replica leads")?;
        let frozen = (leader + 1 + round % 2) % 3;
        let service = round % 2;
        let name = &deployment.cores[frozen].name;
        if context.trouble {
            record.line(&format!(
                "round {round}: {name} freezes; the leader is core-{leader}"
            ));
            deployment.cores[frozen].signal(Signal::Stop);
        }
        let frozen_ms = record.now_ms();
        let body = config(round + 1, round, "safe", NAMES[service], &NAMES, 2);
        let acked = deployment.order_at(leader, "/Config.Replace", &body);
        let acked_ms = record.now_ms();
        record.line(&format!("version {} acknowledged: {acked}", round + 1));
        if acked {
            let thawed_ms = frozen_ms + FREEZE.as_millis() as u64;
            *change.lock().expect("change") = Change {
                acked_ms,
                frozen_ms,
                thawed_ms,
                service,
            };
        }
        let sleep_until = |time: Duration| {
            let time_ms = frozen_ms + time.as_millis() as u64;
            sleep(Duration::from_millis(
                time_ms.saturating_sub(record.now_ms()),
            ));
        };
        sleep_until(QUIET);
        sending.store(true, Ordering::SeqCst);
        sleep_until(FREEZE);
        sending.store(false, Ordering::SeqCst);
        *change.lock().expect("change") = Change::default();
        if context.trouble {
            deployment.cores[frozen].signal(Signal::Cont);
        }
        sleep(CALM);
        if !acked && !deployment.order("/Config.Replace", &body, Duration::from_secs(5)) {
            return Err("a change was not acknowledged".to_owned());
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let served = *served.lock().expect("served");
    let stale = stale.lock().expect("stale");
    let requests: usize = stale.values().map(Vec::len).sum();
    let text = format!(
        "{served} requests served, {requests} by an old version at {} daemons",
        stale.len()
    );
    record.line(&text);
    println!("{text}");
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(requests == 0)
}
