//! Startup, shutdown and periodic tasks of a daemon.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_lock::{Semaphore, SemaphoreGuardArc};
use async_std::channel;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use eyre::WrapErr;
use futures::future::{Either, join_all, select};
use metrics_exporter_prometheus::PrometheusHandle;
use parking_lot::Mutex;
use sycamoreflow_coordination::dedup::HolderConfig;
use sycamoreflow_coordination::floor::Witness;
use sycamoreflow_protocol::call::CallResult;
use sycamoreflow_protocol::floor::FloorRequest;
use sycamoreflow_protocol::handshake::{Identity, MeshKey, Purpose};
use sycamoreflow_protocol::keys::HolderRequest;
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_state::view::Interest;
use sycamoreflow_transport::buffers::{Buffers, Holder};
use sycamoreflow_transport::call_link;
use sycamoreflow_transport::http::operator::{BearerToken, OperatorHandle};
use sycamoreflow_transport::http::{client, operator, server};
use sycamoreflow_transport::link::{self, LinkError, Receiver, Sender};
use sycamoreflow_transport::listen::listen;

use crate::announce_api::{self, AnnounceState};
use crate::clock;
use crate::control::Control;
use crate::control::hub::Hub;
use crate::control::operator_api::{self, OperatorState};
use crate::control::replica::Event;
use crate::floor::{self, FloorClient};
use crate::memory;
use crate::proxy::crashes::CrashTracker;
use crate::proxy::dialect::Dialect;
use crate::proxy::held_lease::HeldLease;
use crate::proxy::keys::Keys;
use crate::proxy::links::CallLinks;
use crate::proxy::owner::{Owner, OwnerLimits};
use crate::proxy::{Proxy, ProxyComponents};
use crate::replicas::{self, Replicas};
use crate::rpc;
use crate::settings::{ReplicaAddress, Settings};
use crate::subscriber::Subscriber;
use crate::traffic::Traffic;

/// How often announcements are checked for expiry and ejected endpoints are probed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of incoming links in their handshake at once.
const MAX_PENDING_HANDSHAKES: usize = 256;

/// How often a holder of idempotency keys requests the records that it is missing.
const KEY_COPY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of concurrent calls on one link from another daemon. The slots of the upstream
/// limit them further.
const MAX_CALLS_PER_LINK: usize = 1_024;

/// Size in bytes from which the body of a call from another daemon counts towards the memory of
/// clients. The number of smaller ones is limited already.
const SMALL_CALL_BYTES: usize = 4 * 1024;

/// Largest announcement in bytes, with its head of at most 16 KiB. Names have at most 256 bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// Minimum time from the start of a graceful stop for which the daemon keeps serving calls from
/// other daemons, so that its drain mark reaches them before its link listener closes.
const MIN_LINK_SERVING_TIME: Duration = Duration::from_millis(1_000);

/// Minimum time that a graceful stop waits for the storage of the control replica to close, also
/// after the drain timeout.
const MIN_STORAGE_CLOSE_TIME: Duration = Duration::from_millis(200);

/// How long before it closes the listener for callers a stopping daemon marks its endpoints as
/// draining. It covers the distribution of the mark to the other daemons.
const DRAIN_MARK_LEAD_TIME: Duration = Duration::from_millis(600);

/// Time before the drain timeout at which the links of other daemons start to close although calls
/// are in flight, so that the replies of the other calls arrive.
const LINK_CLOSE_TIME: Duration = Duration::from_millis(200);

/// Time for which a stop waits for requests in progress on the interfaces for the upstream and for
/// operators. A change that an operator orders takes 0.9 s at most on the platform.
const INTERFACE_DRAIN_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which a drain checks whether calls have completed.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// HTTP calls from callers. `None` if the daemon serves no calls.
    pub calls: Option<SocketAddr>,
    /// Links from other daemons.
    pub link: SocketAddr,
    /// Announcements and metrics. `None` without `listen.announce`.
    pub announce: Option<SocketAddr>,
    /// Operator interface. `None` unless the daemon is a control replica with `listen.operator`.
    pub operator: Option<SocketAddr>,
}

