//! Builds the status and the history that operators request from a control replica.

use sycamoreflow_coordination::machine::{self, ControlState};
use sycamoreflow_coordination::raft::Role;
use sycamoreflow_coordination::rollout::RolloutAction;
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis, ServiceName};
use sycamoreflow_state::operator::{
    Convergence, EvacuationStatus, HistoryEntry, HistoryEvent, HistoryResponse, RemainingCapacity,
    ReplicaStatus, RolloutStatus, StatusResponse,
};
use sycamoreflow_state::rollout::Rollout;

use crate::control::replica::Replica;

/// Returns the status of the mesh. On a replica that does not lead, the endpoint version and the
/// convergence have their default values.
pub fn status(replica: &Replica, mesh: String, daemon: DaemonId) -> StatusResponse {
    let state = replica.state();
    let leader = replica.leader();
    StatusResponse {
        mesh,
        daemon,
        config: state.version(),
        endpoints: leader.map_or_else(Default::default, |leader| leader.leases().version()),
        leader: replica.leader_id().cloned(),
        replicas: replicas(replica),
        convergence: leader.map_or_else(Convergence::default, |leader| {
            leader.convergence(state.approved().version)
        }),
        rollouts: rollouts(state),
        evacuations: evacuations(state),
        remaining: remaining_capacity(replica),
    }
}

fn evacuations(state: &ControlState) -> Vec<EvacuationStatus> {
    let active = state.evacuations().active();
    let statuses = active.map(|(data_centre, order)| EvacuationStatus {
        data_centre: data_centre.clone(),
        since: order.since,
        at: order.at,
    });
    statuses.collect()
}

/// Returns what is left of each service outside the evacuated data centres, or nothing if none is
/// evacuated or this replica does not lead.
pub fn remaining_capacity(replica: &Replica) -> Vec<RemainingCapacity> {
    let Some(leader) = replica.leader() else {
        return Vec::new();
    };
    let evacuations = replica.state().evacuations();
    evacuations.remaining_capacity(leader.leases().endpoints())
}

fn replicas(replica: &Replica) -> Vec<ReplicaStatus> {
    let replicas = replica.raft().replicas().into_iter();
    let statuses = replicas.map(|progress| ReplicaStatus {
        daemon: progress.id,
        voter: progress.role == Role::Voter,
        reachable: progress.reachable,
        log_index: progress.matched,
    });
    statuses.collect()
}

fn rollouts(state: &ControlState) -> Vec<RolloutStatus> {
    let mut statuses = Vec::new();
    for service in state.rollouts().services() {
        let history = state.rollouts().history(service);
        let Some(latest) = history.and_then(|history| history.rollouts.last().cloned()) else {
            continue;
        };
        statuses.push(rollout_status(state, &latest));
    }
    statuses
}

fn rollout_status(state: &ControlState, rollout: &Rollout) -> RolloutStatus {
    RolloutStatus {
        rollout: rollout.number,
        approved: approval_at(state, rollout.started),
        service: rollout.service.clone(),
        from: rollout.from.clone(),
        to: rollout.to.clone(),
        phase: rollout.phase,
        share: rollout.share(),
        finish: rollout.finish_by,
        reason: rollout.reason.as_ref().map(ToString::to_string),
    }
}

/// Returns the version that was approved at the time `at`, or zero if the history no longer
/// contains it.
fn approval_at(state: &ControlState, at: Millis) -> ConfigVersion {
    let mut approvals = state
        .history()
        .filter(|record| matches!(record.event, machine::HistoryEvent::Approved { .. }));
    let approval = approvals.rfind(|record| record.at == at);
    approval.map_or_else(ConfigVersion::default, |record| record.version)
}

/// Returns the history of the mesh. With a `service`, entries of other services are left out;
/// entries that concern the whole mesh stay.
pub fn history(state: &ControlState, service: Option<&ServiceName>) -> HistoryResponse {
    let mut entries = Vec::new();
    for record in state.history() {
        let Some((event_service, event)) = history_entry(state, record) else {
            continue;
        };
        if service.is_some() && event_service.is_some() && event_service.as_ref() != service {
            continue;
        }
        let is_approval = matches!(event, HistoryEvent::Approved { .. });
        entries.push(HistoryEntry {
            version: record.version,
            at: event_time(record),
            service: event_service,
            event,
        });
        if is_approval {
            entries.extend(rollouts_started_by(state, record, service));
        }
    }
    HistoryResponse { entries }
}

/// Returns an entry for each rollout that an approval started.
fn rollouts_started_by(
    state: &ControlState,
    record: &machine::HistoryRecord,
    service: Option<&ServiceName>,
) -> Vec<HistoryEntry> {
    let mut entries = Vec::new();
    for name in state.rollouts().services() {
        if service.is_some_and(|service| service != name) {
            continue;
        }
        let Some(history) = state.rollouts().history(name) else {
            continue;
        };
        let started = history.rollouts.iter().filter(|r| r.started == record.at);
        entries.extend(started.map(|rollout| HistoryEntry {
            version: record.version,
            at: record.at,
            service: Some(name.clone()),
            event: HistoryEvent::RolloutStarted {
                from: rollout.from.clone(),
                to: rollout.to.clone(),
            },
        }));
    }
    entries
}

fn event_time(record: &machine::HistoryRecord) -> Millis {
    match &record.event {
        machine::HistoryEvent::Rollout(command) => command.at,
        _ => record.at,
    }
}

fn history_entry(
    state: &ControlState,
    record: &machine::HistoryRecord,
) -> Option<(Option<ServiceName>, HistoryEvent)> {
    match &record.event {
        machine::HistoryEvent::Approved { request, operator } => {
            let event = HistoryEvent::Approved {
                request_id: request.clone(),
                operator: operator.clone(),
            };
            Some((None, event))
        }
        // These are omitted: the command line shows the approvals and rollouts that result from
        // them.
        machine::HistoryEvent::Replaced { .. } | machine::HistoryEvent::Ordered { .. } => None,
        machine::HistoryEvent::Evacuation {
            data_centre,
            evacuated,
        } => {
            let data_centre = data_centre.clone();
            let event = match evacuated {
                true => HistoryEvent::Evacuated { data_centre },
                false => HistoryEvent::Restored { data_centre },
            };
            Some((None, event))
        }
        machine::HistoryEvent::KeyHolders { service, epoch } => {
            let event = HistoryEvent::KeyHoldersChanged { epoch: *epoch };
            Some((Some(service.clone()), event))
        }
        machine::HistoryEvent::Rollout(command) => {
            let rollout = state.rollouts().get(command.rollout)?;
            let event = rollout_event(rollout, &command.action, command.step);
            Some((Some(rollout.service.clone()), event))
        }
    }
}

fn rollout_event(rollout: &Rollout, action: &RolloutAction, step: u32) -> HistoryEvent {
    let to = rollout.to.clone();
    match action {
        RolloutAction::Advance | RolloutAction::Test { .. } => {
            let entered_step = rollout.steps.get(step as usize);
            HistoryEvent::ShareChanged {
                to,
                share: entered_step
                    .map_or_else(|| rollout.share(), |entered_step| entered_step.share),
            }
        }
        RolloutAction::Pass => HistoryEvent::TestPassed { to },
        RolloutAction::TakeBack(reason) => HistoryEvent::RolledBack {
            to,
            reason: reason.to_string(),
        },
        RolloutAction::Finish => HistoryEvent::RolloutDone { to },
    }
}
