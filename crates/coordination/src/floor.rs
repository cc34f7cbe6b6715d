//! The version floor of a daemon without a disk: the lowest configuration version that it may
//! serve after a restart.
//!
//! Before a daemon activates a version it stages it at a fixed set of witnesses and waits for a
//! majority. After a restart any majority of the same set shares a member with that one, so the
//! highest answer is at or above what the daemon had activated (`docs/design.md`, section 2.3).

use std::collections::{BTreeMap, BTreeSet};

use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis};

#[cfg(test)]
mod tests;

/// How long an activation waits for a majority of the witnesses.
///
/// A daemon whose witnesses are lost must still follow accepted configurations, so it activates
/// after this time and goes on staging until a majority has answered.
pub const FLOOR_STAGE_TIMEOUT: Millis = Millis(2_000);

/// How often unanswered stage requests and floor questions are sent again.
pub const FLOOR_RESEND_INTERVAL: Millis = Millis(250);

/// What a witness remembers of other daemons. It is lost when the witness restarts.
#[derive(Debug, Default)]
pub struct Witness {
    floors: BTreeMap<DaemonId, ConfigVersion>,
}

impl Witness {
    /// Records that `daemon` is about to activate `version` and returns the recorded floor.
    ///
    /// Late and repeated messages never lower the floor.
    pub fn stage(&mut self, daemon: &DaemonId, version: ConfigVersion) -> ConfigVersion {
        let floor = self.floors.entry(daemon.clone()).or_default();
        *floor = version.max(*floor);
        *floor
    }

    /// Returns the floor of `daemon`, or `None` if nothing was heard of it since the start of this
    /// process. `None` must not count as an answer, because the record may have been lost.
    pub fn floor(&self, daemon: &DaemonId) -> Option<ConfigVersion> {
        self.floors.get(daemon).copied()
    }
}

/// Stages versions at the witnesses of one daemon before they are activated.
#[derive(Debug)]
pub struct Staging {
    witnesses: BTreeMap<DaemonId, ConfigVersion>,
    pending: Option<Pending>,
    last_sent: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    version: ConfigVersion,
    since: Millis,
    activated: bool,
}

/// Decision of [`Staging::poll`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activation {
    /// There is nothing to activate.
    None,
    /// Wait for more witnesses.
    Wait,
    /// Activate the version.
    Activate {
        /// Version to activate.
        version: ConfigVersion,
        /// Whether a majority of the witnesses has recorded it.
        witnessed: bool,
    },
}

impl Staging {
    /// Makes the staging state for a fixed set of witnesses.
    pub fn new(witnesses: impl IntoIterator<Item = DaemonId>) -> Self {
        let witnesses = witnesses.into_iter();
        Self {
            witnesses: witnesses.map(|id| (id, ConfigVersion::default())).collect(),
            pending: None,
            last_sent: Millis::default(),
        }
    }

    /// Starts to stage `version`. A newer version replaces an older one that is still waiting.
    pub fn start(&mut self, now: Millis, version: ConfigVersion) {
        let unactivated = self.pending.filter(|pending| !pending.activated);
        if self
            .pending
            .is_some_and(|pending| pending.version >= version)
        {
            return;
        }
        self.pending = Some(Pending {
            version,
            // A stream of changes must not postpone the activation for ever.
            since: unactivated.map_or(now, |pending| pending.since),
            activated: false,
        });
        self.last_sent = Millis::default();
    }

    /// Records the answer of a witness.
    pub fn record_staged(&mut self, witness: &DaemonId, version: ConfigVersion) {
        let Some(recorded) = self.witnesses.get_mut(witness) else {
            return;
        };
        *recorded = version.max(*recorded);
    }

    /// Returns the witnesses that have to be sent the pending version now.
    pub fn due_requests(&mut self, now: Millis) -> Vec<(DaemonId, ConfigVersion)> {
        let Some(pending) = self.pending else {
            return Vec::new();
        };
        let is_first = self.last_sent == Millis::default();
        if !is_first && now.since(self.last_sent) < FLOOR_RESEND_INTERVAL {
            return Vec::new();
        }
        self.last_sent = now;
        let behind = self.witnesses.iter().filter(|(_, v)| **v < pending.version);
        behind
            .map(|(id, _)| (id.clone(), pending.version))
            .collect()
    }

    /// Decides whether the pending version may be activated.
    pub fn poll(&mut self, now: Millis) -> Activation {
        let Some(pending) = self.pending else {
            return Activation::None;
        };
        let version = pending.version;
        let witnessed = self.is_witnessed(version);
        if witnessed {
            self.pending = None;
        }
        if pending.activated {
            return Activation::None;
        }
        if !witnessed && now.since(pending.since) < FLOOR_STAGE_TIMEOUT {
            return Activation::Wait;
        }
        if let Some(pending) = &mut self.pending {
            pending.activated = true;
        }
        Activation::Activate { version, witnessed }
    }

    /// Ends the staging of an activated version that a majority has recorded by now.
    pub fn clear_witnessed(&mut self) {
        let done = |pending: &Pending| pending.activated && self.is_witnessed(pending.version);
        if self.pending.as_ref().is_some_and(done) {
            self.pending = None;
        }
    }

    fn is_witnessed(&self, version: ConfigVersion) -> bool {
        let count = self.witnesses.values().filter(|v| **v >= version).count();
        count >= majority(self.witnesses.len())
    }
}

/// Finds the floor after a restart from the answers of the witnesses.
#[derive(Debug)]
pub struct FloorRecovery {
    witnesses: BTreeSet<DaemonId>,
    answers: BTreeMap<DaemonId, ConfigVersion>,
}

impl FloorRecovery {
    /// Makes the recovery state for a fixed set of witnesses.
    pub fn new(witnesses: impl IntoIterator<Item = DaemonId>) -> Self {
        Self {
            witnesses: witnesses.into_iter().collect(),
            answers: BTreeMap::new(),
        }
    }

    /// Records the answer of a witness. "Unknown" is no answer.
    pub fn record_answer(&mut self, witness: &DaemonId, floor: Option<ConfigVersion>) {
        let Some(floor) = floor else {
            return;
        };
        if !self.witnesses.contains(witness) {
            return;
        }
        let recorded = self.answers.entry(witness.clone()).or_default();
        *recorded = floor.max(*recorded);
    }

    /// Returns the floor once a majority of the whole set has answered.
    ///
    /// Without any witness there is never a floor, and the daemon needs a control replica.
    pub fn floor(&self) -> Option<ConfigVersion> {
        if self.witnesses.is_empty() || self.answers.len() < majority(self.witnesses.len()) {
            return None;
        }
        self.answers.values().max().copied()
    }
}

/// Returns the size of a majority. It is zero for an empty set, which has nobody to wait for.
fn majority(members: usize) -> usize {
    if members == 0 { 0 } else { members / 2 + 1 }
}
