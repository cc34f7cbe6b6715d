//! The subscription of a daemon to a control replica.
//!
//! One task keeps a link to any replica, applies updates, stages their versions at the witnesses
//! and puts them in force. While no replica admits the daemon, its view stays in force; a daemon
//! without a view takes that of a witness at or above its floor (`docs/design.md`, section 2.3).

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel;
use async_std::future::timeout;
use async_std::task;
use futures::future::{Fuse, FusedFuture};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sycamoreflow_coordination::distribution::home_replica;
use sycamoreflow_coordination::failover::{Ended, Failover, Step};
use sycamoreflow_coordination::leases::RENEW_INTERVAL;
use sycamoreflow_protocol::codec::CodecError;
use sycamoreflow_protocol::distribution::{FromReplica, FromSubscriber};
use sycamoreflow_protocol::handshake::{Identity, Purpose};
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis};
use sycamoreflow_state::view::{Delta, Interest, Rejection, View};
use sycamoreflow_transport::link::{self, LinkError, Receiver, SendError, Sender};

use crate::clock;
use crate::floor::FloorClient;
use crate::proxy::Proxy;
use crate::replicas::Replicas;
use crate::settings::ReplicaAddress;
use crate::traffic::{LinkMeter, Traffic};

/// Time without a successful subscription after which a warning is logged. Forming a control group
/// and electing its first leader took 2 to 3 s on loopback.
const UNSERVED_WARNING_DELAY: Millis = Millis(5_000);

/// Timeout for a replica to admit the subscription.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(3);

/// Range of the delay, in milliseconds, after which a subscription moves to the home replica of the
/// daemon. It is random, so that daemons that were disconnected together do not move together, and
/// long enough for the daemon to be up to date first.
const MOVE_DELAY_MS: Range<u64> = 1_000..4_000;

/// Delay before a move is tried again after the home replica did not admit the daemon.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// Result of a step of a subscription.
type Result<T> = std::result::Result<T, SubscriptionError>;

/// Reason why a subscription failed or ended.
#[derive(Debug)]
enum SubscriptionError {
    Link(LinkError),
    Send(SendError),
    RetryAfter(Millis),
    NoQuorum,
    NotAdmitted,
    /// The replica did not answer within [`ADMISSION_TIMEOUT`].
    AdmissionTimeout,
    /// The local view has diverged from the replica, so a delta can't bring it up to date.
    Diverged,
}

impl SubscriptionError {
    fn kind(&self) -> Ended {
        match self {
            Self::Link(LinkError::Silent | LinkError::OpenTimeout) | Self::AdmissionTimeout => {
                Ended::Silent
            }
            Self::RetryAfter(wait) => Ended::RetryAfter(*wait),
            _ => Ended::Closed,
        }
    }
}

impl fmt::Display for SubscriptionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Link(error) => error.fmt(f),
            Self::Send(error) => error.fmt(f),
            Self::RetryAfter(wait) => write!(f, "the replica asked to retry after {} ms", wait.0),
            Self::NoQuorum => f.write_str("the replica has no quorum"),
            Self::NotAdmitted => f.write_str("the replica did not admit the subscription"),
            Self::AdmissionTimeout => f.write_str("the replica did not answer the subscription"),
            Self::Diverged => f.write_str("the local view has diverged from the replica"),
        }
    }
}

impl From<LinkError> for SubscriptionError {
    fn from(error: LinkError) -> Self {
        Self::Link(error)
    }
}

impl From<CodecError> for SubscriptionError {
    fn from(error: CodecError) -> Self {
        Self::Link(LinkError::Codec(error))
    }
}

impl From<SendError> for SubscriptionError {
    fn from(error: SendError) -> Self {
        Self::Send(error)
    }
}

/// A subscription that a replica has admitted.
struct Subscription {
    tx: Sender,
    rx: Receiver,
    meter: LinkMeter,
}

/// Progress of an attempt to subscribe to a replica.
enum Progress {
    /// The replica has completed the handshake of the link.
    Connected(DaemonId, Sender, Receiver),
    /// The replica has admitted the subscription.
    Admitted(DaemonId, Subscription),
    Failed(DaemonId, SubscriptionError),
}

/// The time during which the daemon had no stable subscription.
struct Outage {
    since: Millis,
    warned: bool,
}