/// A running daemon.
pub struct Daemon {
    proxy: Arc<Proxy>,
    control: Option<Arc<Mutex<Control>>>,
    replicas: Arc<Replicas>,
    calls: Option<server::ServerHandle>,
    /// HTTP servers for the upstream and for operators. Dropping a handle stops its server.
    interfaces: Vec<Interface>,
    traffic: Arc<Traffic>,
    addresses: Addresses,
    buffers: Buffers,
    endpoints_changed: channel::Sender<()>,
    tasks: Vec<JoinHandle<()>>,
    /// Closes the links on which other daemons send calls.
    call_links: Arc<call_link::Drain>,
    drain_timeout: Duration,
    leave_notice: Duration,
}

/// An HTTP server for the upstream or for operators.
enum Interface {
    Operator(OperatorHandle),
    Http(server::ServerHandle),
}

/// State shared by all incoming links.
struct LinkContext {
    identity: Identity,
    limits: link::Limits,
    proxy: Arc<Proxy>,
    witness: Mutex<Witness>,
    control: Option<Arc<Mutex<Control>>>,
    buffers: Buffers,
    call_links: Arc<call_link::Drain>,
}

/// The listening sockets of a daemon. All are bound before any component starts.
struct Listeners {
    calls: Option<TcpListener>,
    link: TcpListener,
    announce: Option<TcpListener>,
    operator: Option<TcpListener>,
}

impl Daemon {
    /// Binds all addresses and starts all components. `metrics` is served on `listen.announce`.
    ///
    /// # Errors
    ///
    /// If an address can't be bound, a secret can't be read, or the data folder can't be used.
    pub async fn start(
        settings: &Settings,
        metrics: Option<PrometheusHandle>,
    ) -> eyre::Result<Self> {
        Self::start_with(settings, Dialect::default(), metrics).await
    }

