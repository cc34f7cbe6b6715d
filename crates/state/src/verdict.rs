//! The verdict on whether an upstream may have executed a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Response header that carries the verdict to the caller.
pub const VERDICT_HEADER: &str = "sycamoreflow-verdict";

/// Whether an upstream may have run a request.
///
/// Verdicts are ordered by certainty of execution. The verdict on several attempts is their
/// maximum, so that a later refusal never hides an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No upstream ran the request: none received any byte of it, or one refused it before running
    /// it. The caller may send it again.
    NotRun,
    /// The request was sent at least in part, and no complete response was received.
    MayHaveRun,
    /// The upstream ran the request and responded to it.
    Ran,
}

impl Verdict {
    /// Returns the text that [`VERDICT_HEADER`] carries, which is also the serialized form.
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

/// Why a request received no response from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The daemon has no confirmed view yet, so it cannot route requests.
    NotReady,
    /// No route matches the request.
    NoRoute,
    /// The tenant is unknown or not permitted on the route.
    TenantRefused,
    /// The request carries no key of a client account, and its route needs one.
    Unauthenticated,
    /// The daemon can't confirm that the keys of client accounts are still valid.
    KeysUnconfirmed,
    /// The client account has used up its quota.
    QuotaExceeded,
    /// No endpoint of the service can take the request.
    NoEndpoint,
    /// The upstream's slots and queue are full.
    Overloaded,
    /// The upstream or a daemon on the path of the request is draining or shutting down.
    Draining,
    /// The upstream shed the request: it refused it before running it.
    Shed,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The connection to the upstream or to its daemon was lost.
    ConnectionLost,
    /// The response of the upstream was malformed or truncated.
    BadAnswer,
    /// The request is malformed or too large.
    BadRequest,
    /// The request has crashed upstreams before.
    CrashesUpstreams,
    /// Another request with the same idempotency key may have run, and no result of it is known.
    KeyUnresolved,
    /// The key holders could not be reached.
    KeyHoldersUnavailable,
}

/// The failure of a request, with the verdict by which its caller decides whether to send it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Cause of the failure.
    pub reason: Reason,
}

impl Failure {
    /// Creates the failure of a request that certainly did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
        }
    }

    /// Creates the failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
        }
    }
}
