//! The latest changes of what proxies enforce.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{ConfigVersion, Millis, RequestId, ServiceName, VersionName};

use crate::rollout::RolloutCommand;

/// Records kept. Older ones are dropped.
pub const MAX_HISTORY: usize = 1024;

/// A change of what proxies enforce.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HistoryRecord {
    /// Version after the change.
    pub version: ConfigVersion,
    /// Time of the change. For changes without a time of their own, that of the latest approval.
    pub at: Millis,
    /// The change.
    pub event: HistoryEvent,
}

/// Kind of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// A configuration was approved.
    Approved {
        /// Identifier of the request.
        request: RequestId,
        /// Who approved it.
        operator: String,
    },
    /// A document of the operator came into force.
    Replaced {
        /// Number of the document.
        number: u64,
    },
    /// A rollout was ordered.
    Ordered {
        /// Service.
        service: ServiceName,
        /// New version.
        to: VersionName,
    },
    /// A rollout changed.
    Rollout(RolloutCommand),
    /// A group of key holders changed.
    KeyHolders {
        /// Service.
        service: ServiceName,
        /// Number of the new group.
        epoch: u64,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct History {
    records: VecDeque<HistoryRecord>,
}

impl History {
    pub(super) fn add(&mut self, version: ConfigVersion, at: Millis, event: HistoryEvent) {
        if self.records.len() >= MAX_HISTORY {
            self.records.pop_front();
        }
        self.records.push_back(HistoryRecord { version, at, event });
    }

    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &HistoryRecord> {
        self.records.iter()
    }
}
