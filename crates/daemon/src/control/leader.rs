//! The soft state of the leader: endpoint leases, convergence and the pacing of rollouts. It is not
//! replicated; every new leader starts with its own.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::Write;

use sycamoreflow_coordination::departures::Recorder;
use sycamoreflow_coordination::evidence::VersionEvidence;
use sycamoreflow_coordination::evidence::comparison::{Comparison, RouteSummary};
use sycamoreflow_coordination::key_holders::{EndpointIndex, HolderMonitor};
use sycamoreflow_coordination::leases::{LEASE_DURATION, Leases, RENEW_INTERVAL};
use sycamoreflow_coordination::machine::departures::DepartureBatch;
use sycamoreflow_coordination::machine::drains::DrainOrders;
use sycamoreflow_coordination::machine::{Command, ControlState, HistoryEvent};
use sycamoreflow_coordination::pacing::{Capacity, Pacer, TICK_INTERVAL};
use sycamoreflow_coordination::publication::Publication;
use sycamoreflow_coordination::rollout::RolloutAction;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_protocol::replica::{Forwarded, ToLeader};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::endpoint::{Departure, Endpoint};
use sycamoreflow_state::ids::{
    ConfigVersion, DaemonId, Millis, ServiceName, VersionName, ViewVersion,
};
use sycamoreflow_state::operator::{Convergence, RejectedBy};
use sycamoreflow_state::view::View;

/// A rollout waits for every daemon whose last renewal is more recent than this. The window allows
/// for one late renewal.
const ACTIVE_DAEMON_WINDOW: Millis = Millis(RENEW_INTERVAL.0 + 1_500);

/// Minimum time between two publications that differ in endpoints only, because each publication
/// goes to all daemons. The delay is acceptable: until it is over, the daemon beside an upstream
/// refuses calls that it can't serve, and a drain may take 2 s to reach all daemons.
const ENDPOINT_PUBLICATION_INTERVAL: Millis = Millis(200);

/// Interval at which the progress of running rollouts is logged.
const PROGRESS_INTERVAL: Millis = Millis(1_000);

/// Maximum number of routes per rollout whose evidence is logged.
const MAX_LOGGED_ROUTES: usize = 4;

/// Interval at which the groups of key holders are checked.
const HOLDER_CHECK_INTERVAL: Millis = Millis(500);

/// Maximum number of changes of key holders per check.
const MAX_HOLDER_CHANGES: usize = 32;

/// How long a leader without a copy of the endpoint table collects renewals before it publishes.
/// Without this delay, a replica that is elected right after its restart would publish an empty
/// table and thereby remove all endpoints from all proxies.
const RENEWAL_COLLECTION_TIME: Millis = Millis(RENEW_INTERVAL.0 + 1_000);

/// The soft state of the leader during one term. All times are from the monotonic clock, except for
/// parameters called `unix_now`.
#[derive(Debug)]
pub struct Leader {
    leases: Leases,
    recorder: Recorder,
    pacer: Pacer,
    holder_monitor: HolderMonitor,
    daemons: BTreeMap<DaemonId, DaemonState>,
    accepted: AcceptedVersion,
    publication: Publication,
    dirty: bool,
    last_pacing: Millis,
    last_progress: Millis,
    last_holder_check: Millis,
    /// No view is published before this time.
    publish_not_before: Millis,
    /// A change of endpoints alone is not published before this time.
    endpoints_not_before: Millis,
}

/// What the leader knows about a subscriber.
#[derive(Debug, Default)]
struct DaemonState {
    last_renewal: Millis,
    in_force: ViewVersion,
    rejected: Option<(ViewVersion, String)>,
}

/// The accepted configuration version whose convergence is measured.
#[derive(Clone, Copy, Debug, Default)]
struct AcceptedVersion {
    version: ConfigVersion,
    at: Millis,
    convergence_time: Option<Millis>,
}

