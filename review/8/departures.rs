//! An endpoint leaves, and its departure is acknowledged. All processes of the system are killed and
//! are back within a second. Then a heartbeat arrives that the endpoint had sent before it left. The
//! endpoint must not get requests again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{attempt, is_ready};
use crate::deployment::Deployment;
use crate::endpoint::Endpoint;
use crate::operator::{Route, configuration, replace};
use crate::record::Record;
use crate::{Outcome, Result};

const SERVICE: &str = "huvo11a";
const BEAT: Duration = Duration::from_millis(1500);
/// `drain` of the settings.
const DRAIN_S: f64 = 2.0;
/// Twice `touch`: from then on after a final fault, calm machines are in touch.
const TOUCH_AFTER_FAULT_S: f64 = 6.0;
/// Lateness of the late heartbeat.
const LATE: Duration = Duration::from_millis(4500);
/// Time for which the endpoint serves after the acknowledgement.
const SERVES_ON: Duration = Duration::from_secs(12);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Outcome> {
    let mut deployment = Deployment::new(3, &[SERVICE; 4])?;
    let machines = deployment.machines.len();
    for machine in 0..machines {
        deployment.start(machine, true)?;
    }
    let sidecars = deployment.sidecars();
    let mut endpoints = Vec::new();
    for machine in &sidecars {
        endpoints.push(Endpoint::start(
            &format!("i-{machine:08x}"),
            SERVICE,
            &deployment.machines[*machine].zone,
            deployment.app(*machine),
            deployment.admin(*machine),
            record.clone(),
        )?);
    }
    let leaving = endpoints[0].clone();
    let has_left = Arc::new(AtomicBool::new(false));
    for endpoint in &endpoints {
        let (endpoint, leaving, has_left) = (endpoint.clone(), leaving.clone(), has_left.clone());
        thread::spawn(move || {
            while !endpoint.has_ended() {
                // The endpoint that leaves sends no more heartbeats.
                if endpoint.id == leaving.id && has_left.load(Ordering::SeqCst) {
                    return;
                }
                let body = endpoint.heartbeat("ready");
                endpoint.deliver(&body);
                thread::sleep(BEAT);
            }
        });
    }
    let cores: Vec<_> = deployment
        .cores()
        .iter()
        .map(|c| deployment.admin(*c))
        .collect();
    let routes = [Route {
        name: "r-1".into(),
        prefix: "/lepu270/".into(),
        service: SERVICE.into(),
        safe: true,
    }];
    let body = configuration(1, 0, &routes, &[SERVICE]);
    let (acknowledged, status) = replace(&cores, &body, Duration::from_secs(20));
    if !acknowledged {
        return Err(format!("the first configuration was not acknowledged ({status})").into());
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !sidecars.iter().all(|s| is_ready(deployment.ready(*s))) {
        if Instant::now() > end {
            return Err("the daemons don't become ready".into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line("all daemons are ready");
    // Clients on the other machines.
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in &sidecars[1..] {
        let (address, stop, record) = (deployment.outbound(*machine), stop.clone(), record.clone());
        clients.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let (id, answer) =
                    attempt(address, "GET", "/lepu270/2f", Duration::from_millis(1500));
                match answer {
                    Ok(answer) if answer.status() == 200 => {}
                    Ok(answer) => record.line(&format!("{id} answered {}", answer.status())),
                    Err(error) => record.line(&format!("{id} no answer: {error}")),
                }
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(8));
    if leaving.runs().is_empty() {
        return Err("the endpoint got no requests before it left".into());
    }
    // A last heartbeat that is held up on its way.
    has_left.store(true, Ordering::SeqCst);
    let late_body = leaving.heartbeat("ready");
    let late_at = Instant::now() + LATE;
    record.line("the endpoint sends a heartbeat, which is held up");
    thread::sleep(Duration::from_millis(300));
    if !leaving.deregister() {
        return Err("the departure was not acknowledged".into());
    }
    let left = record.now();
    record.line("the departure is acknowledged");
    let exits_at = Instant::now() + SERVES_ON;
    thread::sleep(Duration::from_millis(200));
    if trouble {
        let all: Vec<usize> = (0..machines).collect();
        deployment.kill_all(&all);
        record.line("all processes are killed");
        thread::sleep(Duration::from_millis(600));
        for machine in 0..machines {
            deployment.start(machine, false)?;
        }
        record.line("all processes are started again");
    }
    let back = record.now();
    thread::sleep(late_at.saturating_duration_since(Instant::now()));
    let acknowledged = leaving.deliver(&late_body);
    record.line(&format!(
        "the late heartbeat arrives, acknowledged: {acknowledged}"
    ));
    thread::sleep(exits_at.saturating_duration_since(Instant::now()));
    leaving.end();
    record.line("the endpoint exits");
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for endpoint in &endpoints {
        endpoint.end();
    }
    if (0..machines).any(|machine| deployment.has_ended(machine)) {
        return Err("a daemon ended by itself".into());
    }
    // Counted only while the machines are in touch: after the restart, twice `touch`.
    let from = match trouble {
        true => (left + DRAIN_S).max(back + TOUCH_AFTER_FAULT_S),
        false => left + DRAIN_S,
    };
    let runs = leaving.runs();
    let after_drain = runs.iter().filter(|run| run.at > left + DRAIN_S).count();
    let broken: Vec<_> = runs.iter().filter(|run| run.at > from).collect();
    for run in &broken {
        record.line(&format!(
            "{} reached the endpoint that had left, at {:.3}",
            run.id, run.at
        ));
    }
    record.line(&format!(
        "requests at the endpoint that had left: {} in all, {after_drain} later than drain, {} of \
         these from machines in touch",
        runs.len(),
        broken.len()
    ));
    let served = endpoints[1..].iter().map(|e| e.runs().len()).sum::<usize>();
    record.line(&format!("requests at the other endpoints: {served}"));
    match broken.is_empty() {
        true => Ok(Outcome::Held),
        false => Ok(Outcome::Broken),
    }
}
