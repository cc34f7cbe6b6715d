//! Bounded history of the changes of what proxies enforce.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{
    ConfigVersion, DataCentre, Millis, RequestId, ServiceName, VersionName,
};

use crate::rollout::RolloutCommand;

/// Maximum number of records. When it is reached, the oldest record is dropped.
pub const MAX_HISTORY: usize = 1024;

/// A change of what proxies enforce, with its version and time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HistoryRecord {
    /// Configuration version after the change.
    pub version: ConfigVersion,
    /// Log time of the change. For changes that carry no time, the log time of the last approval.
    pub at: Millis,
    /// What changed.
    pub event: HistoryEvent,
}

/// Kind of change in a [`HistoryRecord`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// A configuration was approved.
    Approved {
        /// Identifier of the approval request.
        request: RequestId,
        /// Name of the operator.
        operator: String,
    },
    /// A document of the operator came into force.
    Replaced {
        /// Number of the document.
        number: u64,
    },
    /// An operator ordered a rollout.
    Ordered {
        /// Service of the rollout.
        service: ServiceName,
        /// Version that is rolled out.
        to: VersionName,
    },
    /// An operator evacuated a data centre, or restored it.
    Evacuation {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether it is evacuated after the event.
        evacuated: bool,
    },
    /// The state of a rollout changed.
    Rollout(RolloutCommand),
    /// The group of key holders of a service changed.
    KeyHolders {
        /// Service whose keys the group holds.
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
