//! Stand-in for an application endpoint: it runs requests in its slots and reports to the daemon on
//! its machine.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Message};
use crate::record::{Random, Record};

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address at which the daemon on this machine takes reports.
    pub admin: SocketAddr,
    pub born: u64,
    pub slots: usize,
    pub work: Duration,
    /// Whether runs are left out of the record.
    pub quiet: bool,
    pub record: Arc<Record>,
    /// Number of the next report.
    pub sequence: AtomicU64,
    /// Whether heartbeats are sent.
    pub beating: AtomicBool,
    /// Share of the requests that are rejected as not run, in thousandths.
    pub shed: AtomicU64,
    /// Share of the answers that are sent a second time, late, in thousandths.
    pub late_copies: AtomicU64,
    running: Mutex<usize>,
    free: Condvar,
    /// Runs by request id, with the time of each in milliseconds.
    pub runs: Mutex<BTreeMap<String, Vec<u64>>>,
    random: Mutex<Random>,
    stopped: AtomicBool,
}

impl Endpoint {
    pub fn new(
        id: &str,
        service: &str,
        address: SocketAddr,
        admin: SocketAddr,
        record: Arc<Record>,
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("time");
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: "v1".to_owned(),
            zone: "zone-a".to_owned(),
            address,
            admin,
            born: born.as_millis() as u64,
            slots: 9,
            work: Duration::from_millis(60),
            quiet: false,
            record,
            sequence: AtomicU64::new(1),
            beating: AtomicBool::new(true),
            shed: AtomicU64::new(0),
            late_copies: AtomicU64::new(0),
            running: Mutex::new(0),
            free: Condvar::new(),
            runs: Mutex::default(),
            random: Mutex::new(Random(
                0x9e37_79b9_7f4a_7c15 ^ u64::from(std::process::id()),
            )),
            stopped: AtomicBool::new(false),
        }
    }

    /// Listens, and sends heartbeats.
    pub fn start(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("address of the endpoint");
        let endpoint = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if endpoint.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let endpoint = endpoint.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        let endpoint = self.clone();
        thread::spawn(move || {
            loop {
                if endpoint.beating.load(Ordering::SeqCst) {
                    let body = endpoint.heartbeat("ready");
                    endpoint.send_heartbeat(&body, false);
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// Returns the body of the next heartbeat.
    pub fn heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"{}\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldRemaining\":\"0ms\"}}}}",
            self.address, self.born, self.service, self.version, self.zone, self.slots
        )
    }

    /// Sends a heartbeat and returns the status of the answer, or 0 without one.
    pub fn send_heartbeat(&self, body: &str, log: bool) -> u16 {
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let answer = http::call(self.admin, "POST", &path, body, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        if log {
            self.record
                .line(&format!("{} heartbeat {body} -> {status}", self.id));
        }
        status
    }

    /// Reports that the endpoint is about to leave. Returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        let path = format!("/Instances.Deregister/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let answer = http::call(self.admin, "POST", &path, &body, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        self.record
            .line(&format!("{} deregister {body} -> {status}", self.id));
        status == 200
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // Second answer to the previous request, sent where the next answer is due.
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(request) = connection.read_message() {
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            if let Some(copy) = late_copy.take() {
                self.record.line(&format!(
                    "{} sends a late second answer before that to {id}",
                    self.id
                ));
                if connection.write(&copy).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request, &id);
            if connection.write(&answer).is_err() {
                return;
            }
            if self.draw(&self.late_copies) {
                late_copy = Some(answer);
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn draw(&self, thousandths: &AtomicU64) -> bool {
        let share = thousandths.load(Ordering::SeqCst) as f64 / 1_000.0;
        self.random.lock().expect("random").unit() < share
    }

    fn answer(&self, request: &Message, id: &str) -> Vec<u8> {
        let signature = format!("sig.{}.{id}", self.id);
        let base = [
            ("Attempt-Id", id),
            ("Response-Signature", signature.as_str()),
        ];
        if request.word(1) == "/healthz" {
            return http::bytes("HTTP/1.1 200 OK", &[("Instance-Id", &self.id)], b"");
        }
        let mut rejected = base.to_vec();
        rejected.push(("Not-Executed", "1"));
        if request
            .header("target-instance")
            .is_some_and(|target| target != self.id)
        {
            self.record.line(&format!("{} rejects {id}: 421", self.id));
            return http::bytes("HTTP/1.1 421 Misdirected Request", &rejected, b"");
        }
        if self.draw(&self.shed) {
            self.record
                .line(&format!("{} rejects {id}: 503, not run", self.id));
            return http::bytes("HTTP/1.1 503 Service Unavailable", &rejected, b"");
        }
        let mut running = self.running.lock().expect("slots");
        while *running >= self.slots {
            running = self.free.wait(running).expect("slots");
        }
        *running += 1;
        drop(running);
        let at = self.record.now_ms();
        self.runs
            .lock()
            .expect("runs")
            .entry(id.to_owned())
            .or_default()
            .push(at);
        if !self.quiet {
            self.record.line(&format!("{} runs {id}", self.id));
        }
        thread::sleep(self.work);
        *self.running.lock().expect("slots") -= 1;
        self.free.notify_one();
        http::bytes(
            "HTTP/1.1 200 OK",
            &base,
            format!("{id} done by {}", self.service).as_bytes(),
        )
    }
}
