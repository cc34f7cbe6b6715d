//! Stand-in for the clients on a machine: they keep connections open and send requests at a steady
//! rate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{self, Connection};
use crate::record::Record;

pub const HOST: &str = "orders.example";
pub const PATH: &str = "/place/";

/// What became of a request. Status 0 is a connection that ended without an answer.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_ms: u64,
    pub status: u16,
    pub body: String,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Clients {
    /// Starts `count` clients. Each sends a request every `pause`, without retries.
    pub fn start(
        daemon: SocketAddr,
        method: &'static str,
        count: usize,
        pause: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for number in 0..count {
            let (stop, outcomes, record) = (stop.clone(), outcomes.clone(), record.clone());
            threads.push(thread::spawn(move || {
                thread::sleep(pause * number as u32 / count as u32);
                let mut connection = None;
                while !stop.load(Ordering::SeqCst) {
                    let begun = Instant::now();
                    let outcome = send(daemon, method, &mut connection, &record);
                    outcomes.lock().expect("outcomes").push(outcome);
                    thread::sleep(pause.saturating_sub(begun.elapsed()));
                }
            }));
        }
        Self {
            stop,
            threads,
            outcomes,
        }
    }

    /// Stops the clients after their present requests, and returns all outcomes.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock().expect("outcomes");
        outcomes.clone()
    }
}

/// Sends one request, on the kept connection if there is one.
pub fn send(
    daemon: SocketAddr,
    method: &str,
    kept: &mut Option<Connection>,
    record: &Record,
) -> Outcome {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let id = format!("{number:016x}");
    let sent_ms = record.now_ms();
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", "2000"),
    ];
    let body = if method == "POST" {
        format!("order {id}")
    } else {
        String::new()
    };
    let request = http::bytes(
        &format!("{method} {PATH}{id} HTTP/1.1"),
        &headers,
        body.as_bytes(),
    );
    record.line(&format!("client sends {id} to {daemon}"));
    let opened = match kept.take() {
        Some(connection) => Ok(connection),
        None => Connection::open(daemon, Duration::from_secs(3)),
    };
    let answer = opened.and_then(|mut connection| {
        let answer = connection.exchange(&request)?;
        let closes = answer
            .header("connection")
            .is_some_and(|c| c.eq_ignore_ascii_case("close"));
        *kept = (!closes).then_some(connection);
        Ok(answer)
    });
    let (status, body) = match answer {
        Ok(answer) => (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        ),
        Err(_) => (0, String::new()),
    };
    record.line(&format!("client gets {status} for {id}"));
    Outcome {
        id,
        sent_ms,
        status,
        body,
    }
}