    /// Like [`Daemon::start`], but uses `dialect` towards callers and upstreams.
    ///
    /// # Errors
    ///
    /// As for [`Daemon::start`].
    pub async fn start_with(
        settings: &Settings,
        dialect: Dialect,
        metrics: Option<PrometheusHandle>,
    ) -> eyre::Result<Self> {
        let identity = load_identity(settings)?;
        let limits = link_limits(settings);
        let listeners = Listeners::bind(settings)?;
        let addresses = listeners.addresses()?;
        let incarnation = new_incarnation()?;
        let traffic = Arc::new(Traffic::control());
        let buffers = Buffers::new(memory::for_clients(&settings.limits));
        let (changed_tx, changed_rx) = channel::bounded(1);
        let (urgent_tx, urgent_rx) = channel::bounded(1);
        let context = ProxyContext {
            settings,
            identity: &identity,
            limits: &limits,
            link_address: addresses.link,
            incarnation,
            dialect: Arc::new(dialect),
        };
        let proxy = Arc::new(context.build_proxy(urgent_tx));
        let control = start_control(settings, &identity, &limits, incarnation)?;
        let mut tasks = Vec::new();

        let calls = match listeners.calls {
            Some(listener) => Some(serve_callers(listener, settings, &proxy, &buffers)?),
            None => None,
        };

        let call_links = Arc::new(call_link::Drain::default());
        let context = Arc::new(LinkContext {
            identity: identity.clone(),
            limits: limits.clone(),
            proxy: proxy.clone(),
            witness: Mutex::default(),
            control: control.clone(),
            buffers: buffers.clone(),
            call_links: call_links.clone(),
        });
        let closing = call_links.clone();
        tasks.push(task::spawn(async move {
            let accepting = accept_links(listeners.link, context);
            select(pin!(accepting), pin!(closing.started())).await;
        }));

        let state = AnnounceState {
            proxy: proxy.clone(),
            endpoints_changed: changed_tx.clone(),
            metrics,
        };
        let app = announce_api::app(state);
        let announce_limits = operator::Limits {
            max_request_bytes: MAX_ANNOUNCEMENT_BYTES,
            ..operator::Limits::default()
        };
        let mut interfaces = Vec::new();
        if let Some(listener) = listeners.announce {
            let server = operator::serve(listener, app, None, announce_limits, buffers.clone())?;
            interfaces.push(Interface::Operator(server));
        }
        if let (Some(listener), Some(control)) = (listeners.operator, &control) {
            let app = operator_api::app(OperatorState {
                data_centres: settings.known_data_centres(),
                hub: control.lock().hub().clone(),
                mesh: settings.mesh.clone(),
                daemon: settings.daemon.clone(),
            });
            let token = BearerToken::new(settings.operator_token()?.expose())?;
            let limits = operator::Limits::default();
            let server = operator::serve(listener, app, Some(token), limits, buffers.clone())?;
            interfaces.push(Interface::Operator(server));
        }

        let witnesses = &settings.floor.witnesses;
        let floor = Arc::new(FloorClient::new(witnesses, &identity, &limits, &traffic));
        let resending_client = floor.clone();
        tasks.push(task::spawn(async move { resending_client.resend().await }));
        let replicas = Arc::new(Replicas::new(settings.configured_replicas()));
        let subscriber = Subscriber {
            daemon: settings.daemon.clone(),
            identity,
            limits,
            replicas: replicas.clone(),
            max_backoff: Millis(settings.limits.reconnect_ms),
            interest: configured_interest(settings),
            proxy: proxy.clone(),
            floor,
            traffic: traffic.clone(),
            seed: incarnation,
            endpoints_changed: changed_rx,
            urgent_report: urgent_rx,
        };
        // A replica that serves no calls distributes views but needs none itself.
        if settings.listen.calls.is_some() {
            tasks.push(task::spawn(subscriber.run()));
        }
        tasks.push(task::spawn(copy_key_records(proxy.clone())));
        tasks.push(task::spawn(probe_endpoints(proxy.clone())));
        tasks.push(task::spawn(expire_announcements(
            proxy.clone(),
            changed_tx.clone(),
            buffers.clone(),
        )));
        Ok(Self {
            proxy,
            control,
            replicas,
            calls,
            interfaces,
            traffic,
            addresses,
            buffers,
            endpoints_changed: changed_tx,
            tasks,
            call_links,
            drain_timeout: Duration::from_millis(settings.limits.drain_timeout_ms),
            leave_notice: Duration::from_millis(settings.limits.leave_notice_ms),
        })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the account of the memory that clients hold, which all servers of the process share.
    pub fn buffers(&self) -> &Buffers {
        &self.buffers
    }

    /// Returns the counters of the control traffic.
    pub fn control_traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the proxy, which serves the calls.
    pub fn proxy(&self) -> &Arc<Proxy> {
        &self.proxy
    }

    /// Returns the shared state of the control replica, or `None` if this daemon is not one.
    pub fn control_hub(&self) -> Option<Arc<Hub>> {
        let control = self.control.as_ref()?;
        Some(control.lock().hub().clone())
    }

    /// Returns the sender that makes the subscription send the endpoints of this daemon at once.
    pub fn endpoints_changed(&self) -> &channel::Sender<()> {
        &self.endpoints_changed
    }

    /// Replaces the configured replicas by `seeds`, the link addresses of some control replicas. A
    /// control replica also uses them as its contacts.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        let configured = seeds.iter().map(|link| ReplicaAddress {
            daemon: replicas::id_of(*link),
            link: *link,
        });
        let configured: Vec<ReplicaAddress> = configured.collect();
        let ids = configured
            .iter()
            .map(|replica| replica.daemon.clone())
            .collect();
        self.replicas.set_configured(configured);
        if let Some(hub) = self.control_hub() {
            hub.send(Event::SetContacts(ids));
        }
    }

    /// Adds an HTTP server that stops with the daemon. A graceful stop completes its requests.
    pub fn add_interface(&mut self, server: server::ServerHandle) {
        self.interfaces.push(Interface::Http(server));
    }

    /// Stops gracefully: new calls are refused as not run, calls in flight complete, and the other
    /// daemons are notified before the listeners close. Returns the number of calls that were
    /// aborted because they did not complete within the drain timeout.
    pub async fn drain(mut self) -> usize {
        let deadline = Instant::now() + self.drain_timeout;
        let drain_timeout = Millis(self.drain_timeout.as_millis() as u64);
        self.proxy.owner().begin_stop(drain_timeout);
        let (calls_in_flight, calls_ended) = channel::bounded::<()>(1);
        let interfaces = std::mem::take(&mut self.interfaces);
        let closing_links = close_links(self.call_links.clone(), calls_ended.clone(), deadline);
        let closing_links = task::spawn(closing_links);
        let draining_interfaces = task::spawn(drain_interfaces(interfaces, calls_ended, deadline));
        if let Some(control) = &self.control {
            control.lock().transfer_leadership();
        }
        // Callers are notified first, since they take longer to switch to another daemon.
        let lead_time = DRAIN_MARK_LEAD_TIME.min(self.leave_notice);
        task::sleep(self.leave_notice - lead_time).await;
        self.proxy.owner().announce_leaving();
        let _ = self.endpoints_changed.try_send(());
        task::sleep(lead_time).await;
        self.proxy.owner().drain();
        let _ = self.endpoints_changed.try_send(());
        let remaining = deadline.saturating_duration_since(Instant::now());
        let aborted_connections = match &self.calls {
            Some(calls) => calls.drain(remaining).await.aborted_connections,
            None => 0,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        task::sleep(
            MIN_LINK_SERVING_TIME
                .saturating_sub(self.leave_notice)
                .min(remaining),
        )
        .await;
        while self.proxy.owner().in_flight() > 0 && Instant::now() < deadline {
            task::sleep(DRAIN_POLL).await;
        }
        drop(calls_in_flight);
        closing_links.await;
        draining_interfaces.await;
        let ended = self.proxy.owner().stop().ended();
        let aborted_calls = aborted_connections + self.proxy.owner().in_flight() + ended;
        let cut = self.proxy.owner().log_cut_calls();
        tracing::info!(
            event = "drain_ended",
            ended,
            connections = aborted_connections,
            running = cut.running,
            queued = cut.queued
        );
        let remaining = deadline.saturating_duration_since(Instant::now());
        self.stop_tasks(remaining.max(MIN_STORAGE_CLOSE_TIME)).await;
        aborted_calls
    }

    /// Stops immediately, as a crash would: links are closed and calls are aborted.
    pub async fn kill(mut self) {
        self.stop_tasks(Duration::MAX).await;
    }

    /// Stops all tasks and waits for `limit` at most until the storage of the replica is closed.
    async fn stop_tasks(&mut self, limit: Duration) {
        self.interfaces.clear();
        for task in std::mem::take(&mut self.tasks) {
            task.cancel().await;
        }
        if let Some(control) = self.control.take() {
            control.lock().stop(limit);
        }
    }
}

