//! An endpoint sends a second copy of its rejection late, where the answer to the next request on
//! the connection is due. The next request there is the repetition of the rejected one, so that
//! both have the same `Attempt-Id`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::client::Clients;
use crate::deployment::{ADMIN, APP, Deployment, OUTBOUND, config};
use crate::endpoint::Endpoint;
use crate::{Context, Result};

/// Settings in which the variants differ.
pub struct Variant {
    /// `maxAttempts` of the route.
    pub max_attempts: usize,
    /// Share of the requests that the endpoint rejects, in thousandths: `srv_grey` with `shed`.
    pub shed_thousandths: u64,
}

/// Share of the answers that get a late second copy: `garble` with `extra late` and `x = 0.03`.
const LATE_THOUSANDTHS: u64 = 30;
/// Length of both disruptions in one round, and the calm between two rounds.
const ROUND: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(3);
const ROUNDS: usize = 8;

pub fn run(context: &Context, variant: &Variant) -> Result {
    let record = &context.record;
    let deployment = Deployment::start(&context.dir, &["orders", "catalogue"]);
    let endpoint = |side: usize, service: &str| {
        let machine = &deployment.sides[side];
        let id = format!("i-{service}");
        let (app, admin) = (machine.address(APP), machine.address(ADMIN));
        let mut endpoint = Endpoint::new(&id, service, app, admin, record.clone());
        endpoint.work = Duration::from_millis(20);
        Arc::new(endpoint)
    };
    let orders = endpoint(0, "orders");
    let catalogue = endpoint(1, "catalogue");
    orders.start();
    catalogue.start();
    let config = config(
        3,
        0,
        "unsafe",
        "orders",
        &["orders", "catalogue"],
        variant.max_attempts,
    );
    if !deployment.order("/Config.Replace", &config, Duration::from_secs(20)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        return Err("a daemon is not ready".to_owned());
    }
    sleep(Duration::from_secs(4));
    let entry = deployment.sides[1].address(OUTBOUND);
    let clients = Clients::start(entry, "POST", 40, Duration::from_millis(160), record);
    sleep(CALM);
    for round in 1..=ROUNDS {
        if context.trouble {
            record.line(&format!(
                "round {round}: the endpoint of orders rejects and repeats answers"
            ));
            orders
                .shed
                .store(variant.shed_thousandths, Ordering::SeqCst);
            orders.late_copies.store(LATE_THOUSANDTHS, Ordering::SeqCst);
        }
        sleep(ROUND);
        orders.shed.store(0, Ordering::SeqCst);
        orders.late_copies.store(0, Ordering::SeqCst);
        sleep(CALM);
    }
    let outcomes = clients.finish();
    sleep(Duration::from_secs(1));
    let runs: BTreeMap<String, Vec<u64>> = orders.runs.lock().expect("runs").clone();
    let (mut refused_but_run, mut twice, mut served) = (0, 0, 0);
    for outcome in &outcomes {
        let count = runs.get(&outcome.id).map_or(0, Vec::len);
        if matches!(outcome.status, 408 | 421 | 429 | 503) && count > 0 {
            refused_but_run += 1;
            record.line(&format!(
                "REFUSED: {} was answered {} and ran",
                outcome.id, outcome.status
            ));
        }
        if count > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {} ran {count} times, answered {}",
                outcome.id, outcome.status
            ));
        }
        served += usize::from(outcome.status == 200);
    }
    let text = format!(
        "{} requests, {served} served, {refused_but_run} refused though they ran, {twice} ran twice",
        outcomes.len()
    );
    record.line(&text);
    println!("{text}");
    if served == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(refused_but_run == 0 && twice == 0)
}