impl Leader {
    /// Creates the state from the replicated state and from the view that this replica distributed as
    /// a follower. `unix_now` is the time since the Unix epoch.
    ///
    /// `hinted_endpoints` are the endpoints that the replica saved before its restart. They are used
    /// if `followed_view` is empty. If both are empty although a version has been accepted, the mesh
    /// has endpoints that this leader does not know yet, so it delays its first publication.
    pub fn new(
        now: Millis,
        unix_now: Millis,
        term: u64,
        followed_view: &View,
        state: &ControlState,
        hinted_endpoints: &[Endpoint],
    ) -> Self {
        let is_new_mesh = state.version() == ConfigVersion::default();
        let knows_endpoints = !followed_view.is_empty() || !hinted_endpoints.is_empty();
        let publish_not_before = match knows_endpoints || is_new_mesh {
            true => now,
            false => now.after(RENEWAL_COLLECTION_TIME),
        };
        let mut leases = Leases::default();
        let copy: Vec<Endpoint> = match followed_view.is_empty() {
            true => hinted_endpoints.to_vec(),
            false => followed_view.endpoints().cloned().collect(),
        };
        leases.take_over(now, term, copy, state.drains());
        for (daemon, departures) in state.departures().recent(unix_now) {
            for departure in &departures {
                leases.depart(now, daemon, departure);
            }
        }
        Self {
            leases,
            recorder: Recorder::default(),
            pacer: Pacer::new(term),
            holder_monitor: HolderMonitor::default(),
            daemons: BTreeMap::new(),
            accepted: AcceptedVersion::default(),
            publication: Publication::new(followed_view.clone()),
            dirty: true,
            last_pacing: now,
            last_progress: now,
            last_holder_check: Millis::default(),
            publish_not_before,
            endpoints_not_before: now,
        }
    }

    /// Processes a message from a subscriber. `unix_now` is the time since the Unix epoch.
    pub fn handle_message(&mut self, now: Millis, unix_now: Millis, forwarded: Forwarded) {
        let daemon = forwarded.daemon;
        let state = self.daemons.entry(daemon.clone()).or_default();
        match forwarded.content {
            ToLeader::Renew {
                endpoints,
                departures,
                in_force,
            } => {
                state.last_renewal = now;
                if let Some(in_force) = in_force {
                    state.in_force = in_force;
                }
                let is_invalid = |endpoint: &&Endpoint| endpoint.check().is_err();
                let invalid = endpoints.iter().filter(is_invalid).count();
                metrics::counter!("sycamoreflow_invalid_endpoints_total").increment(invalid as u64);
                self.dirty |= self.leases.renew(now, &daemon, &endpoints);
                self.add_departures(&daemon, &departures);
            }
            ToLeader::InForce(version) => {
                state.in_force = version;
                state.rejected = None;
            }
            ToLeader::Rejected { version, reason } => state.rejected = Some((version, reason)),
            // `LeaderQuotas` processes these.
            ToLeader::Quota(_) => {}
            ToLeader::Report(report) => self.pacer.report(unix_now, &daemon, &report),
        }
    }

    /// Adds the departures at `daemon` that the log does not contain yet; invalid ones are ignored.
    fn add_departures(&mut self, daemon: &DaemonId, departures: &[Departure]) {
        for departure in departures {
            if departure.check().is_err() || self.leases.has_departure(daemon, departure) {
                continue;
            }
            self.recorder.add(daemon, departure);
        }
    }

    /// Returns the command that records departures, if one has to be proposed now. `unix_now` is the
    /// time since the Unix epoch.
    pub fn departure_command(&mut self, now: Millis, unix_now: Millis) -> Option<Command> {
        let departures = self.recorder.next_batch(now)?;
        Some(Command::Depart(DepartureBatch {
            departures,
            at: unix_now,
        }))
    }

