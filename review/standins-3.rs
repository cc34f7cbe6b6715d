//! Stand-ins for the users' platform, operators, clients and endpoints, for the cases of the third
//! review. It uses the standard library only and is built by `review/build-3.sh`.
//!
//! `standins-3 SCENARIO FOLDER` starts the daemons of the deploy file on loopback addresses, writes
//! `FOLDER/record.txt`, ends all processes that it has started, and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the scenario could not run. `TROUBLE=0` leaves the disruption out.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Res<T> = Result<T, String>;

/// Program of both roles in `deploy/system.toml`, relative to the repository.
const PROGRAM: &str = "target/release/sycamoreflowd-platform";
const MESH_KEY: &str = "key of the links of one deployment";
/// Longest time that the changes of a configuration may take, so that a run ends within 120 s.
const GROWTH_LIMIT: Duration = Duration::from_secs(50);
const HEARTBEAT: Duration = Duration::from_millis(1_500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Protocol of a run, written to `record.txt` with the time since the start.
#[derive(Clone)]
struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(folder: &Path) -> Res<Self> {
        let file = File::create(folder.join("record.txt")).map_err(|e| e.to_string())?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.3} {text}");
        }
    }
}

/// An HTTP response that was read completely.
#[derive(Clone, Debug)]
struct Reply {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Reply {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head: the first line and the headers.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn length_of(headers: &[(String, String)]) -> usize {
    let found = headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn read_reply(reader: &mut impl BufRead) -> io::Result<Option<Reply>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length_of(&headers)];
    reader.read_exact(&mut body)?;
    Ok(Some(Reply {
        status,
        headers,
        body,
    }))
}

/// Sends one request on a new connection and reads the response.
fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Option<Reply>> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(format!("{head}content-length: {}\r\n\r\n", body.len()).as_bytes())?;
    stream.write_all(body)?;
    read_reply(&mut BufReader::new(stream))
}

/// Addresses of a deployment: one loopback address a machine, the same ports on all.
#[derive(Clone, Copy)]
struct Net {
    a: u8,
    b: u8,
    port: u16,
}

impl Net {
    /// Finds ports that are free on the loopback addresses in use.
    fn new(machines: u8) -> Res<Self> {
        let seed = std::process::id() as u64 ^ unix_ms();
        for attempt in 0..50u64 {
            let x = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(attempt * 977);
            let net = Net {
                a: 20 + ((x >> 20) % 200) as u8,
                b: ((x >> 32) % 250) as u8,
                port: 12_000 + ((x >> 40) % 300) as u16 * 32,
            };
            let free = |machine, offset| TcpListener::bind(net.at(machine, offset)).is_ok();
            if (1..=machines).all(|machine| (0..32).all(|offset| free(machine, offset))) {
                return Ok(net);
            }
        }
        Err("no free ports".to_owned())
    }

    fn at(&self, machine: u8, offset: u16) -> SocketAddr {
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, machine));
        SocketAddr::new(ip, self.port + offset)
    }
}

const ADMIN: u16 = 0;
const OUTBOUND: u16 = 1;
const READY: u16 = 2;
const INBOUND: u16 = 3;
const APP: u16 = 4;
const INTERNAL: u16 = 8;

/// A daemon of the deployment.
struct Machine {
    number: u8,
    name: String,
    zone: String,
    /// Service of the endpoint of a `sidecar` machine; `None` for a `core` machine.
    service: Option<String>,
    child: Option<Child>,
    starts: u32,
}

struct Mesh {
    net: Net,
    folder: PathBuf,
    machines: Vec<Machine>,
    record: Record,
}