impl Outage {
    fn new(since: Millis) -> Self {
        Self {
            since,
            warned: false,
        }
    }

    /// Logs a warning once if the outage is longer than [`UNSERVED_WARNING_DELAY`].
    fn warn_if_long(&mut self, now: Millis, replica: &DaemonId, ended: &SubscriptionError) {
        if self.warned || now.since(self.since) <= UNSERVED_WARNING_DELAY {
            return;
        }
        self.warned = true;
        tracing::warn!(
            %replica, %ended,
            "no control replica serves this daemon; it keeps trying. Check control-replicas, the \
             mesh name and the mesh key"
        );
    }
}

/// Records that a subscription or an attempt has ended. `wait` is the time until the next attempt.
fn log_end(replica: &DaemonId, reason: &SubscriptionError, wait: Millis) {
    metrics::counter!("sycamoreflow_subscriptions_ended_total").increment(1);
    tracing::info!(event = "subscription", up = false, %replica, %reason, wait_ms = wait.0);
}

/// Configuration and shared state of the subscription.
pub struct Subscriber {
    /// Identifier of this daemon.
    pub daemon: DaemonId,
    /// Identity presented in link handshakes.
    pub identity: Identity,
    /// Time and size limits of the link to a replica.
    pub limits: link::Limits,
    /// Replicas that the daemon may subscribe to.
    pub replicas: Arc<Replicas>,
    /// Maximum wait after a failed attempt. A subscription that lasted longer resets the backoff.
    pub max_backoff: Millis,
    /// Resources that the view must contain.
    pub interest: Interest,
    /// Proxy in which views are put in force.
    pub proxy: Arc<Proxy>,
    /// Version floor: no view below it is put in force.
    pub floor: Arc<FloorClient>,
    /// Counts the bytes of the subscription.
    pub traffic: Arc<Traffic>,
    /// Seed of the random numbers for backoff times and the order of replicas.
    pub seed: u64,
    /// Signals that the endpoints of this daemon have changed, so that they are sent at once.
    pub endpoints_changed: channel::Receiver<()>,
    /// Signals that evidence or crash suspects have to be reported at once.
    pub urgent_report: channel::Receiver<()>,
}