impl Interface {
    async fn drain(&self, limit: Duration) {
        match self {
            Self::Operator(server) => server.drain(limit).await,
            Self::Http(server) => drop(server.drain(limit).await),
        }
    }
}

/// Closes the links of other daemons once `calls_ended` is closed or shortly before `deadline`, and
/// waits until the other daemons have read the replies.
async fn close_links(
    call_links: Arc<call_link::Drain>,
    calls_ended: channel::Receiver<()>,
    deadline: Instant,
) {
    let remaining = || deadline.saturating_duration_since(Instant::now());
    // No message is sent on the channel.
    let serving_time = remaining().saturating_sub(LINK_CLOSE_TIME);
    let _ = timeout(serving_time, calls_ended.recv()).await;
    call_links.start();
    while call_links.open_links() > 0 && !remaining().is_zero() {
        task::sleep(DRAIN_POLL).await;
    }
}

/// Serves requests on the interfaces until `calls_ended` is closed or shortly before `deadline`,
/// and then completes those in progress.
async fn drain_interfaces(
    interfaces: Vec<Interface>,
    calls_ended: channel::Receiver<()>,
    deadline: Instant,
) {
    let remaining = || deadline.saturating_duration_since(Instant::now());
    let serving_time = remaining().saturating_sub(INTERFACE_DRAIN_TIME);
    let _ = timeout(serving_time, calls_ended.recv()).await;
    let limit = remaining().min(INTERFACE_DRAIN_TIME);
    join_all(interfaces.iter().map(|server| server.drain(limit))).await;
}