impl Mesh {
    /// Starts three core machines in three zones, and a sidecar machine for each service named.
    fn start(record: &Record, services: &[&str]) -> Res<Self> {
        let net = Net::new(3 + services.len() as u8)?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut machines = Vec::new();
        for number in 1..=(3 + services.len() as u8) {
            let service = services.get((number as usize).wrapping_sub(4));
            let zone = ["zone-a", "zone-b", "zone-c"][(number as usize - 1) % 3].to_owned();
            let class = if service.is_some() { "sidecar" } else { "core" };
            machines.push(Machine {
                number,
                name: format!("{class}-{number}"),
                zone,
                service: service.map(|s| (*s).to_owned()),
                child: None,
                starts: 0,
            });
        }
        let record = record.clone();
        let mut mesh = Self {
            net,
            folder,
            machines,
            record,
        };
        for index in 0..mesh.machines.len() {
            mesh.launch(index)?;
        }
        Ok(mesh)
    }

    fn settings(&self, machine: &Machine) -> String {
        let net = &self.net;
        let at = |offset| net.at(machine.number, offset);
        let seeds: Vec<String> = (1..=3)
            .map(|n| format!("\"{}\"", net.at(n, ADMIN)))
            .collect();
        let role = if machine.service.is_some() {
            "proxy"
        } else {
            "replica"
        };
        let class = if machine.service.is_some() {
            "sidecar"
        } else {
            "core"
        };
        let serves = if machine.service.is_some() {
            "sidecar"
        } else {
            "control_plane"
        };
        let mut text = format!(
            "[self]\nnode = \"{}\"\nrole = \"{role}\"\ninstanceClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{}\"\nzone = \"{}\"\nregion = \"region\"\n\
             inTolerance = {}\nbootstrap = {}\n",
            machine.name,
            at(0).ip(),
            machine.zone,
            machine.service.is_none(),
            machine.starts == 0
        );
        match &machine.service {
            Some(service) => {
                let _ = write!(text, "appAddr = \"{}\"\nservice = \"{service}\"\n", at(APP));
            }
            None => {
                let data = self.folder.join(format!("{}-data", machine.name));
                let _ = writeln!(text, "dataDir = \"{}\"", data.display());
            }
        }
        let (memory, fds) = if machine.service.is_some() {
            (260, 4_100)
        } else {
            (256, 4_096)
        };
        let _ = write!(
            text,
            "[self.limits]\ncpuShare = 1.0\ncpuCores = 1\nmemoryMb = {memory}\nmaxFds = {fds}\n\
             linkMbps = 1000.0\ndiskMb = 256\n[network]\ninternalPortRange = [{},{}]\n\
             seedNodes = [{}]\n[network.listenAddrs]\n",
            at(INTERNAL).port(),
            at(INTERNAL).port() + 15,
            seeds.join(",")
        );
        if machine.service.is_some() {
            let _ = write!(
                text,
                "inbound = \"{}\"\noutbound = \"{}\"\nready = \"{}\"\n",
                at(INBOUND),
                at(OUTBOUND),
                at(READY)
            );
        }
        let _ = write!(
            text,
            "admin = \"{}\"\n[network.zones]\nzone-a = \"region\"\nzone-b = \"region\"\n\
             zone-c = \"region\"\n[platform]\ndiscovery = \"static\"\nentry = \"static\"\n\
             heartbeatInterval = \"1500ms\"\n[terms]\ncontracts = [\"base\",\"drain\",\"config\",\
             \"cost\",\"retry\",\"recover\",\"rollout\"]\n[terms.faultTolerance]\nmachines = 1\n\
             zones = 0\nregions = 0\n[terms.bounds]\nseedLag = \"3s\"\naddrReuse = \"2s\"\n\
             touch = \"3000ms\"\nack = \"4000ms\"\ncatchUp = \"4s\"\ndrain = \"2000ms\"\n\
             gracePeriod = \"6s\"\nlossSlack = \"200ms\"\nconfigApply = \"2000ms\"\n\
             rollbackSlack = \"250ms\"\nmaxStretch = \"5000ms\"\nretryBudgetRatio = 0.2\n\
             budgetWindow = \"10s\"\nbudgetSlack = 60\nexposureShare = 0.1\nexposureSlack = 50\n\
             rollback = \"5000ms\"\nrecovery = \"15s\"\n",
            at(ADMIN)
        );
        text
    }

