//! An endpoint deregisters and serves on for some seconds. The daemon beside it is killed and
//! restarted right after the acknowledgement, and a heartbeat from before arrives late.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::client::Clients;
use crate::deployment::{ADMIN, APP, Deployment, OUTBOUND, config};
use crate::endpoint::Endpoint;
use crate::{Context, Result};

/// `drain`: time after the acknowledgement from which no request may reach the endpoint.
const DRAIN_MS: u64 = 2_000;
/// `touch`: time after the restart from which the daemon is in touch again.
const TOUCH_MS: u64 = 3_000;
/// Time after the acknowledgement at which the daemon is killed, and its time down.
const KILL_AFTER: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_millis(300);
/// Time between a heartbeat and its late arrival.
const LATE: Duration = Duration::from_millis(1_200);
/// Time for which the endpoint serves after the acknowledgement.
const SERVES: Duration = Duration::from_millis(7_500);

pub fn run(context: &Context) -> Result {
    let record = &context.record;
    let mut deployment = Deployment::start(&context.dir, &["orders", "orders", "catalogue"]);
    let mut endpoints = Vec::new();
    for (side, service) in ["orders", "orders", "catalogue"].iter().enumerate() {
        let machine = &deployment.sides[side];
        let id = format!("i-{service}-{side}");
        let endpoint = Arc::new(Endpoint::new(
            &id,
            service,
            machine.address(APP),
            machine.address(ADMIN),
            record.clone(),
        ));
        endpoint.start();
        endpoints.push(endpoint);
    }
    let config = config(3, 0, "unsafe", "orders", &["orders", "catalogue"], 2);
    if !deployment.order("/Config.Replace", &config, Duration::from_secs(20)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Err("a daemon is not ready".to_owned());
    }
    deployment.sides[0].clear_bootstrap();
    sleep(Duration::from_secs(4));
    let entry = deployment.sides[2].address(OUTBOUND);
    let clients = Clients::start(entry, "POST", 10, Duration::from_millis(200), record);
    sleep(Duration::from_secs(4));
    let leaving = &endpoints[0];
    leaving.beating.store(false, Ordering::SeqCst);
    // Held up on its way from here on.
    let late_heartbeat = leaving.heartbeat("ready");
    if !leaving.deregister() {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acked_ms = record.now_ms();
    sleep(KILL_AFTER);
    if context.trouble {
        record.line("the daemon beside the endpoint is killed");
        deployment.sides[0].kill();
        sleep(DOWN);
        deployment.sides[0].start();
    } else {
        sleep(DOWN);
    }
    let started_ms = record.now_ms();
    record.line("the daemon beside the endpoint runs");
    let since_ack = Duration::from_millis(record.now_ms() - acked_ms);
    sleep(LATE.saturating_sub(since_ack));
    leaving.send_heartbeat(&late_heartbeat, true);
    let since_ack = Duration::from_millis(record.now_ms() - acked_ms);
    sleep(SERVES.saturating_sub(since_ack));
    let outcomes = clients.finish();
    let due = (acked_ms + DRAIN_MS).max(started_ms + TOUCH_MS);
    let runs = leaving.runs.lock().expect("runs").clone();
    let before = runs.values().flatten().filter(|at| **at < acked_ms).count();
    let mut late = 0;
    for (id, times) in &runs {
        for at in times.iter().filter(|at| **at > due) {
            late += 1;
            record.line(&format!(
                "DRAIN: {id} reached the endpoint {} ms after the acknowledgement and {} ms after the start of its daemon",
                at - acked_ms,
                at - started_ms
            ));
        }
    }
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    let text = format!(
        "{} requests, {served} served; {before} reached the endpoint before the acknowledgement, {late} too late",
        outcomes.len()
    );
    record.line(&text);
    println!("{text}");
    if before == 0 {
        return Err("the endpoint got no request before".to_owned());
    }
    Ok(late == 0)
}
