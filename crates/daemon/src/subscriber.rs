//! The subscription of a daemon to a control replica.
//!
//! One task keeps a link to any replica, applies updates, stages their versions at the witnesses
//! and puts them in force. While no replica admits the daemon, its view stays in force; a daemon
//! without a view takes that of a witness at or above its floor (`docs/design.md`, section 2.3).

use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel;
use async_std::future::timeout;
use async_std::task;
use futures::FutureExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use sycamoreflow_coordination::distribution::home_replica;
use sycamoreflow_coordination::leases::RENEW_INTERVAL;
use sycamoreflow_protocol::codec::CodecError;
use sycamoreflow_protocol::distribution::{FromReplica, FromSubscriber};
use sycamoreflow_protocol::handshake::{Identity, Purpose};
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::view::{Delta, Interest, Rejection, View};
use sycamoreflow_transport::link::{self, LinkError, Receiver, SendError, Sender};

use crate::clock;
use crate::floor::FloorClient;
use crate::proxy::Proxy;
use crate::replicas::Replicas;
use crate::settings::ReplicaAddress;
use crate::traffic::{LinkMeter, Traffic};

use backoff::{BACKOFF_MIN, Backoff};

mod backoff;

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
    /// The local view has diverged from the replica, so a delta can't bring it up to date.
    Diverged,
}

impl fmt::Display for SubscriptionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Link(error) => error.fmt(f),
            Self::Send(error) => error.fmt(f),
            Self::RetryAfter(wait) => write!(f, "the replica asked to retry after {} ms", wait.0),
            Self::NoQuorum => f.write_str("the replica has no quorum"),
            Self::NotAdmitted => f.write_str("the replica did not admit the subscription"),
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
    /// Maximum wait between two attempts. A subscription that lasted longer resets the backoff.
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
    /// Keeps the daemon subscribed, reconnecting with a backoff. Never returns.
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut backoff = Backoff::new(self.max_backoff);
        let mut untried: Vec<ReplicaAddress> = Vec::new();
        let mut diverged = false;
        let mut unserved_since = clock::now();
        let mut warned = false;
        loop {
            if untried.is_empty() {
                untried = self.replicas.all();
                untried.shuffle(&mut rng);
            }
            let Some(replica) = untried.pop() else {
                tracing::error!("no control replica is configured");
                task::sleep(clock::duration(self.max_backoff)).await;
                continue;
            };
            let replica = &replica;
            let started = clock::now();
            let ended = self.subscribe(replica, diverged).await;
            diverged = matches!(ended, SubscriptionError::Diverged);
            metrics::counter!("sycamoreflow_subscriptions_ended_total").increment(1);
            if clock::now().since(started) > self.max_backoff {
                backoff.reset();
                unserved_since = clock::now();
                warned = false;
            } else if !warned && clock::now().since(unserved_since) > UNSERVED_WARNING_DELAY {
                warned = true;
                let replica = &replica.daemon;
                tracing::warn!(
                    %replica, %ended,
                    "no control replica serves this daemon; it keeps trying. Check \
                     control-replicas, the mesh name and the mesh key"
                );
            }
            let backoff_wait = backoff.next_wait(&mut rng, untried.is_empty());
            let wait = match ended {
                SubscriptionError::RetryAfter(wait) => {
                    Millis(wait.0 + rng.random_range(0..=BACKOFF_MIN.0))
                }
                _ => backoff_wait,
            };
            tracing::info!(event = "subscription", up = false, replica = %replica.daemon,
                reason = %ended, wait_ms = wait.0);
            if self.proxy.view().is_none() && untried.is_empty() {
                self.load_view_from_witnesses().await;
            }
            task::sleep(clock::duration(wait)).await;
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

    /// Subscribes to a replica and serves the subscription, also after it has moved to the home
    /// replica. Returns the reason why it has ended.
    async fn subscribe(&self, replica: &ReplicaAddress, diverged: bool) -> SubscriptionError {
        let mut opened = self.open(replica, diverged).await;
        loop {
            let Subscription { tx, rx, meter } = match opened {
                Ok(subscription) => subscription,
                Err(error) => return error,
            };
            opened = self.run_subscription(&tx, rx, &meter).await;
            meter.update(tx.bytes());
        }
    }

    async fn open(&self, replica: &ReplicaAddress, diverged: bool) -> Result<Subscription> {
        let opened = link::connect(
            replica.link,
            &self.identity,
            Purpose::Distribution,
            &self.limits,
        );
        let (tx, mut rx) = opened.await?;
        let meter = LinkMeter::new(self.traffic.clone());
        let view = self.proxy.view().filter(|_| !diverged);
        tx.send(&FromSubscriber::Subscribe {
            interest: self.interest.clone(),
            have: view.map(|view| view.version()),
            endpoints: self.proxy.owner().endpoints(),
        })?;
        let admitted = self.wait_for_admission(&mut rx).await;
        meter.update(tx.bytes());
        admitted?;
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
        let updates = self.receive_updates(tx, rx).fuse();
        let renewals = self.send_renewals(tx).fuse();
        let reports = self.send_reports(tx, meter).fuse();
        let moved = self.open_home(&tx.peer().daemon).fuse();
        futures::pin_mut!(updates, renewals, reports, moved);
        let result = futures::select! {
            result = updates => result,
            result = renewals => result,
            result = reports => result,
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

    async fn wait_for_admission(&self, rx: &mut Receiver) -> Result<()> {
        let first = timeout(ADMISSION_TIMEOUT, rx.receive::<FromReplica>()).await;
        match first.map_err(|_| SubscriptionError::NotAdmitted)?? {
            FromReplica::Admitted { floor } => {
                self.floor.raise(floor);
                Ok(())
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
                FromReplica::Members(members) => self.replicas.set_members(&members),
                FromReplica::Suspects(report) => self.proxy.crashes().merge(&report),
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
                // Only configuration versions are confirmed immediately. Endpoint versions are
                // reported with the next renewal, which is soon enough.
                if self.stage_and_activate(view).await && before != Some(version.config) {
                    tx.send(&FromSubscriber::InForce(version))?;
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
            tx.send(&FromSubscriber::Renew {
                endpoints: self.proxy.owner().endpoints(),
                in_force: self.proxy.view().map(|view| view.version()),
            })?;
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
