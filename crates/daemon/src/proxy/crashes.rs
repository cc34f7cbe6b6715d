//! Connects the requests that crash upstreams with the request path and with other daemons.

use async_std::channel;
use parking_lot::Mutex;
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::suspect::{CrashStatus, SuspectReport, Suspects};
use sycamoreflow_state::ids::DaemonId;
use sycamoreflow_state::verdict::{Failure, Reason};

use crate::clock;

/// Most entries in one report. With 100 bytes each, a report stays below 3 KB.
const REPORT_ENTRIES: usize = 30;

/// The suspects that this daemon knows.
#[derive(Debug)]
pub struct CrashTracker {
    suspects: Mutex<Suspects>,
    /// Wakes the subscription, so that the other daemons hear of a crash before the next send.
    urgent_report: channel::Sender<()>,
}

/// A request that was started. Dropping it ends the request without an answer.
#[derive(Debug)]
pub struct StartedRequest<'a> {
    crashes: &'a CrashTracker,
    request: Fingerprint,
    ended: bool,
}

impl CrashTracker {
    /// Starts without suspects.
    pub fn new(daemon: DaemonId, incarnation: u64, urgent_report: channel::Sender<()>) -> Self {
        Self {
            urgent_report,
            suspects: Mutex::new(Suspects::new(daemon, incarnation)),
        }
    }

    /// Checks a request before it is sent.
    ///
    /// # Errors
    ///
    /// Not run, if the request has crashed too many upstreams.
    pub fn check(&self, request: &Fingerprint) -> Result<(), Failure> {
        let status = self.suspects.lock().status(clock::now(), request);
        if status == CrashStatus::Refused {
            metrics::counter!("sycamoreflow_crashing_requests_refused_total").increment(1);
            return Err(Failure::not_run(Reason::CrashesUpstreams));
        }
        Ok(())
    }

    /// Starts a request at the upstream beside this daemon.
    ///
    /// # Errors
    ///
    /// Not run, if the request may not run here now.
    pub fn start(&self, request: Fingerprint) -> Result<StartedRequest<'_>, Failure> {
        self.suspects.lock().start(clock::now(), request)?;
        Ok(StartedRequest {
            crashes: self,
            request,
            ended: false,
        })
    }

    /// Takes in that a request was answered somewhere.
    pub fn completed(&self, request: Fingerprint) {
        self.suspects.lock().completed(clock::now(), request);
    }

    /// Takes in that the upstream has died, with the requests in flight as suspects.
    pub fn upstream_crashed(&self) {
        let suspected = self.suspects.lock().crashed(clock::now());
        let count = suspected.len();
        // A wake-up that is waiting already is enough.
        let _ = self.urgent_report.try_send(());
        metrics::counter!("sycamoreflow_upstream_crashes_total").increment(1);
        tracing::warn!(in_flight = count, "upstream died with requests in flight");
    }

    /// Takes in what other daemons report.
    pub fn merge(&self, report: &SuspectReport) {
        self.suspects.lock().merge(clock::now(), report);
    }

    /// Returns what other daemons do not know yet, if there is anything.
    pub fn report(&self) -> Option<SuspectReport> {
        let mut suspects = self.suspects.lock();
        suspects.tick(clock::now());
        let report = suspects.report(clock::now(), REPORT_ENTRIES);
        (!report.entries.is_empty()).then_some(report)
    }

    /// Returns what is known of a request that has just failed: the failure to pass on.
    fn failure_of(&self, request: &Fingerprint, failure: Failure) -> Failure {
        let status = self.suspects.lock().status(clock::now(), request);
        if status == CrashStatus::Clear {
            return failure;
        }
        // A suspect must not be sent to the next upstream.
        Failure {
            reason: Reason::CrashesUpstreams,
            ..failure
        }
    }
}

impl StartedRequest<'_> {
    /// Ends the request. `answered` tells whether a whole answer arrived.
    pub fn finish(mut self, answered: bool) {
        self.end(answered);
    }

    /// Ends the request after the upstream died, and returns the failure to pass on.
    pub fn failed(mut self, failure: Failure) -> Failure {
        let failure = self.crashes.failure_of(&self.request, failure);
        self.end(false);
        failure
    }

    fn end(&mut self, answered: bool) {
        self.ended = true;
        let mut suspects = self.crashes.suspects.lock();
        suspects.finish(clock::now(), self.request, answered);
    }
}

impl Drop for StartedRequest<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(false);
        }
    }
}
