//! Settings of a daemon, read from a TOML file and validated before any address is bound.
//!
//! Every field is described in `docs/settings.md`.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use eyre::WrapErr;
use serde::{Deserialize, Serialize};
use sycamoreflow_coordination::quota::Tolerance;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Millis, ServiceName};

use crate::memory;

#[cfg(test)]
pub(crate) mod tests;

/// Result of reading or validating settings.
pub type Result<T> = eyre::Result<T>;

/// Environment variable that holds the mesh key if `mesh-key-file` is not set.
pub const MESH_KEY_VARIABLE: &str = "SYCAMOREFLOW_MESH_KEY";

/// Environment variable that holds the operator token if `operator-token-file` is not set.
pub const OPERATOR_TOKEN_VARIABLE: &str = "SYCAMOREFLOW_TOKEN";

/// Minimum length of the mesh key and of the operator token in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Contents of a settings file. Unknown keys are an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the mesh. Links between daemons of different meshes are refused.
    pub mesh: String,
    /// Identifier of this daemon, unique in the mesh and unchanged by a restart.
    pub daemon: DaemonId,
    /// Data centre in which this host is located.
    pub data_centre: DataCentre,
    /// All data centres of the mesh. Operators may also evacuate one that is not listed if it has
    /// an endpoint.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
    /// File with the mesh key. Without it, `SYCAMOREFLOW_MESH_KEY` is read.
    pub mesh_key_file: Option<PathBuf>,
    /// File with the operator token. Without it, `SYCAMOREFLOW_TOKEN` is read.
    pub operator_token_file: Option<PathBuf>,
    /// Addresses that the daemon listens on.
    pub listen: Listen,
    /// Control replicas that this daemon may subscribe to. Empty if they are discovered through
    /// `seeds`.
    #[serde(default)]
    pub control_replicas: Vec<ReplicaAddress>,
    /// Link addresses of some control replicas, from which the others are discovered. In such a
    /// mesh, the identifier of a daemon is the address of its link listener.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Settings of the control replica. Present only if this daemon is one.
    pub control: Option<ControlSettings>,
    /// Witnesses of the version floor.
    #[serde(default)]
    pub floor: FloorSettings,
    /// Service of the upstream on this host, if it calls other services. It is sent to them as the
    /// caller.
    #[serde(default)]
    pub own_service: Option<ServiceName>,
    /// Services whose configuration this daemon subscribes to. Empty means all services.
    #[serde(default)]
    pub interest: Vec<ServiceName>,
    /// Limits of requests, connections and waits.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the log output.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listen {
    /// HTTP calls from callers. If absent, the daemon serves no calls. Required without seeds.
    pub calls: Option<SocketAddr>,
    /// Links from other daemons.
    pub link: SocketAddr,
    /// Announcements of the upstream on this host, and metrics. Required without seeds.
    pub announce: Option<SocketAddr>,
    /// Operator interface. Required on control replicas in a mesh without seeds.
    pub operator: Option<SocketAddr>,
}

/// Address of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ReplicaAddress {
    /// Identifier of the daemon that runs the replica.
    pub daemon: DaemonId,
    /// Address of its link listener.
    pub link: SocketAddr,
}

/// Settings of a control replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ControlSettings {
    /// Folder in which the replica stores its state.
    pub data: PathBuf,
    /// Replicas that vote and form the initial group; the others only serve subscribers. With
    /// seeds, the seeds form the initial group instead, and `wanted_voters` sets the number of
    /// voters.
    #[serde(default)]
    pub voters: Vec<DaemonId>,
    /// Number of voters that a group formed by seeds maintains.
    #[serde(default = "default_wanted_voters")]
    pub wanted_voters: usize,
    /// Whether the mesh starts for the first time, so that the seeds may form a group. It must be
    /// false later, because a replica whose folder was lost must not form a second group.
    #[serde(default)]
    pub bootstrap: bool,
    /// Maximum number of subscriptions that this replica admits per second.
    #[serde(default = "default_joins_per_second")]
    pub joins_per_second: u32,
}

/// Witnesses of the version floor.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FloorSettings {
    /// Daemons that record the version of this one: 3 or 5 in different data centres, or none.
    pub witnesses: Vec<ReplicaAddress>,
}

