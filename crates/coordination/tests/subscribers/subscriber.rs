//! A daemon as a subscriber and as a witness. It behaves like `crates/daemon/src/subscriber.rs` and
//! `crates/daemon/src/floor.rs`.

use std::sync::Arc;

use sycamoreflow_coordination::floor::{Activation, Staging, Witness};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{ConfigVersion, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest, Rejection, View};

use crate::content;
use crate::oracle::Oracle;
use crate::simulation::Fault;

/// An admitted subscription at a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Session {
    pub(crate) replica: usize,
    /// Version of the last update that the replica sent.
    pub(crate) sent: Option<ViewVersion>,
}

/// A view whose version is being staged before its activation.
#[derive(Debug)]
struct Staged {
    view: View,
    /// Value of [`ActivationContext::unprotected`] when the staging began.
    unprotected: bool,
    processes: Vec<u64>,
}

/// Conditions under which a view is activated.
#[derive(Debug)]
pub(crate) struct ActivationContext<'a> {
    pub(crate) fault: Fault,
    /// Whether the design page exempts the current state from the protection by the floor.
    pub(crate) unprotected: bool,
    /// Current process numbers of the witnesses.
    pub(crate) processes: &'a [u64],
}

/// Whether the witnesses protect the version in force. The oracle exempts an unprotected version
/// from the version check.
#[derive(Debug, Default)]
struct Protection {
    /// Process numbers of the witnesses when the staging of the version began.
    processes: Vec<u64>,
    /// Whether the version was activated without a majority of the witnesses. It remains set until
    /// the next activation, even if a majority records the version before that.
    unwitnessed: bool,
}

#[derive(Debug)]
pub(crate) struct Subscriber {
    number: usize,
    pub(crate) interest: Interest,
    pub(crate) witnesses: Vec<usize>,
    pub(crate) endpoints: Vec<Endpoint>,
    /// Process number: the count of restarts, by which messages to an earlier process are dropped.
    pub(crate) process: u64,
    pub(crate) witness: Witness,
    pub(crate) staging: Staging,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) floor: Option<ConfigVersion>,
    pub(crate) session: Option<Session>,
    pub(crate) inbox: Vec<(Millis, Delta)>,
    pub(crate) next_join: Millis,
    pub(crate) next_renewal: Millis,
    staged: Option<Staged>,
    protection: Protection,
}

impl Subscriber {
    pub(crate) fn new(number: usize, subscribers: usize) -> Self {
        let witnesses: Vec<usize> = (1..4).map(|n| (number + n) % subscribers).collect();
        Self {
            number,
            interest: content::interest(number),
            staging: staging(&witnesses),
            witnesses,
            endpoints: Vec::new(),
            process: 0,
            witness: Witness::default(),
            view: None,
            floor: None,
            session: None,
            inbox: Vec::new(),
            next_join: Millis(0),
            next_renewal: Millis(0),
            staged: None,
            protection: Protection::default(),
        }
    }

    /// Restarts the daemon, which loses its view, its floor and its records as a witness.
    pub(crate) fn restart(&mut self, now: Millis) {
        self.process += 1;
        self.witness = Witness::default();
        self.staging = staging(&self.witnesses);
        self.view = None;
        self.floor = None;
        self.staged = None;
        self.inbox.clear();
        self.end_session(now, Millis(200));
    }

    pub(crate) fn end_session(&mut self, now: Millis, wait: Millis) {
        self.session = None;
        self.next_join = now.after(wait);
    }

    /// Returns whether a view is being staged. No update is applied meanwhile.
    pub(crate) fn is_staging(&self) -> bool {
        self.staged.is_some()
    }

    pub(crate) fn raise_floor(&mut self, floor: ConfigVersion) {
        self.floor = self.floor.max(Some(floor));
    }

