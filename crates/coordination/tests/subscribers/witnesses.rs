//! Stage requests to witnesses, and the start from witnesses while no replica is reachable.

use sycamoreflow_coordination::floor::FloorRecovery;
use sycamoreflow_state::ids::{ConfigVersion, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest, View};

use crate::content;
use crate::simulation::{Fault, SUBSCRIBERS, Simulation};
use crate::subscriber::ActivationContext;

/// A stage request in transit to a witness.
#[derive(Debug)]
pub(crate) struct StageRequest {
    at: Millis,
    from: usize,
    to: usize,
    /// Process numbers of sender and receiver. The request is dropped if either one restarts,
    /// because its link is then closed.
    processes: (u64, u64),
    version: ConfigVersion,
}

impl Simulation {
    pub(crate) fn processes(&self, number: usize) -> Vec<u64> {
        let witnesses = self.subscribers[number].witnesses.iter();
        witnesses.map(|n| self.subscribers[*n].process).collect()
    }

    pub(crate) fn step_witnesses(&mut self) {
        for from in 0..SUBSCRIBERS {
            for (witness, version) in self.subscribers[from].staging.due_requests(self.now) {
                let witnesses = &self.subscribers[from].witnesses;
                let to = witnesses
                    .iter()
                    .find(|n| content::name(**n) == witness.as_str());
                let Some(to) = to.copied() else { continue };
                if !self.faults_stopped && self.one_in(3) {
                    continue;
                }
                let processes = (self.subscribers[from].process, self.subscribers[to].process);
                let at = self.now.after(self.delay(300));
                self.stage_requests.push(StageRequest {
                    at,
                    from,
                    to,
                    processes,
                    version,
                });
            }
        }
        let due = |request: &mut StageRequest| request.at <= self.now;
        let stage_requests: Vec<StageRequest> = self.stage_requests.extract_if(.., due).collect();
        for request in stage_requests {
            self.deliver_stage_request(&request);
        }
        for subscriber in &mut self.subscribers {
            subscriber.poll(self.now, self.fault, &mut self.oracle);
        }
    }

    pub(crate) fn deliver_stage_request(&mut self, request: &StageRequest) {
        let processes = (
            self.subscribers[request.from].process,
            self.subscribers[request.to].process,
        );
        if processes != request.processes || self.now < self.silent_until[request.to] {
            return;
        }
        let daemon = content::name(request.from).as_str().into();
        let witness = &mut self.subscribers[request.to].witness;
        let version = witness.stage(&daemon, request.version);
        // One answer in ten is lost until the faults stop.
        if self.faults_stopped || !self.one_in(10) {
            self.subscribers[request.from].record_staged(request.to, version);
        }
    }

    pub(crate) fn start_from_witnesses(&mut self, number: usize) {
        let daemon = content::name(number).as_str().into();
        let subscriber = &self.subscribers[number];
        let witnesses = subscriber.witnesses.iter().copied();
        let reachable: Vec<usize> = witnesses
            .filter(|n| self.now >= self.silent_until[*n])
            .collect();
        let ids = subscriber.witnesses.iter();
        let mut recovery = FloorRecovery::new(ids.map(|n| content::name(*n).as_str().into()));
        for witness in &reachable {
            let mut answer = self.subscribers[*witness].witness.floor(&daemon);
            if self.fault == Fault::WitnessAnswersZero {
                answer = answer.or(Some(ConfigVersion(0)));
            }
            recovery.record_answer(&content::name(*witness).as_str().into(), answer);
        }
        let Some(floor) = recovery.floor() else {
            return;
        };
        self.subscribers[number].raise_floor(floor);
        let Some(view) = self.fetch_view(number, floor, &reachable) else {
            return;
        };
        self.oracle.counts.witness_starts += 1;
        let processes = self.processes(number);
        let context = ActivationContext {
            fault: self.fault,
            unprotected: self.subscribers[number].is_unprotected(&processes),
            processes: &processes,
        };
        self.subscribers[number].enforce(self.now, view, &context, &mut self.oracle);
    }

    /// Returns the newest view at or above `floor` of the witnesses in `from` whose interest covers
    /// that of the subscriber.
    pub(crate) fn fetch_view(
        &self,
        number: usize,
        floor: ConfigVersion,
        from: &[usize],
    ) -> Option<View> {
        let interest = &self.subscribers[number].interest;
        let mut best: Option<View> = None;
        for witness in from {
            let Some(own) = &self.subscribers[*witness].view else {
                continue;
            };
            if own.version().config < floor || !covers(own, interest) {
                continue;
            }
            let full = Delta::full(&own.restrict(interest));
            let Ok(view) = View::from_full(interest, &full) else {
                continue;
            };
            let order = |version: ViewVersion| (version.config, version.endpoints);
            if best
                .as_ref()
                .is_none_or(|best| order(best.version()) < order(view.version()))
            {
                best = Some(view);
            }
        }
        best
    }
}

fn covers(own: &View, wanted: &Interest) -> bool {
    match (own.interest(), wanted) {
        (Interest::All, _) => true,
        (Interest::Services(_), Interest::All) => false,
        (Interest::Services(have), Interest::Services(want)) => want.is_subset(have),
    }
}