/// Limits of requests, connections and waits. [`Default`] gives the documented defaults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Maximum size of a request or response body in bytes.
    pub body_bytes: usize,
    /// Maximum size in bytes of all response bodies that are being read from upstreams at once,
    /// beyond the first 32 KiB of each.
    pub response_buffer_bytes: usize,
    /// Maximum memory in bytes that all clients may make the daemon hold: requests, responses that
    /// they have not read, and the buffers of their connections. With 0, a quarter of the host's
    /// memory.
    pub client_buffer_bytes: usize,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum time that a request waits for a slot of the upstream, in milliseconds.
    pub queue_ms: u64,
    /// Maximum number of queued requests per slot of the upstream.
    pub queue_per_slot: u32,
    /// Time limit for requests in flight to complete when the daemon stops, in milliseconds.
    pub drain_timeout_ms: u64,
    /// How long an answer is kept for repeated requests with the same idempotency key, in
    /// milliseconds.
    pub key_record_ms: u64,
    /// Maximum wait between two attempts to subscribe, in milliseconds.
    pub reconnect_ms: u64,
    /// Maximum number of pipelined requests of one connection that run concurrently.
    pub pipelined: usize,
    /// Idle timeout of connections from callers in milliseconds.
    pub idle_ms: u64,
    /// Idle timeout of connections to upstreams in milliseconds.
    pub upstream_idle_ms: u64,
    /// Time without a message from another daemon after which the link to it is closed, in
    /// milliseconds.
    pub link_silence_ms: u64,
    /// How long a stopping daemon still accepts requests after it has reported that it is not
    /// ready, in milliseconds.
    pub leave_notice_ms: u64,
    /// Retries beyond the retry budget of a service that all daemons together may make. With 0,
    /// each daemon applies its own allowance.
    pub shared_retries: u64,
    /// Window in which the requests of a client account are compared with its quota, in
    /// milliseconds.
    pub quota_window_ms: u64,
    /// Share of the quota in a window by which an account may exceed it, in percent. It is used to
    /// give daemons whole requests in advance.
    pub quota_overage_percent: u32,
    /// Number of requests in a window by which an account may exceed its quota in addition.
    pub quota_slack: u32,
    /// Whether the concurrency limit of an upstream is reduced while it sheds load or is slow.
    pub adapt_limit: bool,
    /// Bandwidth of the host's link in kbit/s, by which large answers are admitted. 0 admits all.
    pub link_kbit_per_s: u64,
    /// Time in milliseconds after the acceptance of a configuration after which no daemon honours a
    /// key that it takes away, even if it is cut off. With 0, a daemon that is cut off honours the
    /// keys that it knows.
    pub key_lease_ms: u64,
}

/// Settings of the log output.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Filter directives such as `info` or `sycamoreflow_daemon=debug`. Empty means `info`.
    pub filter: String,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            response_buffer_bytes: 24 << 20,
            client_buffer_bytes: 0,
            connections: 1_024,
            queue_ms: 100,
            queue_per_slot: 4,
            drain_timeout_ms: 30_000,
            key_record_ms: 600_000,
            reconnect_ms: 5_000,
            pipelined: 1,
            idle_ms: 60_000,
            upstream_idle_ms: 20_000,
            link_silence_ms: 2_000,
            leave_notice_ms: 0,
            shared_retries: 0,
            quota_window_ms: 5_000,
            quota_overage_percent: 10,
            quota_slack: 20,
            adapt_limit: true,
            link_kbit_per_s: 0,
            key_lease_ms: 0,
        }
    }
}

impl Limits {
    /// Returns how far client accounts may exceed their quotas.
    pub fn quota_tolerance(&self) -> Tolerance {
        Tolerance {
            window: Millis(self.quota_window_ms),
            overage: Share::percent(self.quota_overage_percent),
            slack: self.quota_slack,
        }
    }
}

fn default_joins_per_second() -> u32 {
    200
}

fn default_wanted_voters() -> usize {
    3
}

