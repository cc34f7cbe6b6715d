//! Oracle that records the runs of every request and checks every response.

use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

/// Properties of a request that determine which runs and responses are correct.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) idempotent: bool,
    pub(crate) keyed: bool,
    pub(crate) crashing: bool,
}

/// Response that a caller receives.
#[derive(Clone, Debug)]
pub(crate) enum Response {
    /// An answer, with the number of the request that it belongs to.
    Answer(usize),
    Failure(Failure),
}

#[derive(Debug)]
struct Send {
    request: usize,
    /// Number of runs, over all requests, that began before the send.
    runs_before: usize,
    responded: bool,
}

#[derive(Debug)]
struct Run {
    request: usize,
    send: usize,
}

/// Number of occurrences of each case.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) answered: usize,
    pub(crate) not_run: usize,
    pub(crate) may_have_run: usize,
    pub(crate) earlier_answers: usize,
    pub(crate) crashing_refused: usize,
    pub(crate) retries: usize,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.earlier_answers += other.earlier_answers;
        self.crashing_refused += other.crashing_refused;
        self.retries += other.retries;
    }
}

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) requests: Vec<Request>,
    sends: Vec<Send>,
    runs: Vec<Run>,
    pub(crate) violation: Option<String>,
    pub(crate) counts: Counts,
}

impl Oracle {
    /// Records that a caller sends `request`, and returns the number of the send.
    pub(crate) fn send(&mut self, request: usize) -> usize {
        self.sends.push(Send {
            request,
            runs_before: self.runs.len(),
            responded: false,
        });
        self.sends.len() - 1
    }

    pub(crate) fn request_of(&self, send: usize) -> Request {
        self.requests[self.sends[send].request]
    }

    pub(crate) fn request_number(&self, send: usize) -> usize {
        self.sends[send].request
    }

    /// Records that an upstream runs a send. Without an idempotency key, each send counts as a
    /// request of its own.
    pub(crate) fn run(&mut self, send: usize) {
        let number = self.sends[send].request;
        let request = self.requests[number];
        let again = self.runs.iter().any(|run| {
            let same = if request.keyed {
                run.request == number
            } else {
                run.send == send
            };
            same && !request.idempotent
        });
        if again {
            self.record_violation(format!("request {number} ran again, in send {send}"));
        }
        self.runs.push(Run {
            request: number,
            send,
        });
    }

    pub(crate) fn respond(&mut self, send: usize, response: &Response) {
        if std::mem::replace(&mut self.sends[send].responded, true) {
            self.record_violation(format!("send {send} received a second response"));
        }
        match response {
            Response::Answer(request) => self.check_answer(send, *request),
            Response::Failure(failure) => self.check_failure(send, *failure),
        }
    }

    fn check_answer(&mut self, send: usize, request: usize) {
        self.counts.answered += 1;
        if request != self.sends[send].request {
            self.record_violation(format!(
                "send {send} received the answer of request {request}"
            ));
        }
        if !self.runs.iter().any(|run| run.request == request) {
            self.record_violation(format!("answer to request {request}, which has not run"));
        }
        let own = self.runs.iter().any(|run| run.send == send);
        self.counts.earlier_answers += usize::from(!own);
    }

    /// Checks a failure. A verdict `NotRun` covers the send itself and, with an idempotency key,
    /// all runs of the request that began before the send.
    fn check_failure(&mut self, send: usize, failure: Failure) {
        if failure.verdict != Verdict::NotRun {
            self.counts.may_have_run += 1;
            return;
        }
        self.counts.not_run += 1;
        self.counts.crashing_refused += usize::from(failure.reason == Reason::CrashesUpstreams);
        let Send {
            request,
            runs_before,
            ..
        } = self.sends[send];
        let keyed = self.requests[request].keyed;
        let earlier = keyed
            && self.runs[..runs_before]
                .iter()
                .any(|run| run.request == request);
        if earlier || self.runs.iter().any(|run| run.send == send) {
            self.record_violation(format!(
                "verdict not-run for send {send} of request {request}, which ran"
            ));
        }
    }

    fn record_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }
}