impl Listeners {
    fn bind(settings: &Settings) -> eyre::Result<Self> {
        let listen = &settings.listen;
        let operator = match listen.operator.filter(|_| settings.control.is_some()) {
            Some(address) => Some(bind("listen.operator", address)?),
            None => None,
        };
        let optional = |field, address: Option<SocketAddr>| {
            let bound = address.map(|address| bind(field, address));
            bound.transpose()
        };
        Ok(Self {
            calls: optional("listen.calls", listen.calls)?,
            link: bind("listen.link", listen.link)?,
            announce: optional("listen.announce", listen.announce)?,
            operator,
        })
    }

    fn addresses(&self) -> eyre::Result<Addresses> {
        let optional = |listener: &Option<TcpListener>| {
            let address = listener.as_ref().map(TcpListener::local_addr);
            address.transpose()
        };
        Ok(Addresses {
            calls: optional(&self.calls)?,
            link: self.link.local_addr()?,
            announce: optional(&self.announce)?,
            operator: optional(&self.operator)?,
        })
    }
}

fn bind(field: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    listen(address).wrap_err_with(|| {
        format!(
            "{field}: can't bind {address}; stop the process that uses it or change {field} in \
             the settings"
        )
    })
}

fn load_identity(settings: &Settings) -> eyre::Result<Identity> {
    let secret = settings.mesh_key()?;
    let key = MeshKey::new(secret.expose().as_bytes().to_vec())?;
    Ok(Identity {
        mesh: settings.mesh.clone(),
        daemon: settings.daemon.clone(),
        key,
    })
}

fn configured_interest(settings: &Settings) -> Interest {
    if settings.interest.is_empty() {
        return Interest::All;
    }
    Interest::Services(settings.interest.iter().cloned().collect())
}

/// Inputs from which the proxy is built.
struct ProxyContext<'a> {
    settings: &'a Settings,
    identity: &'a Identity,
    limits: &'a link::Limits,
    link_address: SocketAddr,
    incarnation: u64,
    dialect: Arc<Dialect>,
}