    /// Adds departures of a committed entry to those that the next view distributes.
    pub fn departures_committed(&mut self, now: Millis, batch: &DepartureBatch) {
        for (daemon, departure) in &batch.departures {
            self.dirty |= self.leases.depart(now, daemon, departure);
        }
        self.recorder.committed(&batch.departures);
    }

    /// Adds a change of the orders for `daemon` to the next view.
    pub fn drains_changed(&mut self, daemon: &DaemonId, drains: &DrainOrders) {
        let draining = drains.contains(daemon);
        // The end of an order whose endpoints have left must not change those announced since.
        if self.leases.is_drained(daemon) != draining {
            self.dirty |= self.leases.set_draining(daemon, draining);
        }
    }

    /// Marks the published view as outdated because the replicated state has changed.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Expires leases, removes daemons without a recent renewal and updates the convergence. To be
    /// called on every tick of the replica.
    pub fn tick(&mut self, now: Millis, state: &ControlState) {
        let services = &state.approved().config.services;
        let minimum = |service: &ServiceName| {
            let service = services.get(service);
            service.map_or(Share::NONE, |service| service.min_endpoints)
        };
        let expiries = self.leases.tick(now, minimum);
        if !expiries.removed.is_empty() {
            let count = expiries.removed.len() as u64;
            metrics::counter!("sycamoreflow_lease_expiries_total").increment(count);
            tracing::info!(count, "leases expired without renewal");
            self.dirty = true;
        }
        metrics::gauge!("sycamoreflow_endpoints_retained").set(expiries.retained as f64);
        self.daemons
            .retain(|_, daemon| now.since(daemon.last_renewal) <= LEASE_DURATION);
        self.record_convergence(now);
    }

    /// Returns the commands that the leader has to propose now. Returns none if called again within
    /// the same [`TICK_INTERVAL`].
    pub fn next_commands(
        &mut self,
        now: Millis,
        unix_now: Millis,
        state: &ControlState,
    ) -> Vec<Command> {
        if now.since(self.last_pacing) < TICK_INTERVAL {
            return Vec::new();
        }
        self.last_pacing = now;
        let evacuations = state.evacuations();
        let usable = |endpoint: &&Endpoint| !evacuations.is_evacuated(&endpoint.data_centre);
        let leases = &self.leases;
        let capacity = |service: &ServiceName, version: &VersionName| {
            capacity_of(leases.endpoints().filter(usable), service, version)
        };
        let steps = self.pacer.tick(unix_now, state.rollouts(), capacity);
        self.log_progress(now);
        let mut commands = Vec::new();
        for step in steps {
            if step.action == RolloutAction::Finish
                && !self.is_step_in_force(now, state, step.rollout)
            {
                self.pacer.forget_proposal(&step);
                continue;
            }
            commands.push(Command::Rollout(step));
        }
        // The endpoints to which an order applied have left if their daemon announces none.
        let ended = state.drains().iter();
        let ended = ended.filter(|(daemon, _)| !self.leases.is_drained(daemon));
        commands.extend(ended.map(|(daemon, order)| Command::EndDrain {
            daemon: daemon.clone(),
            order,
        }));
        // A mesh that is configured with documents uses no idempotency keys, so it needs no key
        // holders.
        if state.documents().number() == 0 {
            commands.extend(self.key_holder_commands(now, state));
        } else {
            commands.extend(self.introduce_versions(state));
        }
        commands
    }

    fn log_progress(&mut self, now: Millis) {
        if now.since(self.last_progress) < PROGRESS_INTERVAL {
            return;
        }
        self.last_progress = now;
        for progress in self.pacer.progress() {
            let odds = progress.comparison.odds();
            let step_odds = progress.comparison.step_odds();
            tracing::info!(event = "rollout_progress", rollout = progress.rollout,
                waiting = ?progress.waiting, candidate_calls = progress.candidate_calls,
                step_calls = progress.step_calls, suspicion = progress.suspicion,
                log_odds = progress.log_odds, failure_odds = odds.failures, slow_odds = odds.slow,
                step_failure_odds = step_odds.failures, step_slow_odds = step_odds.slow,
                service_calls = progress.exposed.answered, exposed = progress.exposed.sent,
                cut_off = progress.cut_off);
            log_routes(progress.rollout, progress.comparison);
        }
    }