/// A secret whose `Debug` output does not contain it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret read from a file or the environment. Surrounding whitespace is removed.
    pub fn new(text: &str) -> Self {
        Self(text.trim().to_owned())
    }

    /// Returns the secret in plain text. It must not be logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Settings {
    /// Returns the replicas in `control-replicas`, or those at the addresses in `seeds`.
    pub fn configured_replicas(&self) -> Vec<ReplicaAddress> {
        let seeds = self.seeds.iter().map(|link| ReplicaAddress {
            daemon: crate::replicas::id_of(*link),
            link: *link,
        });
        self.control_replicas.iter().cloned().chain(seeds).collect()
    }

    /// Returns the data centres in `data-centres` and that of this host.
    pub fn known_data_centres(&self) -> Vec<DataCentre> {
        let mut known = self.data_centres.clone();
        if !known.contains(&self.data_centre) {
            known.push(self.data_centre.clone());
        }
        known
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// If the file can't be read or parsed, or if fields are invalid. The error names the file and
    /// every invalid field.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read the settings file {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Parses and validates settings in TOML.
    ///
    /// # Errors
    ///
    /// If the text can't be parsed, or if fields are invalid. The error names every invalid field.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates all fields and the relations between them.
    ///
    /// # Errors
    ///
    /// If fields are invalid. The error names every one of them.
    pub fn check(&self) -> Result<()> {
        let problems = self.problems();
        if problems.is_empty() {
            return Ok(());
        }
        Err(eyre::eyre!("{}", problems.join("\n")))
    }

    /// Reads the mesh key.
    ///
    /// # Errors
    ///
    /// If neither the file nor the environment variable contains a key of at least
    /// [`MIN_SECRET_BYTES`] bytes.
    pub fn mesh_key(&self) -> Result<Secret> {
        read_secret(
            "mesh-key-file",
            self.mesh_key_file.as_deref(),
            MESH_KEY_VARIABLE,
        )
    }

    /// Reads the operator token.
    ///
    /// # Errors
    ///
    /// If neither the file nor the environment variable contains a token of at least
    /// [`MIN_SECRET_BYTES`] bytes.
    pub fn operator_token(&self) -> Result<Secret> {
        read_secret(
            "operator-token-file",
            self.operator_token_file.as_deref(),
            OPERATOR_TOKEN_VARIABLE,
        )
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.mesh.is_empty() {
            problems.push("mesh: must not be empty".to_owned());
        }
        if self.daemon.as_str().is_empty() {
            problems.push("daemon: must not be empty".to_owned());
        }
        if self.control_replicas.is_empty() && self.seeds.is_empty() {
            problems.push(
                "control-replicas: at least one control replica or seed is required".to_owned(),
            );
        }
        if !self.seeds.is_empty() && !self.control_replicas.is_empty() {
            problems.push("seeds: must be empty if control-replicas is set".to_owned());
        }
        if !self.seeds.is_empty() && self.daemon.as_str() != self.listen.link.to_string() {
            problems.push("daemon: must equal listen.link if seeds are set".to_owned());
        }
        self.check_listen(&mut problems);
        self.check_control(&mut problems);
        self.check_witnesses(&mut problems);
        self.check_limits(&mut problems);
        problems
    }

    fn check_listen(&self, problems: &mut Vec<String>) {
        let listen = &self.listen;
        if self.seeds.is_empty() && (listen.calls.is_none() || listen.announce.is_none()) {
            problems.push("listen: calls and announce are required without seeds".to_owned());
        }
        let mut seen = BTreeSet::new();
        let addresses = [listen.calls, Some(listen.link), listen.announce];
        for address in addresses.into_iter().chain([listen.operator]).flatten() {
            // Port 0 requests a free port from the system, so it never conflicts.
            if address.port() != 0 && !seen.insert(address) {
                problems.push(format!("listen: {address} is used twice"));
            }
        }
    }

    fn check_control(&self, problems: &mut Vec<String>) {
        let mut seen = BTreeSet::new();
        for replica in &self.control_replicas {
            if !seen.insert(&replica.daemon) {
                problems.push(format!(
                    "control-replicas: {} is listed twice",
                    replica.daemon
                ));
            }
        }
        let Some(control) = &self.control else {
            return;
        };
        if control.joins_per_second == 0 {
            problems.push("control.joins-per-second: must be at least 1".into());
        }
        if !self.seeds.is_empty() {
            if !matches!(control.wanted_voters, 1 | 3 | 5 | 7) {
                let count = control.wanted_voters;
                problems.push(format!(
                    "control.wanted-voters: {count} voters; use 3, 5 or 7 (1 only for testing)"
                ));
            }
            return;
        }
        if !seen.contains(&self.daemon) {
            problems.push(
                "control-replicas: must include this daemon, because it has a section [control]"
                    .into(),
            );
        }
        if !matches!(control.voters.len(), 1 | 3 | 5) {
            let count = control.voters.len();
            problems.push(format!(
                "control.voters: {count} voters; use 3 or 5 (1 only for testing)"
            ));
        }
        for voter in &control.voters {
            if !seen.contains(voter) {
                problems.push(format!(
                    "control.voters: {voter} is not in control-replicas"
                ));
            }
        }
        if self.listen.operator.is_none() {
            problems.push("listen.operator: required on a control replica".into());
        }
    }

    fn check_witnesses(&self, problems: &mut Vec<String>) {
        let witnesses = &self.floor.witnesses;
        if !matches!(witnesses.len(), 0 | 3 | 5) {
            let count = witnesses.len();
            problems.push(format!(
                "floor.witnesses: {count} witnesses; use 3 or 5, or none"
            ));
        }
        let mut seen = BTreeSet::new();
        for witness in witnesses {
            if witness.daemon == self.daemon {
                problems.push("floor.witnesses: a daemon can't be its own witness".into());
            }
            if !seen.insert(&witness.daemon) {
                problems.push(format!(
                    "floor.witnesses: {} is listed twice",
                    witness.daemon
                ));
            }
        }
    }

    fn check_limits(&self, problems: &mut Vec<String>) {
        let limits = &self.limits;
        let bounds = [
            ("body-bytes", limits.body_bytes, 1, 3 << 20),
            (
                "response-buffer-bytes",
                limits.response_buffer_bytes,
                1,
                4 << 30,
            ),
            ("reconnect-ms", limits.reconnect_ms as usize, 1, 600_000),
            ("idle-ms", limits.idle_ms as usize, 1, 3_600_000),
            (
                "upstream-idle-ms",
                limits.upstream_idle_ms as usize,
                1,
                3_600_000,
            ),
            (
                "link-silence-ms",
                limits.link_silence_ms as usize,
                100,
                600_000,
            ),
            (
                "quota-window-ms",
                limits.quota_window_ms as usize,
                1_000,
                600_000,
            ),
            (
                "quota-overage-percent",
                limits.quota_overage_percent as usize,
                0,
                100,
            ),
            ("quota-slack", limits.quota_slack as usize, 0, 1_000_000),
            ("connections", limits.connections, 1, 100_000),
            ("pipelined", limits.pipelined, 1, 64),
            ("queue-per-slot", limits.queue_per_slot as usize, 0, 1_000),
        ];
        for (name, value, low, high) in bounds {
            if !(low..=high).contains(&value) {
                problems.push(format!(
                    "limits.{name}: {value} is not between {low} and {high}"
                ));
            }
        }
        problems.extend(memory::client_problem(limits));
        if limits.drain_timeout_ms == 0 {
            problems.push("limits.drain-timeout-ms: must be at least 1".into());
        }
    }
}

fn read_secret(field: &str, file: Option<&Path>, variable: &str) -> Result<Secret> {
    let text = match file {
        Some(path) => fs::read_to_string(path).wrap_err_with(|| {
            format!(
                "{field}: can't read {}; create it as docs/settings.md shows, or correct the \
                     path, which is relative to the working directory",
                path.display()
            )
        })?,
        None => std::env::var(variable).map_err(|_| {
            eyre::eyre!(
                "no secret: set {field} in the settings or the environment variable {variable}"
            )
        })?,
    };
    let secret = Secret::new(&text);
    if secret.expose().len() < MIN_SECRET_BYTES {
        eyre::bail!("{field}: the secret must be at least {MIN_SECRET_BYTES} bytes long");
    }
    Ok(secret)
}
