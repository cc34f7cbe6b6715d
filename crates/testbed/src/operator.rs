//! A simulated operator, which sends requests to the operator interfaces of the control replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamoreflow_state::answers::Answers;
use sycamoreflow_state::generate::generate;
use sycamoreflow_state::ids::{ConfigVersion, Millis};
use sycamoreflow_state::operator::{
    APPROVE_PATH, ApproveRequest, ApproveResponse, CONFIG_PATH, ConfigResponse, DRAIN_PATH,
    DrainRequest, DrainResponse, ENDPOINTS_PATH, EVACUATIONS_PATH, EndpointsResponse,
    EvacuationResponse, HISTORY_PATH, HistoryResponse, STATUS_PATH, StatusResponse,
};
use sycamoreflow_transport::http::client::{self, Client};

/// Delay before all replicas are tried again after none could answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one replica, which may be suspended.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// An operator that knows the addresses of all control replicas.
#[derive(Clone)]
pub struct Operator {
    client: Client,
    replicas: Vec<SocketAddr>,
    /// Index of the replica that answered last. The next request goes to it first.
    preferred: Arc<AtomicUsize>,
    token: String,
}

impl Operator {
    /// Creates an operator that sends `token` to the replicas at these addresses.
    pub fn new(replicas: Vec<SocketAddr>, token: &str) -> Self {
        Self {
            client: Client::new(client::Limits::default()),
            replicas,
            preferred: Arc::default(),
            token: token.to_owned(),
        }
    }

    /// Approves answers based on the version in force.
    ///
    /// # Errors
    ///
    /// If the answers are invalid or the approval isn't accepted within `timeout`.
    pub async fn approve(
        &self,
        request_id: &str,
        answers: &str,
        timeout: Duration,
    ) -> eyre::Result<ApproveResponse> {
        let base = self.config(timeout).await?.version;
        self.approve_on(base, request_id, answers, timeout).await
    }

    /// Approves answers based on the version `base`.
    ///
    /// # Errors
    ///
    /// If the answers are invalid, another version is in force, or the approval isn't accepted
    /// within `timeout`.
    pub async fn approve_on(
        &self,
        base: ConfigVersion,
        request_id: &str,
        answers: &str,
        timeout: Duration,
    ) -> eyre::Result<ApproveResponse> {
        let parsed = Answers::parse("answers.toml", answers).map_err(problems)?;
        let config = generate(&parsed, unix_now()).map_err(problems)?;
        let request = ApproveRequest {
            request_id: request_id.into(),
            base,
            operator: "testbed".to_owned(),
            answers: answers.to_owned(),
            config,
        };
        self.send("POST", APPROVE_PATH, Some(&request), timeout)
            .await
    }

    /// Marks the endpoints at a daemon as draining, or removes that mark.
    ///
    /// # Errors
    ///
    /// If the mark isn't published within `timeout`.
    pub async fn drain(
        &self,
        daemon: &str,
        draining: bool,
        timeout: Duration,
    ) -> eyre::Result<DrainResponse> {
        let request = DrainRequest {
            daemon: daemon.into(),
            draining,
        };
        self.send("POST", DRAIN_PATH, Some(&request), timeout).await
    }

    /// Evacuates a data centre, or restores it.
    ///
    /// # Errors
    ///
    /// If the order isn't accepted within `timeout`.
    pub async fn evacuate(
        &self,
        request_id: &str,
        data_centre: &str,
        evacuate: bool,
        timeout: Duration,
    ) -> eyre::Result<EvacuationResponse> {
        let method = if evacuate { "POST" } else { "DELETE" };
        let path = format!("{EVACUATIONS_PATH}{data_centre}?request-id={request_id}");
        self.send::<(), _>(method, &path, None, timeout).await
    }

    /// Returns the endpoints that a replica distributes.
    ///
    /// # Errors
    ///
    /// If no replica answers within `timeout`.
    pub async fn endpoints(&self, timeout: Duration) -> eyre::Result<EndpointsResponse> {
        self.send::<(), _>("GET", ENDPOINTS_PATH, None, timeout)
            .await
    }

    /// Returns the history of approvals, rollouts and key holders.
    ///
    /// # Errors
    ///
    /// If no replica answers within `timeout`.
    pub async fn history(&self, timeout: Duration) -> eyre::Result<HistoryResponse> {
        self.send::<(), _>("GET", HISTORY_PATH, None, timeout).await
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// If no replica answers within `timeout`.
    pub async fn config(&self, timeout: Duration) -> eyre::Result<ConfigResponse> {
        self.send::<(), _>("GET", CONFIG_PATH, None, timeout).await
    }

    /// Returns the state of the mesh.
    ///
    /// # Errors
    ///
    /// If the leader doesn't answer within `timeout`.
    pub async fn status(&self, timeout: Duration) -> eyre::Result<StatusResponse> {
        self.send::<(), _>("GET", STATUS_PATH, None, timeout).await
    }

    /// Waits until a version or a later one is in force at `daemons` daemons. Returns the
    /// convergence time that the leader measured.
    ///
    /// # Errors
    ///
    /// If that takes longer than `timeout` or the leader doesn't answer.
    pub async fn wait_for_convergence(
        &self,
        version: ConfigVersion,
        daemons: u64,
        timeout: Duration,
    ) -> eyre::Result<Millis> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.status(timeout).await?;
            let convergence = &status.convergence;
            let complete = status.config >= version && convergence.in_force >= daemons;
            if let (true, Some(duration)) = (complete, convergence.duration) {
                return Ok(duration);
            }
            if Instant::now() > deadline {
                eyre::bail!(
                    "version {version} is not in force at {daemons} daemons in time: {convergence:?}"
                );
            }
            task::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request to the replicas in turn until one answers it with success.
    ///
    /// # Errors
    ///
    /// If a replica answers with an error other than 503, or none answers within `timeout`.
    async fn send<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> eyre::Result<R> {
        let deadline = Instant::now() + timeout;
        let body = match body {
            Some(body) => serde_json::to_vec(body)?,
            None => Vec::new(),
        };
        let body = Bytes::from(body);
        let mut last_error = String::from("the list of replicas is empty");
        while Instant::now() < deadline {
            let first = self.preferred.load(Ordering::Relaxed);
            for step in 0..self.replicas.len() {
                let index = (first + step) % self.replicas.len();
                let replica = self.replicas[index];
                let request = Request::builder()
                    .method(method)
                    .uri(path)
                    .header("authorization", format!("Bearer {}", self.token))
                    .header("content-type", "application/json")
                    .body(body.clone())?;
                let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
                match self.client.send(replica, request, attempt_deadline).await {
                    Ok(response) if response.status().is_success() => {
                        self.preferred.store(index, Ordering::Relaxed);
                        return Ok(serde_json::from_slice(response.body())?);
                    }
                    Ok(response) if response.status() != 503 => {
                        let text = String::from_utf8_lossy(response.body()).into_owned();
                        eyre::bail!("{path} returned status {}: {text}", response.status());
                    }
                    Ok(response) => last_error = format!("{:?}", response.body()),
                    Err(failure) => last_error = format!("{failure:?}"),
                }
            }
            task::sleep(RETRY_PAUSE).await;
        }
        Err(eyre::eyre!(
            "no replica answered {path} within {timeout:?}: {last_error}"
        ))
    }
}

fn problems<T: std::fmt::Display>(problems: Vec<T>) -> eyre::Report {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    eyre::eyre!(lines.join("\n"))
}

fn unix_now() -> Millis {
    sycamoreflow_daemon::clock::unix_now()
}