    /// Returns whether the latest step of a rollout is in force on all active daemons, so that none
    /// of them still sends calls to the old version.
    fn is_step_in_force(&self, now: Millis, state: &ControlState, rollout: u64) -> bool {
        let of_rollout = |event: &HistoryEvent| match event {
            HistoryEvent::Rollout(command) => command.rollout == rollout,
            _ => false,
        };
        let mut steps = state.history().filter(|record| of_rollout(&record.event));
        let Some(step) = steps.next_back() else {
            return true;
        };
        let active = self.daemons.values();
        let mut active =
            active.filter(|daemon| now.since(daemon.last_renewal) < ACTIVE_DAEMON_WINDOW);
        active.all(|daemon| daemon.in_force.config >= step.version)
    }

    /// Returns commands that introduce the initial version of services whose first endpoints have
    /// appeared. If endpoints have different versions, it is the one with the most endpoints.
    fn introduce_versions(&self, state: &ControlState) -> Vec<Command> {
        let mut commands = Vec::new();
        for service in state.approved().config.services.keys() {
            if state.rollouts().traffic(service).is_some() {
                continue;
            }
            let mut versions: BTreeMap<&VersionName, u32> = BTreeMap::new();
            for endpoint in self.leases.endpoints().filter(|e| e.service == *service) {
                *versions.entry(&endpoint.version).or_default() += 1;
            }
            let most_common = versions.into_iter().max_by_key(|(_, count)| *count);
            if let Some((version, _)) = most_common {
                commands.push(Command::Introduce {
                    service: service.clone(),
                    version: version.clone(),
                });
            }
        }
        commands
    }

    /// Returns commands that change key holders. Their number is limited because each one is a log
    /// entry and a new configuration version for all daemons.
    fn key_holder_commands(&mut self, now: Millis, state: &ControlState) -> Vec<Command> {
        if now.since(self.last_holder_check) < HOLDER_CHECK_INTERVAL {
            return Vec::new();
        }
        self.last_holder_check = now;
        let endpoints = EndpointIndex::new(self.leases.endpoints());
        let mut commands = Vec::new();
        for service in state.approved().config.services.keys() {
            if commands.len() >= MAX_HOLDER_CHANGES {
                break;
            }
            let current = state.key_holders(service);
            let Some(next) = self
                .holder_monitor
                .next_group(now, service, current, &endpoints)
            else {
                continue;
            };
            commands.push(Command::SetKeyHolders {
                service: service.clone(),
                epoch: next.epoch,
                daemons: next.daemons,
            });
        }
        commands
    }

    /// Returns the grants to send now, with the daemons that receive them.
    pub fn grants(&mut self, unix_now: Millis) -> Vec<(DaemonId, Grant)> {
        self.pacer.grants(unix_now)
    }

    /// Returns the view to publish if it has changed since the last publication and neither the
    /// delay after the election, the interval between endpoint changes nor the recording of
    /// departures holds it back.
    pub fn publication(&mut self, now: Millis, state: &ControlState) -> Option<View> {
        if !self.dirty || now < self.publish_not_before {
            return None;
        }
        let must_wait = now < self.endpoints_not_before || self.recorder.holds_publication(now);
        if self.publication.has_config(state) && must_wait {
            return None;
        }
        self.dirty = false;
        self.recorder.published();
        self.endpoints_not_before = now.after(ENDPOINT_PUBLICATION_INTERVAL);
        if state.approved().version > self.accepted.version {
            self.accepted = AcceptedVersion {
                version: state.approved().version,
                at: now,
                convergence_time: None,
            };
        }
        Some(self.publication.update(state, &self.leases))
    }

