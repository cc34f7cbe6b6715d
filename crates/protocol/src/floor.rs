//! Messages between a daemon and the witnesses of its version floor.
//!
//! The version floor is the lowest configuration version that a daemon may serve. Witnesses are
//! daemons that record it on behalf of a daemon without a disk.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_state::view::{Delta, Interest};

/// A request to a witness. It contains no daemon id: the handshake of the link authenticated the
/// sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FloorRequest {
    /// Records that the sender is about to activate this version.
    Stage(ConfigVersion),
    /// Asks for the version that is recorded for the sender.
    AskFloor,
    /// Asks for the view of the witness, provided that it is at or above `floor`.
    FetchView {
        /// Resources to include.
        interest: Interest,
        /// Lowest version that the sender may activate.
        floor: ConfigVersion,
    },
}

/// Reply of a witness to a [`FloorRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FloorReply {
    /// Version that is recorded after [`FloorRequest::Stage`].
    Staged(ConfigVersion),
    /// The recorded version, or `None` if the daemon has staged no version since the witness
    /// started.
    Floor(Option<ConfigVersion>),
    /// Full state for the requested interest, or `None` if the witness has no view, its view is
    /// below the requested floor, or its view does not cover the interest.
    View(Option<Box<Delta>>),
}