    /// Applies an update. Returns `false` if the session must end.
    pub(crate) fn apply_update(
        &mut self,
        now: Millis,
        delta: &Delta,
        context: &ActivationContext<'_>,
        oracle: &mut Oracle,
    ) -> bool {
        let result = match &self.view {
            Some(own) => own.apply(delta),
            None => View::from_full(&self.interest, delta),
        };
        match result {
            Ok(view) => self.enforce(now, view, context, oracle),
            Err(rejection) if rejection.is_duplicate() => {}
            Err(rejection) => {
                let is_stale = matches!(rejection, Rejection::Stale { .. });
                oracle.counts.stale_rejected += u64::from(is_stale);
                if matches!(rejection, Rejection::DigestMismatch { .. }) {
                    // The subscriber would reconnect at the same version and receive the same
                    // update again.
                    oracle.fail(format!(
                        "d{} received an update that it can't apply: {rejection}",
                        self.number
                    ));
                }
                if is_stale
                    && context.fault == Fault::StaleUpdateAccepted
                    && let Ok(view) = View::from_full(&self.interest, delta)
                {
                    self.activate(view, false, context.fault, oracle);
                }
                return matches!(rejection, Rejection::Invalid(_));
            }
        }
        true
    }

    /// Stages the version of a view, which [`Self::poll`] activates later. A view whose
    /// configuration version is already in force is activated immediately, and one below the floor
    /// is dropped.
    pub(crate) fn enforce(
        &mut self,
        now: Millis,
        view: View,
        context: &ActivationContext<'_>,
        oracle: &mut Oracle,
    ) {
        let version = view.version().config;
        if Some(version) < self.floor {
            oracle.counts.below_floor += 1;
            return;
        }
        let in_force = self.view.as_ref().map(|view| view.version().config);
        let unstaged = context.fault == Fault::UnstagedActivation && version.0 % 2 == 1;
        if in_force >= Some(version) || unstaged {
            self.activate(view, context.unprotected, context.fault, oracle);
            return;
        }
        self.staging.start(now, version);
        self.staged = Some(Staged {
            view,
            unprotected: context.unprotected,
            processes: context.processes.to_vec(),
        });
    }

    /// Activates the staged view if a majority of the witnesses has recorded its version or the
    /// wait has timed out.
    pub(crate) fn poll(&mut self, now: Millis, fault: Fault, oracle: &mut Oracle) {
        let decision = self.staging.poll(now);
        let Activation::Activate { witnessed, .. } = decision else {
            return;
        };
        if let Some(staged) = self.staged.take() {
            oracle.counts.unwitnessed += u64::from(!witnessed);
            self.protection = Protection {
                processes: staged.processes,
                unwitnessed: !witnessed,
            };
            self.activate(staged.view, staged.unprotected, fault, oracle);
        }
    }

    /// Records the floor that a witness returned for a stage request.
    pub(crate) fn record_staged(&mut self, witness: usize, version: ConfigVersion) {
        let name = content::name(witness).as_str().into();
        self.staging.record_staged(&name, version);
    }

    /// Returns whether the last activation had no majority, or more than half of the witnesses have
    /// restarted since its staging began. `processes` are their current process numbers.
    pub(crate) fn is_unprotected(&self, processes: &[u64]) -> bool {
        let known = self.protection.processes.iter().zip(processes);
        let lost = known.filter(|(then, now)| then != now).count();
        self.protection.unwitnessed || lost * 2 > self.witnesses.len()
    }

    fn activate(&mut self, mut view: View, unprotected: bool, fault: Fault, oracle: &mut Oracle) {
        if fault == Fault::MissingResource {
            let key = view.iter().map(|(key, _)| key.clone()).next();
            key.map(|key| view.remove(&key));
        }
        self.raise_floor(view.version().config);
        oracle.enforced(self.number, &self.interest, &view, unprotected);
        self.view = Some(Arc::new(view));
    }
}

fn staging(witnesses: &[usize]) -> Staging {
    Staging::new(witnesses.iter().map(|n| content::name(*n).as_str().into()))
}
