//! The owner role of a simulated daemon, with the upstream beside it.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::admission::{
    Admission, AdmissionConfig, CallId, Decision, Released, UpstreamResult,
};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::suspect::Suspects;
use sycamoreflow_state::ids::{Micros, Millis};
use sycamoreflow_state::verdict::{Failure, Reason};

use crate::oracle::Oracle;

/// A call from an entry daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) send: usize,
    pub(crate) entry: usize,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Millis,
}

/// Result that the owner returns for a call.
pub(crate) type Reply = (Call, Result<(), Failure>);

pub(crate) struct Owner {
    admission: Admission,
    known: BTreeMap<CallId, Call>,
    running: Vec<Call>,
}

impl Owner {
    pub(crate) fn new() -> Self {
        Self {
            admission: Admission::new(AdmissionConfig::new(3)),
            known: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    pub(crate) fn offer(
        &mut self,
        now: Millis,
        call: Call,
        suspects: &mut Suspects,
        oracle: &mut Oracle,
    ) -> Vec<Reply> {
        self.known.insert(call.id, call);
        match self
            .admission
            .offer(now, call.id, &"grocers".into(), call.deadline)
        {
            Decision::Start => self.begin(now, call, suspects, oracle),
            Decision::Queued => Vec::new(),
            Decision::Refused(failure) => vec![(call, Err(failure))],
        }
    }

    pub(crate) fn tick(
        &mut self,
        now: Millis,
        suspects: &mut Suspects,
        oracle: &mut Oracle,
    ) -> Vec<Reply> {
        let released = self.admission.tick(now);
        self.release(now, released, suspects, oracle)
    }

    /// Ends one random running call with its answer or, if its request is a crashing one, with a
    /// crash of the upstream.
    pub(crate) fn finish_one(
        &mut self,
        now: Millis,
        rng: &mut ChaCha8Rng,
        suspects: &mut Suspects,
        oracle: &mut Oracle,
    ) -> Vec<Reply> {
        if self.running.is_empty() {
            return Vec::new();
        }
        let call = self.running[rng.random_range(0..self.running.len())];
        if oracle.request_of(call.send).crashing {
            return self.crash(now, suspects, oracle);
        }
        self.running.retain(|c| c.id != call.id);
        suspects.finish(now, call.fingerprint, true);
        let answered = UpstreamResult::Answered(Micros(5_000));
        let released = self.admission.finish(now, call.id, answered);
        let mut replies = vec![(call, Ok(()))];
        replies.extend(self.release(now, released, suspects, oracle));
        replies
    }

    pub(crate) fn crash(
        &mut self,
        now: Millis,
        suspects: &mut Suspects,
        oracle: &mut Oracle,
    ) -> Vec<Reply> {
        let failures: BTreeMap<Fingerprint, Failure> = suspects.crashed(now).into_iter().collect();
        let mut replies = Vec::new();
        for call in std::mem::take(&mut self.running) {
            replies.push((call, Err(failures[&call.fingerprint])));
            let released = self.admission.finish(now, call.id, UpstreamResult::Failed);
            replies.extend(self.release(now, released, suspects, oracle));
        }
        replies
    }

    pub(crate) fn cancel(&mut self, id: CallId) {
        self.admission.cancel(id);
    }

    pub(crate) fn set_draining(&mut self, draining: bool) {
        if draining {
            self.admission.drain();
        } else {
            self.admission.resume();
        }
    }

    fn release(
        &mut self,
        now: Millis,
        released: Vec<Released>,
        suspects: &mut Suspects,
        oracle: &mut Oracle,
    ) -> Vec<Reply> {
        let mut replies = Vec::new();
        for release in released {
            match release {
                Released::Start(id) => {
                    let call = self.known[&id];
                    replies.extend(self.begin(now, call, suspects, oracle));
                }
                Released::Refused(id, failure) => replies.push((self.known[&id], Err(failure))),
            }
        }
        replies
    }

    /// Passes a call to the upstream, which sheds some calls instead of running them.
    fn begin(
        &mut self,
        now: Millis,
        call: Call,
        suspects: &mut Suspects,
        oracle: &mut Oracle,
    ) -> Vec<Reply> {
        let sheds = call.id.0.is_multiple_of(13);
        let failure = match suspects.start(now, call.fingerprint) {
            Err(failure) => failure,
            Ok(()) if sheds => {
                suspects.finish(now, call.fingerprint, false);
                Failure::not_run(Reason::Shed)
            }
            Ok(()) => {
                oracle.run(call.send);
                self.running.push(call);
                return Vec::new();
            }
        };
        let result = if sheds {
            UpstreamResult::Shed
        } else {
            UpstreamResult::Abandoned
        };
        let released = self.admission.finish(now, call.id, result);
        let mut replies = vec![(call, Err(failure))];
        replies.extend(self.release(now, released, suspects, oracle));
        replies
    }
}
