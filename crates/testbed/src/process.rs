//! A mesh of real daemons, each in its own process, for tests of failures.

use std::fs::{self, File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use http::Request;
use rustix::process::{Pid, Signal, kill_process};
use sycamoreflow_daemon::settings::Settings;
use sycamoreflow_transport::http::client::{self, Client};
use tempfile::TempDir;

use crate::mesh::{Host, OPERATOR_TOKEN, REPLICAS, settings};
use crate::operator::Operator;

/// Longest wait for the metrics of a daemon, which may be suspended.
const METRICS_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which an exiting process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A mesh with one process per daemon. Hosts are addressed by their index in the list with which it
/// was started. All processes are killed when it is dropped.
pub struct ProcessMesh {
    program: PathBuf,
    settings: Vec<Settings>,
    processes: Vec<Option<Child>>,
    folder: TempDir,
    client: Client,
}

impl ProcessMesh {
    /// Starts `program` once for each of `hosts`. The first three are control replicas.
    ///
    /// # Errors
    ///
    /// If a settings file can't be written or a process can't be started.
    pub fn start(program: &str, name: &str, hosts: &[Host]) -> eyre::Result<Self> {
        Self::start_with(program, name, hosts, |_| ())
    }

    /// Starts a mesh as [`ProcessMesh::start`] does, with settings changed by `adjust`.
    ///
    /// # Errors
    ///
    /// As for [`ProcessMesh::start`].
    pub fn start_with(
        program: &str,
        name: &str,
        hosts: &[Host],
        adjust: impl Fn(&mut Settings),
    ) -> eyre::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut settings = settings(name, hosts, REPLICAS, folder.path())?;
        settings.iter_mut().for_each(adjust);
        let mut mesh = Self {
            program: program.into(),
            processes: settings.iter().map(|_| None).collect(),
            settings,
            folder,
            client: Client::new(client::Limits::default()),
        };
        for index in 0..mesh.len() {
            fs::write(
                mesh.settings_file(index),
                toml::to_string(&mesh.settings[index])?,
            )?;
            mesh.spawn(index)?;
        }
        Ok(mesh)
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Returns whether the mesh has no hosts.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty()
    }

    /// Returns the indices of the hosts whose daemons are not control replicas.
    pub fn proxies(&self) -> std::ops::Range<usize> {
        REPLICAS..self.len()
    }

    /// Returns the index of the host whose daemon has this name.
    pub fn position(&self, daemon: &str) -> Option<usize> {
        let mut settings = self.settings.iter();
        settings.position(|settings| settings.daemon.as_str() == daemon)
    }

    /// Returns the settings of the daemon on host `index`.
    pub fn settings(&self, index: usize) -> &Settings {
        &self.settings[index]
    }

    /// Returns the path of the settings file of the daemon on host `index`.
    pub fn settings_file(&self, index: usize) -> PathBuf {
        self.file(index, "toml")
    }

    /// Returns the address at which the daemon on host `index` accepts calls.
    pub fn calls_address(&self, index: usize) -> SocketAddr {
        self.settings[index]
            .listen
            .calls
            .expect("every daemon of the testbed serves calls")
    }

    /// Returns the address at which the daemon on host `index` accepts announcements.
    pub fn announce_address(&self, index: usize) -> SocketAddr {
        self.settings[index]
            .listen
            .announce
            .expect("every daemon of the testbed takes announcements")
    }

    /// Returns the folder that holds the settings, logs and data of the daemons.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the log of the daemon on host `index` since its first start. It is empty if there is
    /// none.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.file(index, "log")).unwrap_or_default()
    }

    /// Returns an operator that knows all control replicas of this mesh.
    pub fn operator(&self) -> Operator {
        let replicas = self.settings.iter().filter_map(|s| s.listen.operator);
        Operator::new(replicas.collect(), OPERATOR_TOKEN)
    }

    /// Starts the daemon on host `index`.
    ///
    /// # Errors
    ///
    /// If it is running already or the process can't be started.
    pub fn spawn(&mut self, index: usize) -> eyre::Result<()> {
        eyre::ensure!(
            self.processes[index].is_none(),
            "daemon {index} is already running"
        );
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file(index, "log"))?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(self.settings_file(index))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes[index] = Some(child);
        Ok(())
    }

    /// Kills the daemon on host `index` with SIGKILL and waits for its exit. Does nothing if it
    /// isn't running.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the daemon on host `index`, which then drains and exits.
    ///
    /// # Errors
    ///
    /// If it isn't running.
    pub fn terminate(&self, index: usize) -> eyre::Result<()> {
        self.signal(index, Signal::TERM)
    }

    /// Waits until the daemon on host `index` exits on its own, and returns its exit status.
    ///
    /// # Errors
    ///
    /// If it isn't running or doesn't exit within `timeout`.
    pub async fn wait_for_exit(
        &mut self,
        index: usize,
        timeout: Duration,
    ) -> eyre::Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let child = self.processes[index].as_mut();
            let child = child.ok_or_else(|| eyre::eyre!("daemon {index} is not running"))?;
            if let Some(status) = child.try_wait()? {
                self.processes[index] = None;
                return Ok(status);
            }
            eyre::ensure!(
                Instant::now() < deadline,
                "daemon {index} did not exit within {timeout:?}"
            );
            task::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Suspends the daemon on host `index` with SIGSTOP.
    ///
    /// # Errors
    ///
    /// If it isn't running.
    pub fn suspend(&self, index: usize) -> eyre::Result<()> {
        self.signal(index, Signal::STOP)
    }

    /// Resumes the suspended daemon on host `index` with SIGCONT.
    ///
    /// # Errors
    ///
    /// If it isn't running.
    pub fn resume(&self, index: usize) -> eyre::Result<()> {
        self.signal(index, Signal::CONT)
    }

    /// Deletes the data folder of the control replica on host `index`.
    ///
    /// # Errors
    ///
    /// If the daemon is running or is not a control replica, or the folder can't be deleted.
    pub fn delete_data(&self, index: usize) -> eyre::Result<()> {
        eyre::ensure!(
            self.processes[index].is_none(),
            "daemon {index} is still running"
        );
        let control = self.settings[index].control.as_ref();
        let control =
            control.ok_or_else(|| eyre::eyre!("host {index} is not a control replica"))?;
        fs::remove_dir_all(&control.data)?;
        Ok(())
    }

    /// Returns the sum of a metric over all label values at the daemon on host `index`, or `None`
    /// if the daemon doesn't respond or doesn't export the metric.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        metric(&self.client, self.announce_address(index), name).await
    }

    /// Returns the configuration version in force at the daemon on host `index`, or `None` if the
    /// daemon doesn't respond or exports none.
    pub async fn config_version(&self, index: usize) -> Option<u64> {
        let version = self
            .metric(index, "sycamoreflow_view_config_version")
            .await?;
        Some(version as u64)
    }

    /// Returns the largest memory that the daemon on host `index` has used since its start, in KiB.
    ///
    /// # Errors
    ///
    /// If it isn't running, or the system does not tell.
    pub fn peak_memory(&self, index: usize) -> eyre::Result<u64> {
        self.memory(index, "VmHWM:")
    }

    /// Returns the resident memory of the daemon on host `index` in KiB.
    ///
    /// # Errors
    ///
    /// If it isn't running, or the system does not tell.
    pub fn resident_memory(&self, index: usize) -> eyre::Result<u64> {
        self.memory(index, "VmRSS:")
    }

    /// Returns the number of descriptors that the daemon on host `index` has open.
    ///
    /// # Errors
    ///
    /// If it isn't running, or the system does not tell.
    pub fn open_descriptors(&self, index: usize) -> eyre::Result<usize> {
        let folder = format!("/proc/{}/fd", self.process(index)?.id());
        Ok(fs::read_dir(folder)?.count())
    }

    fn memory(&self, index: usize, field: &str) -> eyre::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process(index)?.id()))?;
        let value = status.lines().find_map(|line| line.strip_prefix(field));
        let value = value.and_then(|text| text.trim().strip_suffix("kB")?.trim().parse().ok());
        value.ok_or_else(|| eyre::eyre!("/proc has no field {field}"))
    }

    fn process(&self, index: usize) -> eyre::Result<&Child> {
        let child = self.processes[index].as_ref();
        child.ok_or_else(|| eyre::eyre!("daemon {index} is not running"))
    }

    fn file(&self, index: usize, extension: &str) -> PathBuf {
        let daemon = self.settings[index].daemon.as_str();
        self.folder.path().join(format!("{daemon}.{extension}"))
    }

    fn signal(&self, index: usize, signal: Signal) -> eyre::Result<()> {
        kill_process(Pid::from_child(self.process(index)?), signal)?;
        Ok(())
    }
}

impl Drop for ProcessMesh {
    fn drop(&mut self) {
        for index in 0..self.len() {
            self.kill(index);
        }
    }
}

/// Returns the sum of a metric over all label values at the daemon that accepts announcements at
/// `address`, or `None` if the daemon doesn't respond or doesn't export the metric.
pub async fn metric(client: &Client, address: SocketAddr, name: &str) -> Option<f64> {
    let request = Request::get("/metrics").body(Bytes::new()).ok()?;
    let deadline = Instant::now() + METRICS_TIMEOUT;
    let response = client.send(address, request, deadline).await.ok()?;
    let text = std::str::from_utf8(response.body()).ok()?;
    let mut sum = None;
    for line in text.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        if series.split('{').next() != Some(name) {
            continue;
        }
        sum = Some(sum.unwrap_or(0.0) + value.parse::<f64>().ok()?);
    }
    sum
}
