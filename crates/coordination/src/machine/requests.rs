//! Recorded outcomes of operator requests, returned again when a request is resent.
//!
//! The log time is the highest time in any approval. Outcomes are kept for [`OUTCOME_RETENTION`] of
//! log time, and at most [`MAX_OUTCOMES`] of them; the oldest are dropped first. If the outcome was
//! dropped, a resent request receives a conflict, because its base is older than the approval that
//! it made or conflicted with. A request is therefore never accepted twice.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use sycamoreflow_state::ids::{ConfigVersion, Millis, RequestId};

use super::Outcome;

/// Log time for which an outcome is kept.
pub const OUTCOME_RETENTION: Millis = Millis(24 * 3_600_000);
/// Maximum number of recorded outcomes. The planned rate is 45,000 changes a day.
pub const MAX_OUTCOMES: usize = 65_536;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RecordedOutcome {
    /// SHA-256 hash of base and answers. It does not cover the configuration, which is generated
    /// from the answers and whose encoding may differ between releases.
    content: [u8; 32],
    outcome: Outcome,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Requests {
    outcomes: BTreeMap<RequestId, RecordedOutcome>,
    /// Requests in the order in which their outcomes were recorded, with the log time.
    order: VecDeque<(Millis, RequestId)>,
    time: Millis,
}

impl Requests {
    /// Returns the log time after an entry with the time `at`. It never decreases.
    pub(super) fn log_time(&self, at: Millis) -> Millis {
        self.time.max(at)
    }

    pub(super) fn find(
        &self,
        request: &RequestId,
        base: ConfigVersion,
        answers: &str,
    ) -> Option<Outcome> {
        let recorded = self.outcomes.get(request)?;
        if recorded.content != content_hash(base, answers) {
            return Some(Outcome::RequestIdReused);
        }
        Some(as_repeated(&recorded.outcome))
    }

    pub(super) fn record(
        &mut self,
        request: RequestId,
        base: ConfigVersion,
        answers: &str,
        outcome: &Outcome,
        at: Millis,
    ) {
        self.time = self.log_time(at);
        while let Some((since, oldest)) = self.order.front() {
            let expired = self.time.since(*since) > OUTCOME_RETENTION;
            if !expired && self.order.len() < MAX_OUTCOMES {
                break;
            }
            self.outcomes.remove(oldest);
            self.order.pop_front();
        }
        let recorded = RecordedOutcome {
            content: content_hash(base, answers),
            outcome: outcome.clone(),
        };
        self.outcomes.insert(request.clone(), recorded);
        self.order.push_back((self.time, request));
    }
}

fn content_hash(base: ConfigVersion, answers: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(base.0.to_le_bytes());
    hash.update(answers.as_bytes());
    hash.finalize().into()
}

fn as_repeated(outcome: &Outcome) -> Outcome {
    let mut outcome = outcome.clone();
    if let Outcome::Approved { repeated, .. } | Outcome::Conflict { repeated, .. } = &mut outcome {
        *repeated = true;
    }
    outcome
}