    /// Starts the daemon of a machine with the command of the deploy file.
    fn launch(&mut self, index: usize) -> Res<()> {
        let machine = &self.machines[index];
        let path = self.folder.join(format!("{}.toml", machine.name));
        fs::write(&path, self.settings(machine)).map_err(|e| e.to_string())?;
        fs::create_dir_all(self.folder.join(format!("{}-data", machine.name)))
            .map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .env("SYCAMOREFLOW_CONFIG", &path)
            .env("SYCAMOREFLOW_MESH_KEY", MESH_KEY)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{PROGRAM}: {e}"))?;
        self.record
            .line(&format!("{} starts, pid {}", machine.name, child.id()));
        let machine = &mut self.machines[index];
        machine.child = Some(child);
        machine.starts += 1;
        Ok(())
    }

    fn signal(&self, index: usize, signal: &str) {
        let machine = &self.machines[index];
        let Some(child) = &machine.child else { return };
        self.record
            .line(&format!("SIG{signal} to {}", machine.name));
        let command = format!("kill -{signal} {}", child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Kills a daemon with SIGKILL and waits until it is gone.
    fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if let Some(mut child) = machine.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("{} killed with SIGKILL", machine.name));
        }
    }

    /// Returns the machines whose daemon has ended by itself.
    fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for machine in &mut self.machines {
            let Some(child) = &mut machine.child else {
                continue;
            };
            if let Ok(Some(status)) = child.try_wait() {
                ended.push(format!("{} ({status})", machine.name));
            }
        }
        ended
    }

    /// Writes the largest memory that each daemon has used.
    fn record_memory(&self) {
        for machine in &self.machines {
            let Some(child) = &machine.child else {
                continue;
            };
            let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
            let status = status.unwrap_or_default();
            let peak = status
                .lines()
                .find(|line| line.starts_with("VmHWM"))
                .unwrap_or("unknown");
            self.record
                .line(&format!("memory of {}: {peak}", machine.name));
        }
    }

    /// Indices of the sidecar machines.
    fn sidecars(&self) -> Vec<usize> {
        let all = self.machines.iter().enumerate();
        all.filter(|(_, m)| m.service.is_some())
            .map(|(i, _)| i)
            .collect()
    }

    fn address(&self, index: usize, offset: u16) -> SocketAddr {
        self.net.at(self.machines[index].number, offset)
    }

    /// Waits until `/ready` of a sidecar answers 200.
    fn wait_ready(&self, index: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready(index) {
                return true;
            }
            thread::sleep(ms(200));
        }
        false
    }

    fn is_ready(&self, index: usize) -> bool {
        let reply = call(
            self.address(index, READY),
            "GET /ready HTTP/1.1\r\nhost: p\r\n",
            b"",
            ms(500),
        );
        matches!(reply, Ok(Some(reply)) if reply.status == 200)
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A request as an endpoint has received it.
#[derive(Clone, Debug)]
struct Received {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Received {
    fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// An application endpoint: it serves HTTP, answers 421 to requests for another instance, and
/// sends heartbeats to the `admin` address of its machine.
struct Endpoint {
    service: String,
    version: String,
    id: String,
    born: u64,
    address: SocketAddr,
    admin: SocketAddr,
    zone: String,
    slots: u32,
    work: Duration,
    sequence: AtomicU64,
    draining: AtomicBool,
    stopped: AtomicBool,
    /// Requests that have run, by `Attempt-Id`, with the number of runs.
    runs: Mutex<HashMap<String, u32>>,
}

impl Endpoint {
    fn start(mesh: &Mesh, index: usize, version: &str, work: Duration) -> Res<Arc<Self>> {
        let machine = &mesh.machines[index];
        let endpoint = Arc::new(Self {
            service: machine.service.clone().unwrap_or_default(),
            version: version.to_owned(),
            id: format!("i-{}-{:x}", machine.number, unix_ms()),
            born: unix_ms(),
            address: mesh.address(index, APP),
            admin: mesh.address(index, ADMIN),
            zone: machine.zone.clone(),
            slots: 9,
            work,
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            runs: Mutex::default(),
        });
        let listener = TcpListener::bind(endpoint.address).map_err(|e| e.to_string())?;
        let serving = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = serving.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        let beating = endpoint.clone();
        thread::spawn(move || {
            while !beating.stopped.load(Ordering::SeqCst) {
                let is_acknowledged = beating.beat();
                thread::sleep(if is_acknowledged { HEARTBEAT } else { ms(300) });
            }
        });
        Ok(endpoint)
    }

    fn beat(&self) -> bool {
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"{}\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\
             \"coldRemaining\":\"0ms\"}}}}",
            self.address, self.born, self.service, self.version, self.zone, self.slots
        );
        let head = format!(
            "POST /Instances.Heartbeat/{} HTTP/1.1\r\nhost: p\r\ncontent-type: application/json\r\n",
            self.id
        );
        let reply = call(self.admin, &head, body.as_bytes(), ms(1_000));
        matches!(reply, Ok(Some(reply)) if (200..300).contains(&reply.status))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some((line, headers))) = read_head(&mut reader) {
            let mut body = vec![0; length_of(&headers)];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let request = Received {
                line,
                headers,
                body,
            };
            let reply = self.answer(&request);
            if stream.write_all(&reply).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Received) -> Vec<u8> {
        let attempt = request.header("attempt-id");
        let target = request.header("target-instance");
        if !target.is_empty() && target != self.id {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nattempt-id: {attempt}\r\nnot-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        if let Ok(mut runs) = self.runs.lock() {
            *runs.entry(attempt.to_owned()).or_default() += 1;
        }
        thread::sleep(self.work);
        let body = format!("{} {} {} bytes", self.id, request.line, request.body.len());
        format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-signature: {}.{}\r\n\
             server-load: 1,0,{}\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            attempt,
            self.slots,
            body.len()
        )
        .into_bytes()
    }
}

/// An operator, which sends orders to the daemons that serve `control_plane`.
struct Operator {
    core: Vec<SocketAddr>,
    record: Record,
}

impl Operator {
    fn new(mesh: &Mesh) -> Self {
        let core = (1..=3).map(|number| mesh.net.at(number, ADMIN)).collect();
        Self {
            core,
            record: mesh.record.clone(),
        }
    }

    /// Sends a call to one daemon after another until it gets a clear response, and follows a 307
    /// twice, as `PROTOCOL.md` says. Returns `None` after `limit`.
    fn order(&self, what: &str, head: &str, body: &[u8], limit: Duration) -> Option<Reply> {
        let end = Instant::now() + limit;
        // A second without a response, and more for large bodies.
        let patience = ms(1_000 + body.len() as u64 / 2_000);
        let mut tries = 0;
        while Instant::now() < end {
            let mut to = self.core[tries % self.core.len()];
            tries += 1;
            for _ in 0..3 {
                let reply = match call(to, head, body, patience) {
                    Ok(Some(reply)) => reply,
                    _ => break,
                };
                let location = reply.header("location").unwrap_or_default().to_owned();
                if reply.status == 307 {
                    let host = location.trim_start_matches("http://");
                    let host = host.split('/').next().unwrap_or_default();
                    let Ok(next) = host.parse() else { break };
                    to = next;
                    continue;
                }
                if reply.status < 500 && reply.status != 408 && reply.status != 429 {
                    let status = reply.status;
                    self.record.line(&format!(
                        "operator: {what} gets {status} from {to}, try {tries}"
                    ));
                    return Some(reply);
                }
                break;
            }
            thread::sleep(ms(100 * tries.min(5) as u64));
        }
        self.record.line(&format!(
            "operator: {what} has no clear response after {tries} tries"
        ));
        None
    }

    fn replace(&self, config: &Config, limit: Duration) -> Option<u16> {
        let head = "POST /Config.Replace HTTP/1.1\r\nhost: p\r\ncontent-type: application/json\r\n";
        let what = format!(
            "version {} of {} routes",
            config.version,
            config.routes.len()
        );
        let body = config.json();
        self.order(&what, head, body.as_bytes(), limit)
            .map(|reply| reply.status)
    }

    fn get(&self, limit: Duration) -> Option<Reply> {
        self.order(
            "Config.Get",
            "GET /Config.Get HTTP/1.1\r\nhost: p\r\n",
            b"",
            limit,
        )
    }
}

/// A route of a configuration.
#[derive(Clone)]
struct Route {
    name: String,
    host: String,
    prefix: String,
    service: String,
    timeout_ms: u64,
}

impl Route {
    fn new(name: &str, host: &str, prefix: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            service: service.to_owned(),
            timeout_ms: 2_000,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Default)]
struct Config {
    version: u64,
    base: u64,
    routes: Vec<Route>,
    services: Vec<String>,
}

impl Config {
    fn json(&self) -> String {
        let mut text = format!(
            "{{\"version\":{},\"baseVersion\":{},\"resources\":[",
            self.version, self.base
        );
        for route in &self.routes {
            let Route {
                name,
                host,
                prefix,
                service,
                timeout_ms,
            } = route;
            let _ = write!(
                text,
                "{{\"resourceType\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
                 \"host\":\"{host}\",\"prefix\":\"{prefix}\",\"type\":\"safe\",\
                 \"timeout\":\"{timeout_ms}ms\",\"targetLatency\":\"600ms\",\"priority\":1,\
                 \"service\":\"{service}\",\"maxAttempts\":2}}}},"
            );
        }
        for service in &self.services {
            let _ = write!(
                text,
                "{{\"resourceType\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\
                 \"healthCheckPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\
                 \"tls\":false}}}},"
            );
        }
        text += "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\
                 \"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}]}";
        text
    }

    /// Adds `count` routes to the services in turn, and makes this the next version.
    fn grow(&mut self, count: usize) {
        self.base = self.version;
        self.version += 3;
        for _ in 0..count {
            let n = self.routes.len();
            let service = self.services[n % self.services.len()].clone();
            let host = format!("hulo{}.example", n % 90);
            let prefix = format!("/xapu{}/ny{n}/", n % 700);
            self.routes
                .push(Route::new(&format!("r-g{n:06}"), &host, &prefix, &service));
        }
    }
}

/// Whether the disruption takes place.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Counts of a client's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    served: u32,
}

/// Sends GET requests to a sidecar machine for a time, and counts those that an endpoint answered.
fn probe(
    mesh: &Mesh,
    index: usize,
    routes: &[(&str, &str)],
    time: Duration,
    gap: Duration,
) -> Tally {
    let to = mesh.address(index, OUTBOUND);
    let end = Instant::now() + time;
    let mut tally = Tally::default();
    let mut statuses: HashMap<String, u32> = HashMap::new();
    while Instant::now() < end {
        let (host, prefix) = routes[tally.sent as usize % routes.len()];
        let id = format!("{:08x}{:08x}", index, tally.sent as u64 ^ (unix_ms() << 8));
        let head = format!(
            "GET {prefix}x HTTP/1.1\r\nhost: {host}\r\nattempt-id: {id}\r\ndeadline-ms: 1500\r\n"
        );
        tally.sent += 1;
        let reply = call(to, &head, b"", ms(1_500));
        let outcome = match &reply {
            Ok(Some(reply))
                if reply.status == 200 && reply.header("response-signature").is_some() =>
            {
                tally.served += 1;
                "200".to_owned()
            }
            Ok(Some(reply)) => reply.status.to_string(),
            Ok(None) => "closed".to_owned(),
            Err(error) => error.kind().to_string(),
        };
        *statuses.entry(outcome).or_default() += 1;
        thread::sleep(gap);
    }
    let name = &mesh.machines[index].name;
    mesh.record.line(&format!(
        "clients at {name}: {} sent, {statuses:?}",
        tally.sent
    ));
    tally
}

/// Probes all sidecar machines at the same time.
fn probe_all(mesh: &Mesh, routes: &[(&str, &str)], time: Duration) -> Tally {
    let mut sum = Tally::default();
    thread::scope(|scope| {
        let clients: Vec<_> = mesh
            .sidecars()
            .into_iter()
            .map(|index| scope.spawn(move || probe(mesh, index, routes, time, ms(100))))
            .collect();
        for client in clients {
            let tally = client.join().unwrap_or_default();
            sum.sent += tally.sent;
            sum.served += tally.served;
        }
    });
    sum
}

/// The first configuration, with a route to each of two services.
fn first_config() -> Config {
    let route = |name, prefix, service| Route::new(name, "jepu9.example", prefix, service);
    Config {
        version: 5,
        base: 0,
        routes: vec![
            route("r-1", "/lepu270/", "huvo11a"),
            route("r-2", "/vuno41/", "kafi81c"),
        ],
        services: vec!["huvo11a".into(), "kafi81c".into()],
    }
}

/// Sends the first configuration, and then changes that each add as many routes as the largest
/// `big_config` of the site file.
fn grow_config(operator: &Operator, config: &mut Config, changes: usize) -> Res<()> {
    let first = operator.replace(config, ms(20_000));
    if first != Some(200) {
        return Err(format!("the first configuration got {first:?}"));
    }
    for _ in 0..changes {
        if operator.record.started.elapsed() > GROWTH_LIMIT {
            return Err("this machine is too slow: the changes take too long".to_owned());
        }
        config.grow(462);
        let status = operator.replace(config, ms(8_000));
        if status != Some(200) {
            return Err(format!("version {} got {status:?}", config.version));
        }
    }
    Ok(())
}

/// A configuration that has grown by many routes, and a final fault: all processes are
/// killed. Rule RECOVER.
fn large_view(record: &Record) -> Res<bool> {
    let services = ["huvo11a", "kafi81c", "huvo11a", "kafi81c"];
    let mut mesh = Mesh::start(record, &services)?;
    let operator = Operator::new(&mesh);
    let mut endpoints = Vec::new();
    for index in mesh.sidecars() {
        endpoints.push(Endpoint::start(&mesh, index, "v1", ms(5))?);
    }
    let mut config = first_config();
    grow_config(&operator, &mut config, 50)?;
    for index in mesh.sidecars() {
        if !mesh.wait_ready(index, ms(5_000)) {
            return Err("a sidecar is not ready".to_owned());
        }
    }
    thread::sleep(ms(2_000));
    let routes = [
        ("jepu9.example", "/lepu270/"),
        ("jepu9.example", "/vuno41/"),
    ];
    let before = probe_all(&mesh, &routes, ms(4_000));
    mesh.record_memory();
    record.line(&format!("before: {before:?}"));
    if before.served * 4 < before.sent {
        return Err("less than a quarter was served before the disruption".to_owned());
    }
    if has_trouble() {
        record.line("final fault: all processes are killed");
        for index in 0..mesh.machines.len() {
            mesh.signal(index, "KILL");
        }
        for index in 0..mesh.machines.len() {
            mesh.kill(index);
        }
        thread::sleep(ms(500));
        for index in 0..mesh.machines.len() {
            mesh.launch(index)?;
        }
    }
    // The bound `recovery`.
    thread::sleep(ms(15_000));
    let after = probe_all(&mesh, &routes, ms(10_000));
    record.line(&format!("sent later than recovery (15 s): {after:?}"));
    for index in mesh.sidecars() {
        let name = &mesh.machines[index].name;
        record.line(&format!("{name}: ready {}", mesh.is_ready(index)));
    }
    let read = operator.get(ms(5_000));
    let intact = read.is_some_and(|reply| reply.body.len() > config.json().len() / 2);
    record.line(&format!("configuration read back: {intact}"));
    record.line(&format!(
        "processes that ended by themselves: {:?}",
        mesh.ended()
    ));
    Ok(after.served * 4 < after.sent)
}

/// A configuration that has grown as in [`large_view`], and a kill of the control processes only.
/// Then a route moves to another service. Rule CONFIG.
fn large_view_stale(record: &Record) -> Res<bool> {
    let services = ["huvo11a", "kafi81c", "huvo11a", "kafi81c"];
    let mut mesh = Mesh::start(record, &services)?;
    let operator = Operator::new(&mesh);
    let mut endpoints = Vec::new();
    for index in mesh.sidecars() {
        endpoints.push(Endpoint::start(&mesh, index, "v1", ms(5))?);
    }
    let mut config = first_config();
    grow_config(&operator, &mut config, 50)?;
    if has_trouble() {
        record.line("all control processes are killed");
        for index in 0..3 {
            mesh.kill(index);
        }
        thread::sleep(ms(500));
        for index in 0..3 {
            mesh.launch(index)?;
        }
    }
    thread::sleep(ms(8_000));
    config.base = config.version;
    config.version += 1;
    config.routes[0].service = "kafi81c".to_owned();
    if operator.replace(&config, ms(10_000)) != Some(200) {
        return Err("the last change has no acknowledgement".to_owned());
    }
    // The bound `configApply`, and a second more.
    thread::sleep(ms(3_000));
    let mut stale = 0;
    for round in 0..20 {
        for index in mesh.sidecars() {
            let id = format!("{round:08x}{index:08x}");
            let head = format!(
                "GET /lepu270/y HTTP/1.1\r\nhost: jepu9.example\r\nattempt-id: {id}\r\n\
                 deadline-ms: 1500\r\n"
            );
            let reply = call(mesh.address(index, OUTBOUND), &head, b"", ms(1_500));
            let ran = |e: &&Arc<Endpoint>| e.runs.lock().is_ok_and(|runs| runs.contains_key(&id));
            let by = endpoints
                .iter()
                .find(ran)
                .map_or("nobody", |e| e.service.as_str());
            if by == "huvo11a" {
                stale += 1;
            }
            if round == 0 {
                let name = &mesh.machines[index].name;
                let status = reply.ok().flatten().map(|reply| reply.status);
                record.line(&format!(
                    "{name}: {status:?}, run by {by}; the new service is kafi81c"
                ));
            }
        }
        thread::sleep(ms(100));
    }
    record.line(&format!("{stale} of 80 requests run by the old service"));
    record.line(&format!(
        "processes that ended by themselves: {:?}",
        mesh.ended()
    ));
    Ok(stale > 0)
}

/// A configuration that has grown as in [`large_view`], but less. Then one change reaches all routes;
/// without the disruption, it reaches as many as a change has added before. Rule Acks.
fn change_of_all_routes(record: &Record) -> Res<bool> {
    let services = ["huvo11a", "kafi81c"];
    let mut mesh = Mesh::start(record, &services)?;
    let operator = Operator::new(&mesh);
    let mut endpoints = Vec::new();
    for index in mesh.sidecars() {
        endpoints.push(Endpoint::start(&mesh, index, "v1", ms(5))?);
    }
    let mut config = first_config();
    grow_config(&operator, &mut config, 14)?;
    thread::sleep(ms(2_000));
    config.base = config.version;
    config.version += 1;
    let all = config.routes.len();
    let count = if has_trouble() { all } else { 462 };
    for route in config.routes.iter_mut().rev().take(count) {
        route.timeout_ms = 1_900;
    }
    record.line(&format!(
        "version {} changes the time-outs of {count} of {all} routes",
        config.version
    ));
    // The bound `ack`, with 3 ms more for each route, and as much again.
    let ack = ms(4_000 + 3 * all as u64);
    let sent = Instant::now();
    let status = operator.replace(&config, 2 * ack);
    record.line(&format!(
        "{status:?} after {:?}, bound {ack:?}",
        sent.elapsed()
    ));
    let head = "POST /Config.Replace HTTP/1.1\r\nhost: p\r\ncontent-type: application/json\r\n";
    for core in &operator.core {
        let reply = call(*core, head, config.json().as_bytes(), ms(3_000));
        let reply = reply.ok().flatten();
        let location = reply
            .as_ref()
            .and_then(|r| r.header("location"))
            .unwrap_or_default();
        let status = reply.as_ref().map(|reply| reply.status);
        record.line(&format!("{core}: {status:?} {location}"));
    }
    record.line(&format!(
        "processes that ended by themselves: {:?}",
        mesh.ended()
    ));
    Ok(status.is_none())
}

/// Two routes whose prefixes differ in their last slash only. Rule ROUTE.
fn longest_prefix(record: &Record) -> Res<bool> {
    let services = ["huvo11a", "kafi81c"];
    let mut mesh = Mesh::start(record, &services)?;
    let operator = Operator::new(&mesh);
    let mut endpoints = Vec::new();
    for index in mesh.sidecars() {
        endpoints.push(Endpoint::start(&mesh, index, "v1", ms(5))?);
    }
    let mut config = first_config();
    config.routes[1].prefix = if has_trouble() {
        "/lepu270//"
    } else {
        "/lepu270/a/"
    }
    .to_owned();
    let path = format!("{}x", config.routes[1].prefix);
    if operator.replace(&config, ms(20_000)) != Some(200) {
        return Err("the configuration has no acknowledgement".to_owned());
    }
    for index in mesh.sidecars() {
        mesh.wait_ready(index, ms(5_000));
    }
    thread::sleep(ms(3_000));
    let mut wrong = 0;
    for round in 0..10 {
        for index in mesh.sidecars() {
            let id = format!("{round:08x}{index:08x}");
            let head = format!(
                "GET {path} HTTP/1.1\r\nhost: jepu9.example\r\nattempt-id: {id}\r\ndeadline-ms: 1500\r\n"
            );
            let _ = call(mesh.address(index, OUTBOUND), &head, b"", ms(1_500));
            let ran = |e: &&Arc<Endpoint>| e.runs.lock().is_ok_and(|runs| runs.contains_key(&id));
            let by = endpoints
                .iter()
                .find(ran)
                .map_or("nobody", |e| e.service.as_str());
            wrong += u32::from(by == "huvo11a");
            record.line(&format!(
                "GET {path} at {}: run by {by}",
                mesh.machines[index].name
            ));
        }
    }
    record.line(&format!(
        "{wrong} of 20 requests run by huvo11a; the longest prefix leads to kafi81c"
    ));
    record.line(&format!(
        "processes that ended by themselves: {:?}",
        mesh.ended()
    ));
    Ok(wrong > 0)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("standins-3 SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::new(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!(
        "scenario {scenario}, disruption: {}",
        has_trouble()
    ));
    let result = match scenario.as_str() {
        "large-view" => large_view(&record),
        "change-of-all-routes" => change_of_all_routes(&record),
        "longest-prefix" => longest_prefix(&record),
        "large-view-stale" => large_view_stale(&record),
        _ => Err("no such scenario".to_owned()),
    };
    match result {
        Ok(broken) => {
            record.line(if broken {
                "the rule was broken"
            } else {
                "the rule held"
            });
            ExitCode::from(u8::from(broken))
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
