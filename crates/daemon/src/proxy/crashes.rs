//! Tracking of requests that crash upstreams, and exchange of crash records with other daemons.
//!
//! The rules are in [`sycamoreflow_coordination::suspect`].

use async_std::channel;
use parking_lot::Mutex;
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::suspect::{CrashStatus, SuspectReport, Suspects};
use sycamoreflow_state::ids::DaemonId;
use sycamoreflow_state::verdict::{Failure, Reason};

use crate::clock;

/// Maximum number of entries in one report. At 100 bytes per entry, a report stays within 3 KB.
const REPORT_ENTRIES: usize = 30;

/// Crash records that this daemon knows, from its own upstreams and from other daemons.
#[derive(Debug)]
pub struct CrashTracker {
    suspects: Mutex<Suspects>,
    /// Wakes the subscription, so that other daemons receive the record of a crash before the
    /// request is sent again.
    urgent_report: channel::Sender<()>,
}

/// A request that was started at the upstream. Dropping it ends the request without an answer.
#[derive(Debug)]
pub struct StartedRequest<'a> {
    crashes: &'a CrashTracker,
    request: Fingerprint,
    ended: bool,
}

impl CrashTracker {
    /// Creates a tracker without crash records. `incarnation` increases with every start of the
    /// daemon.
    pub fn new(daemon: DaemonId, incarnation: u64, urgent_report: channel::Sender<()>) -> Self {
        Self {
            urgent_report,
            suspects: Mutex::new(Suspects::new(daemon, incarnation)),
        }
    }

    /// Checks whether a request may be sent.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::CrashesUpstreams`] with the verdict `NotRun` if too many crashes of
    /// upstreams are recorded against the request.
    pub fn check(&self, request: &Fingerprint) -> Result<(), Failure> {
        let status = self.suspects.lock().status(clock::now(), request);
        if status == CrashStatus::Refused {
            metrics::counter!("sycamoreflow_crashing_requests_refused_total").increment(1);
            return Err(Failure::not_run(Reason::CrashesUpstreams));
        }
        Ok(())
    }

    /// Records that a request is about to be sent to the upstream on this host.
    ///
    /// # Errors
    ///
    /// Returns a failure with the verdict `NotRun` if the request is refused everywhere, or must
    /// not run at the same time as another suspect.
    pub fn start(&self, request: Fingerprint) -> Result<StartedRequest<'_>, Failure> {
        self.suspects.lock().start(clock::now(), request)?;
        Ok(StartedRequest {
            crashes: self,
            request,
            ended: false,
        })
    }

    /// Records that a request was answered by any upstream of the mesh.
    pub fn completed(&self, request: Fingerprint) {
        self.suspects.lock().completed(clock::now(), request);
    }

    /// Records a crash of the upstream against the requests that were in flight, and reports it to
    /// other daemons.
    pub fn upstream_crashed(&self) {
        let suspected = self.suspects.lock().crashed(clock::now());
        let count = suspected.len();
        // If the channel is full, the subscription has a pending wake-up already.
        let _ = self.urgent_report.try_send(());
        metrics::counter!("sycamoreflow_upstream_crashes_total").increment(1);
        tracing::warn!(
            in_flight = count,
            "upstream crashed with requests in flight"
        );
    }

    /// Merges crash records that other daemons report.
    pub fn merge(&self, report: &SuspectReport) {
        self.suspects.lock().merge(clock::now(), report);
    }

    /// Reports everything again that this daemon has observed, to the replica of a new subscription.
    pub fn report_again(&self) {
        self.suspects.lock().report_again();
    }

    /// Removes expired records, and returns the observations that were not reported yet, if there are
    /// any.
    pub fn report(&self) -> Option<SuspectReport> {
        let mut suspects = self.suspects.lock();
        suspects.tick(clock::now());
        let report = suspects.report(clock::now(), REPORT_ENTRIES);
        (!report.entries.is_empty()).then_some(report)
    }

    /// Returns the failure to report for a request that has just failed with `failure`. The reason
    /// is [`Reason::CrashesUpstreams`] if a crash is recorded against the request.
    fn failure_of(&self, request: &Fingerprint, failure: Failure) -> Failure {
        let status = self.suspects.lock().status(clock::now(), request);
        if status == CrashStatus::Clear {
            return failure;
        }
        // The entry daemon does not retry this reason, so the request cannot crash another
        // upstream.
        Failure {
            reason: Reason::CrashesUpstreams,
            ..failure
        }
    }
}

impl StartedRequest<'_> {
    /// Ends the request. `answered` is whether a complete answer arrived.
    pub fn finish(mut self, answered: bool) {
        self.end(answered);
    }

    /// Ends the request without an answer after it may have run, and returns the failure to report.
    /// Its reason is [`Reason::CrashesUpstreams`] if a crash is recorded against the request.
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