    /// Returns the endpoint leases, which hold the endpoint table and its version.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns on how many daemons with a recent renewal the version `approved` is in force, and
    /// which of them lack it or rejected a view.
    pub fn convergence(&self, approved: ConfigVersion) -> Convergence {
        let version = approved;
        // The convergence time belongs to the last published version. A newer version that has not
        // been published yet is not in force on any daemon.
        let duration = match self.accepted.version == approved {
            true => self.accepted.convergence_time,
            false => None,
        };
        let in_force = self.daemons.values();
        let in_force = in_force.filter(|daemon| daemon.in_force.config >= version);
        let rejected = self.daemons.iter().filter_map(|(daemon, state)| {
            let (_, reason) = state.rejected.as_ref()?;
            Some(RejectedBy {
                daemon: daemon.clone(),
                reason: reason.clone(),
            })
        });
        let missing = self.daemons.iter();
        let missing = missing.filter(|(_, daemon)| daemon.in_force.config < version);
        Convergence {
            daemons: self.daemons.len() as u64,
            in_force: in_force.count() as u64,
            duration,
            missing: missing.map(|(daemon, _)| daemon.clone()).collect(),
            rejected: rejected.collect(),
        }
    }

    fn record_convergence(&mut self, now: Millis) {
        let accepted = &mut self.accepted;
        let is_pending = accepted.version > ConfigVersion(0) && accepted.convergence_time.is_none();
        if !is_pending || self.daemons.is_empty() {
            return;
        }
        let mut daemons = self.daemons.values();
        if !daemons.all(|daemon| daemon.in_force.config >= accepted.version) {
            return;
        }
        let after = now.since(accepted.at);
        accepted.convergence_time = Some(after);
        metrics::histogram!("sycamoreflow_convergence_seconds").record(after.0 as f64 / 1_000.0);
        tracing::info!(version = %accepted.version, milliseconds = after.0,
            "in force on all daemons");
    }
}

/// Logs the evidence for the routes with the most calls to the candidate.
fn log_routes(rollout: u64, comparison: &Comparison) {
    let mut routes: Vec<RouteSummary<'_>> = comparison.routes().collect();
    routes.sort_by_key(|summary| Reverse(summary.candidate.calls()));
    for summary in routes.iter().take(MAX_LOGGED_ROUTES) {
        tracing::info!(event = "rollout_evidence", rollout, route = %summary.route,
            stable = format_evidence(summary.stable),
            candidate = format_evidence(summary.candidate),
            step_stable = format_evidence(&summary.step.stable),
            step_candidate = format_evidence(&summary.step.candidate),
            compared = summary.compared.candidate_calls,
            failure_odds = summary.odds.failures, slow_odds = summary.odds.slow,
            step_failure_odds = summary.step_odds.failures,
            step_slow_odds = summary.step_odds.slow);
    }
}

/// Formats each group of endpoints as `calls:bad:p50/p75/p95`: the number of calls, the number of
/// failures and refusals, and latency percentiles of successful calls in milliseconds.
fn format_evidence(version: &VersionEvidence) -> String {
    let mut text = String::new();
    for group in version.groups() {
        let [p50, p75, p95] = [0.5, 0.25, 0.05]
            .map(|tail| group.latency.quantile_us(tail).unwrap_or_default() / 1_000);
        let bad = group.counts.failures + group.counts.refusals;
        // Writing to a `String` can't fail.
        let _ = write!(text, "{}:{bad}:{p50}/{p75}/{p95} ", group.counts.calls);
    }
    text
}

fn capacity_of<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
    service: &ServiceName,
    version: &VersionName,
) -> Capacity {
    let mut capacity = Capacity::default();
    for endpoint in endpoints {
        if endpoint.service != *service || endpoint.version != *version || endpoint.draining {
            continue;
        }
        capacity.endpoints += 1;
        capacity.slots += endpoint.slots;
    }
    capacity
}