impl Subscriber {
    /// Keeps the daemon subscribed. Never returns.
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let silence_timeout = Millis(self.limits.silence_timeout.as_millis() as u64);
        let mut failover = Failover::new(silence_timeout, self.max_backoff);
        let mut outage = Outage::new(clock::now());
        let mut diverged = false;
        loop {
            let subscription = self
                .search(&mut failover, &mut outage, &mut rng, diverged)
                .await;
            let since = clock::now();
            let (replica, ended) = self.serve(subscription).await;
            diverged = matches!(ended, SubscriptionError::Diverged);
            let now = clock::now();
            let lasted = now.since(since);
            if lasted > self.max_backoff {
                outage = Outage::new(now);
            }
            let wait = failover.subscription_ended(now, &replica, ended.kind(), lasted, &mut rng);
            log_end(&replica, &ended, wait);
        }
    }

    /// Tries the known replicas as [`Failover`] decides, and returns the first subscription that is
    /// admitted. The other attempts are then abandoned, which closes their links.
    ///
    /// While no replica admits the daemon and it has no view, it takes that of a witness.
    async fn search(
        &self,
        failover: &mut Failover,
        outage: &mut Outage,
        rng: &mut StdRng,
        diverged: bool,
    ) -> Subscription {
        let mut attempts = FuturesUnordered::new();
        let mut witness_view = Box::pin(Fuse::terminated());
        let mut passes = failover.passes();
        loop {
            let known = self.replicas.all();
            let ids: Vec<DaemonId> = known.iter().map(|r| r.daemon.clone()).collect();
            let now = clock::now();
            let wait = match failover.next_step(now, &ids, rng) {
                Step::Start(id) => {
                    let replica = known.into_iter().find(|r| r.daemon == id);
                    attempts.extend(replica.map(|replica| self.start_attempt(replica).boxed()));
                    continue;
                }
                Step::WaitUntil(time) => time.since(now),
                Step::Wait => self.max_backoff,
            };
            if ids.is_empty() {
                tracing::error!("no control replica is configured");
            }
            if failover.passes() != passes && witness_view.is_terminated() {
                passes = failover.passes();
                if self.proxy.view().is_none() {
                    witness_view.set(self.load_view_from_witnesses().fuse());
                }
            }
            let progress = futures::select! {
                progress = attempts.select_next_some() => progress,
                () = witness_view => continue,
                () = task::sleep(clock::duration(wait)).fuse() => continue,
            };
            let now = clock::now();
            match progress {
                Progress::Connected(replica, tx, rx) => {
                    failover.answered(now, &replica);
                    attempts.push(self.finish_attempt(replica, tx, rx, diverged).boxed());
                }
                Progress::Admitted(replica, subscription) => {
                    failover.admitted(&replica);
                    return subscription;
                }
                Progress::Failed(replica, error) => {
                    let wait = failover.failed(now, &replica, error.kind(), rng);
                    log_end(&replica, &error, wait);
                    outage.warn_if_long(now, &replica, &error);
                }
            }
        }
    }

    async fn start_attempt(&self, replica: ReplicaAddress) -> Progress {
        match self.connect(replica.link).await {
            Ok((tx, rx)) => Progress::Connected(replica.daemon, tx, rx),
            Err(error) => Progress::Failed(replica.daemon, error),
        }
    }

    async fn finish_attempt(
        &self,
        replica: DaemonId,
        tx: Sender,
        rx: Receiver,
        diverged: bool,
    ) -> Progress {
        match self.request_admission(tx, rx, diverged).await {
            Ok(subscription) => Progress::Admitted(replica, subscription),
            Err(error) => Progress::Failed(replica, error),
        }
    }

    /// Puts the view of a witness in force, if a majority of the witnesses confirms the floor and
    /// one of them has a view at or above it.
    async fn load_view_from_witnesses(&self) {
        let Some(floor) = self.floor.recover().await else {
            return;
        };
        self.floor.raise(floor);
        let Some(view) = self.floor.fetch_view(&self.interest, floor).await else {
            return;
        };
        tracing::info!(version = %view.version().config, "view taken from a witness");
        self.stage_and_activate(view).await;
    }

    /// Serves a subscription, also after it has moved to the home replica. Returns the replica that
    /// served it last and the reason why it has ended.
    async fn serve(&self, mut subscription: Subscription) -> (DaemonId, SubscriptionError) {
        loop {
            let Subscription { tx, rx, meter } = subscription;
            let ended = self.run_subscription(&tx, rx, &meter).await;
            meter.update(tx.bytes());
            let replica = tx.peer().daemon.clone();
            match ended {
                Ok(moved) => {
                    tracing::info!(event = "subscription_moved", from = %replica,
                        replica = %moved.tx.peer().daemon);
                    subscription = moved;
                }
                Err(error) => return (replica, error),
            }
        }
    }

    /// Opens a subscription to a replica.
    async fn open(&self, replica: &ReplicaAddress, diverged: bool) -> Result<Subscription> {
        let (tx, rx) = self.connect(replica.link).await?;
        self.request_admission(tx, rx, diverged).await
    }

    async fn connect(&self, replica: SocketAddr) -> Result<(Sender, Receiver)> {
        let purpose = Purpose::Distribution;
        Ok(link::connect(replica, &self.identity, purpose, &self.limits).await?)
    }

    async fn request_admission(
        &self,
        tx: Sender,
        mut rx: Receiver,
        diverged: bool,
    ) -> Result<Subscription> {
        let meter = LinkMeter::new(self.traffic.clone());
        let view = self.proxy.view().filter(|_| !diverged);
        // The admission answers this question: a quorum confirms the floor after it has arrived.
        let question = self.proxy.key_lease().ask();
        tx.send(&FromSubscriber::Subscribe {
            interest: self.interest.clone(),
            have: view.map(|view| view.version()),
            endpoints: self.proxy.owner().endpoints(),
            departures: self.proxy.owner().departures(),
        })?;
        let admitted = self.wait_for_admission(&mut rx).await;
        meter.update(tx.bytes());
        let floor = admitted?;
        if let Some(number) = question {
            self.key_confirmed(number, floor);
        }
        tracing::info!(event = "subscription", up = true, replica = %tx.peer().daemon);
        Ok(Subscription { tx, rx, meter })
    }

    /// Serves a subscription until it fails, or until the subscription to the home replica that
    /// takes its place has been admitted.
    async fn run_subscription(
        &self,
        tx: &Sender,
        rx: Receiver,
        meter: &LinkMeter,
    ) -> Result<Subscription> {
        self.proxy.crashes().report_again();
        let updates = self.receive_updates(tx, rx).fuse();
        let renewals = self.send_renewals(tx).fuse();
        let reports = self.send_reports(tx, meter).fuse();
        let questions = self.send_questions(tx).fuse();
        let quotas = self.send_quota_reports(tx).fuse();
        let moved = self.open_home(&tx.peer().daemon).fuse();
        futures::pin_mut!(updates, renewals, reports, questions, quotas, moved);
        let result = futures::select! {
            result = updates => result,
            result = renewals => result,
            result = reports => result,
            result = questions => result,
            result = quotas => result,
            subscription = moved => return Ok(subscription),
        };
        result?;
        Err(SubscriptionError::Link(LinkError::Closed))
    }

    /// Opens a subscription to the home replica of this daemon if that is not `current`, and
    /// returns once it is admitted.
    ///
    /// A daemon that has started knows only the replicas in its settings. In a large mesh, they
    /// would serve all subscribers, and the other replicas none.
    async fn open_home(&self, current: &DaemonId) -> Subscription {
        let mut rng = StdRng::seed_from_u64(self.seed);
        loop {
            let delay = Duration::from_millis(rng.random_range(MOVE_DELAY_MS));
            task::sleep(delay).await;
            let replicas = self.replicas.all();
            let ids = replicas.iter().map(|replica| &replica.daemon);
            let home = home_replica(&self.daemon, ids).filter(|home| *home != current);
            let Some(home) = replicas.iter().find(|r| Some(&r.daemon) == home) else {
                continue;
            };
            match self.open(home, false).await {
                Ok(subscription) => {
                    metrics::counter!("sycamoreflow_subscriptions_moved_total").increment(1);
                    return subscription;
                }
                Err(error) => {
                    tracing::info!(event = "subscription_not_moved", replica = %home.daemon,
                        reason = %error);
                    task::sleep(MOVE_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Waits until the replica admits the subscription, and returns the floor that it states.
    async fn wait_for_admission(&self, rx: &mut Receiver) -> Result<ConfigVersion> {
        let first = timeout(ADMISSION_TIMEOUT, rx.receive::<FromReplica>()).await;
        match first.map_err(|_| SubscriptionError::AdmissionTimeout)?? {
            FromReplica::Admitted { floor } => {
                self.floor.raise(floor);
                Ok(floor)
            }
            FromReplica::RetryAfter(wait) => Err(SubscriptionError::RetryAfter(wait)),
            FromReplica::NoQuorum => Err(SubscriptionError::NoQuorum),
            _ => Err(SubscriptionError::NotAdmitted),
        }
    }

    async fn receive_updates(&self, tx: &Sender, mut rx: Receiver) -> Result<()> {
        loop {
            let frame = rx.receive_encoded().await?;
            match FromReplica::from_frame(&frame)? {
                FromReplica::Update(delta) => self.handle_update(tx, &delta).await?,
                FromReplica::Grants(grants) => self.proxy.grant(&grants),
                FromReplica::QuotaGrants(grants) => self.proxy.quotas().apply(&grants),
                FromReplica::Members(members) => self.replicas.set_members(&members),
                FromReplica::Suspects(report) => self.proxy.crashes().merge(&report),
                FromReplica::Confirmed { number, config } => self.key_confirmed(number, config),
                FromReplica::NoQuorum => return Err(SubscriptionError::NoQuorum),
                FromReplica::RetryAfter(wait) => return Err(SubscriptionError::RetryAfter(wait)),
                FromReplica::Admitted { .. } | FromReplica::Packed(_) => {
                    return Err(SubscriptionError::NotAdmitted);
                }
            }
        }
    }

    async fn handle_update(&self, tx: &Sender, delta: &Delta) -> Result<()> {
        match self.apply(delta) {
            Ok(view) => {
                let version = view.version();
                let before = self.proxy.view().map(|view| view.version().config);
                let endpoints = self.proxy.owner().endpoints();
                // Only configuration versions are confirmed immediately. Endpoint versions are
                // reported with the next renewal, which is soon enough.
                if self.stage_and_activate(view).await && before != Some(version.config) {
                    tx.send(&FromSubscriber::InForce(version))?;
                }
                // The endpoints are announced after the first view, and a view may contain departures.
                if before.is_none() || self.proxy.owner().endpoints() != endpoints {
                    self.renew(tx)?;
                }
                Ok(())
            }
            Err(rejection) if rejection.is_duplicate() => {
                tx.send(&FromSubscriber::InForce(delta.to))?;
                Ok(())
            }
            Err(rejection) => {
                metrics::counter!("sycamoreflow_updates_rejected_total").increment(1);
                tracing::warn!(%rejection, "update rejected; the view is unchanged");
                tx.send(&FromSubscriber::Rejected {
                    version: delta.to,
                    reason: rejection.to_string(),
                })?;
                match rejection {
                    // The content itself is invalid, so a full update would fail as well.
                    Rejection::Invalid(_) => Ok(()),
                    // The next subscription requests the full state.
                    _ => Err(SubscriptionError::Diverged),
                }
            }
        }
    }

    fn apply(&self, delta: &Delta) -> std::result::Result<View, Rejection> {
        match self.proxy.view() {
            // A full state replaces the own view even if that has diverged, unless it is older.
            Some(own) if delta.from.is_none() && delta.to.is_at_least(&own.version()) => {
                View::from_full(&self.interest, delta)
            }
            Some(own) => own.apply(delta),
            None => View::from_full(&self.interest, delta),
        }
    }

    /// Stages the version of a view at the witnesses and puts the view in force. Returns whether
    /// the view is in force.
    ///
    /// A view below the floor is rejected; it can come only from a replica whose quorum has not
    /// confirmed it.
    async fn stage_and_activate(&self, view: View) -> bool {
        let version = view.version().config;
        if Some(version) < self.floor.current() {
            metrics::counter!("sycamoreflow_views_below_floor_total").increment(1);
            return false;
        }
        let in_force = self.proxy.view().map(|view| view.version().config);
        if in_force < Some(version) {
            self.floor.stage(version).await;
        }
        self.floor.raise(version);
        self.proxy.activate(Arc::new(view));
        true
    }

    async fn send_renewals(&self, tx: &Sender) -> Result<()> {
        loop {
            let interval = clock::duration(RENEW_INTERVAL);
            let _ = timeout(interval, self.endpoints_changed.recv()).await;
            self.renew(tx)?;
        }
    }

    /// Asks the replica for the newest configuration as often as the key lease needs it.
    async fn send_questions(&self, tx: &Sender) -> Result<()> {
        let lease = self.proxy.key_lease();
        let Some(interval) = lease.question_interval() else {
            return std::future::pending().await;
        };
        loop {
            task::sleep(clock::duration(interval)).await;
            if let Some(number) = lease.ask() {
                tx.send(&FromSubscriber::Confirm { number })?;
            }
        }
    }

    /// Extends the key lease by an answer, as soon as the configuration in it is in force.
    fn key_confirmed(&self, number: u64, newest: ConfigVersion) {
        let in_force = self.proxy.view().map(|view| view.version().config);
        self.proxy.key_lease().answered(number, newest, in_force);
    }

    fn renew(&self, tx: &Sender) -> Result<()> {
        let owner = self.proxy.owner();
        tx.send(&FromSubscriber::Renew {
            endpoints: owner.endpoints(),
            departures: owner.departures(),
            in_force: self.proxy.view().map(|view| view.version()),
        })?;
        Ok(())
    }

    async fn send_quota_reports(&self, tx: &Sender) -> Result<()> {
        loop {
            let report = self.proxy.quotas().next_report().await;
            tx.send(&FromSubscriber::Quota(report))?;
        }
    }

    async fn send_reports(&self, tx: &Sender, meter: &LinkMeter) -> Result<()> {
        loop {
            let interval = clock::duration(self.proxy.report_interval());
            let _ = timeout(interval, self.urgent_report.recv()).await;
            meter.update(tx.bytes());
            // During a rollout, an empty report is sent too: it shows that there was no traffic.
            if self.proxy.has_rollout() {
                tx.send(&FromSubscriber::Report(self.proxy.report()))?;
            }
            if let Some(suspects) = self.proxy.crashes().report() {
                tx.send(&FromSubscriber::Suspects(suspects))?;
            }
        }
    }
}
