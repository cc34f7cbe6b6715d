//! The verdict that says whether a request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Response header that carries the verdict to the caller.
pub const VERDICT_HEADER: &str = "sycamoreflow-verdict";

/// Whether an upstream may have run a request.
///
/// The order is by certainty of execution; combining the verdicts of several attempts takes the
/// maximum, so one attempt that may have run is never hidden by a later refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request reached an upstream. The caller may send it again.
    NotRun,
    /// The request was at least partly sent and no whole answer came back.
    MayHaveRun,
    /// The upstream answered.
    Ran,
}

impl Verdict {
    /// Returns the value of [`VERDICT_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request has no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The daemon has no confirmed view yet.
    NotReady,
    /// No route matches the request.
    NoRoute,
    /// The tenant may not use the route, or is unknown.
    TenantRefused,
    /// No endpoint of the service can take the request.
    NoEndpoint,
    /// The upstream's slots and queue are full.
    Overloaded,
    /// The upstream or the daemon is leaving.
    Draining,
    /// The upstream itself refused the request before running it.
    Shed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The connection to the upstream or to its daemon broke.
    ConnectionLost,
    /// The answer was malformed or cut short.
    BadAnswer,
    /// The request is malformed or too large.
    BadRequest,
    /// The request has crashed upstreams before.
    CrashesUpstreams,
    /// Another send with the same idempotency key may have run and left no answer.
    KeyUnresolved,
    /// The key holders could not be reached.
    KeyHoldersUnavailable,
}

/// The failure of a request, with the verdict that its caller needs in order to send it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    pub reason: Reason,
}

impl Failure {
    /// Makes the failure of a request that certainly did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
        }
    }

    /// Makes the failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
        }
    }
}