impl ProxyContext<'_> {
    fn build_proxy(&self, urgent_report: channel::Sender<()>) -> Proxy {
        let settings = self.settings;
        let crashes = Arc::new(CrashTracker::new(
            settings.daemon.clone(),
            self.incarnation,
            urgent_report.clone(),
        ));
        Proxy::new(ProxyComponents {
            daemon: settings.daemon.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: self.incarnation,
            links: CallLinks::new(self.identity.clone(), self.limits.clone()),
            owner: Arc::new(self.build_owner(crashes.clone())),
            keys: Arc::new(self.build_keys()),
            crashes,
            key_lease: HeldLease::new(Millis(settings.limits.key_lease_ms)),
            dialect: self.dialect.clone(),
            own_service: settings.own_service.clone(),
            shared_retries: match settings.limits.shared_retries {
                0 => None,
                retries => Some(retries),
            },
            urgent_report,
        })
    }

    fn build_owner(&self, crashes: Arc<CrashTracker>) -> Owner {
        let settings = self.settings;
        let client = client::Client::new(client::Limits {
            max_body_bytes: settings.limits.body_bytes,
            max_buffered_bytes: settings.limits.response_buffer_bytes,
            idle_timeout: Duration::from_millis(settings.limits.upstream_idle_ms),
            ..client::Limits::default()
        });
        let limits = OwnerLimits {
            max_wait: Millis(settings.limits.queue_ms),
            queue_per_slot: settings.limits.queue_per_slot,
            adaptive_limit: settings.limits.adapt_limit,
            link_bytes_per_s: settings.limits.link_kbit_per_s * 1_000 / 8,
        };
        Owner::new(
            settings.daemon.clone(),
            settings.data_centre.clone(),
            self.link_address,
            limits,
            client,
            crashes,
        )
        .with_dialect(self.dialect.clone())
    }

    fn build_keys(&self) -> Keys {
        let holder_config = HolderConfig {
            retention: Millis(self.settings.limits.key_record_ms),
            ..HolderConfig::default()
        };
        Keys::new(
            self.identity.clone(),
            self.limits.clone(),
            Arc::new(Traffic::keys()),
            self.incarnation,
            holder_config,
        )
    }
}

fn serve_callers(
    listener: TcpListener,
    settings: &Settings,
    proxy: &Arc<Proxy>,
    buffers: &Buffers,
) -> eyre::Result<server::ServerHandle> {
    let limits = server::Limits {
        max_connections: settings.limits.connections,
        max_body_bytes: settings.limits.body_bytes as u64,
        max_pipelined: settings.limits.pipelined,
        idle_timeout: Duration::from_millis(settings.limits.idle_ms),
        ..server::Limits::default()
    };
    let proxy = proxy.clone();
    let server = server::serve_with(listener, limits, buffers.clone(), move |req| {
        let proxy = proxy.clone();
        async move { proxy.serve(req).await }
    })?;
    Ok(server)
}

/// Returns the limits of links. Heartbeats are sent at least three times per silence timeout, so
/// that a single late heartbeat does not end a link.
fn link_limits(settings: &Settings) -> link::Limits {
    let silence_timeout = Duration::from_millis(settings.limits.link_silence_ms);
    let default = link::Limits::default();
    link::Limits {
        connect: default.connect.min(silence_timeout),
        handshake: default.handshake.min(silence_timeout),
        heartbeat_interval: default.heartbeat_interval.min(silence_timeout / 3),
        silence_timeout,
        ..default
    }
}

fn start_control(
    settings: &Settings,
    identity: &Identity,
    limits: &link::Limits,
    seed: u64,
) -> eyre::Result<Option<Arc<Mutex<Control>>>> {
    let Some(control) = &settings.control else {
        return Ok(None);
    };
    let control = Control::start(settings, control, identity, limits, seed)?;
    Ok(Some(Arc::new(Mutex::new(control))))
}

/// Returns a number that increases with every start of the daemon: the Unix time in milliseconds,
/// followed by 16 random bits that distinguish daemons started in the same millisecond. It
/// decreases only if the clock of the host is set back.
///
/// # Errors
///
/// If the system provides no random numbers.
fn new_incarnation() -> eyre::Result<u64> {
    let mut bytes = [0; 2];
    getrandom::fill(&mut bytes)
        .map_err(|error| eyre::eyre!("the system provides no random numbers: {error}"))?;
    let random = u64::from(u16::from_le_bytes(bytes));
    Ok(clock::unix_now().0 << 16 | random)
}

