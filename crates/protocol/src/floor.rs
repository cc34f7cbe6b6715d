//! Conversation between a daemon and the witnesses of its version floor.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_state::view::{Delta, Interest};

/// What a daemon asks a witness. The link tells the witness which daemon asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FloorRequest {
    /// Record that the daemon is about to activate this version.
    Stage(ConfigVersion),
    /// Return what is recorded of the daemon.
    AskFloor,
    /// Return the own view if it is at or above this version.
    FetchView {
        /// Resources that the daemon wants.
        interest: Interest,
        /// Lowest version that the daemon may take.
        floor: ConfigVersion,
    },
}

/// What a witness answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FloorReply {
    /// The version that is now recorded.
    Staged(ConfigVersion),
    /// The recorded version, or `None` if nothing was heard of the daemon since the witness
    /// started.
    Floor(Option<ConfigVersion>),
    /// The full state for the wanted interest, or `None` if the witness has none at or above the
    /// floor.
    View(Option<Box<Delta>>),
}