async fn accept_links(listener: TcpListener, context: Arc<LinkContext>) {
    let handshakes = Arc::new(Semaphore::new(MAX_PENDING_HANDSHAKES));
    let group = context.buffers.new_group();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // At the limit, the peer that has taken longest to prove the mesh key gives way.
                let permit = context.buffers.place(group, &handshakes).await;
                let holder = context.buffers.open(group);
                task::spawn(serve_link(stream, context.clone(), permit, holder));
            }
            Err(error) => {
                metrics::counter!("sycamoreflow_accept_failures_total").increment(1);
                tracing::warn!(%error, "failed to accept a link");
                // The usual cause is exhaustion of file descriptors, which an immediate retry would
                // prolong.
                task::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_link(
    stream: TcpStream,
    context: Arc<LinkContext>,
    permit: SemaphoreGuardArc,
    holder: Holder,
) {
    let opening = pin!(link::accept(stream, &context.identity, &context.limits));
    let opened = match select(opening, pin!(holder.leaving())).await {
        Either::Left((opened, _)) => opened,
        Either::Right(_) => Err(LinkError::Closed),
    };
    drop((permit, holder));
    let (peer, purpose, tx, rx) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            metrics::counter!("sycamoreflow_links_refused_total").increment(1);
            tracing::debug!(%error, "link handshake failed");
            return;
        }
    };
    match purpose {
        Purpose::Calls => serve_calls(&context, tx, rx).await,
        Purpose::Floor => {
            let handler = |request: FloorRequest| {
                let view = context.proxy.view();
                floor::handle_request(&context.witness, view.as_deref(), &peer.daemon, request)
            };
            rpc::serve(tx, rx, handler).await;
        }
        Purpose::Distribution => {
            if let Some(control) = &context.control {
                control.lock().serve_subscriber(tx, rx);
            }
        }
        Purpose::Raft => {
            if let Some(control) = &context.control {
                control.lock().serve_peer(tx, rx);
            }
        }
        Purpose::Keys => {
            let keys = context.proxy.keys();
            rpc::serve(tx, rx, |request: HolderRequest| keys.handle(&request)).await;
        }
    }
}

async fn serve_calls(context: &LinkContext, tx: Sender, rx: Receiver) {
    let drain = &context.call_links;
    call_link::serve_with_load(tx, rx, MAX_CALLS_PER_LINK, drain, |call, _| {
        let proxy = context.proxy.clone();
        let buffers = context.buffers.clone();
        async move {
            let reserved = match call.body.len() {
                0..SMALL_CALL_BYTES => None,
                length => match buffers.reserve(length as u64) {
                    Some(reserved) => Some(reserved),
                    None => {
                        let failure = Failure::not_run(Reason::Overloaded);
                        return (CallResult::Refused(failure), None);
                    }
                },
            };
            let outcome = proxy.run_forwarded_call(call).await;
            drop(reserved);
            outcome
        }
    })
    .await;
}

async fn expire_announcements(
    proxy: Arc<Proxy>,
    endpoints_changed: channel::Sender<()>,
    buffers: Buffers,
) {
    loop {
        task::sleep(HOUSEKEEPING_INTERVAL).await;
        proxy.key_lease().check();
        buffers.record_held();
        if proxy.owner().expire() {
            let _ = endpoints_changed.try_send(());
        }
    }
}

/// Periodically probes ejected endpoints. This runs in a separate task, because a probe waits for
/// the response of the endpoint.
async fn probe_endpoints(proxy: Arc<Proxy>) {
    loop {
        task::sleep(HOUSEKEEPING_INTERVAL).await;
        proxy.probe().await;
    }
}

/// Periodically copies the key records that the holders on this daemon are missing. This runs in a
/// separate task, because it waits for other daemons.
async fn copy_key_records(proxy: Arc<Proxy>) {
    loop {
        task::sleep(KEY_COPY_INTERVAL).await;
        proxy.keys().copy_missing().await;
    }
}
