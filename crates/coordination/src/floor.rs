//! The version floor of a daemon without a disk: the lowest configuration version that it may
//! serve after a restart.
//!
//! Before a daemon activates a version, it stages the version at a fixed set of witnesses and waits
//! until a majority has recorded it. After a restart it asks the same set. Any two majorities share
//! a member, so the highest answer of a majority is at or above the version that the daemon had
//! activated (`docs/design.md`, section 2.3).

use std::collections::{BTreeMap, BTreeSet};

use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis};

#[cfg(test)]
mod tests;

/// Maximum time for which an activation waits for a majority of the witnesses.
///
/// A daemon must apply accepted configurations even if its witnesses are unreachable. After this
/// time it activates the version and continues to stage it until a majority has recorded it.
pub const FLOOR_STAGE_TIMEOUT: Millis = Millis(2_000);

/// Interval at which unanswered stage requests and floor requests are resent.
pub const FLOOR_RESEND_INTERVAL: Millis = Millis(250);

/// Floors of other daemons that a witness has recorded in memory. They are lost when the witness
/// restarts.
#[derive(Debug, Default)]
pub struct Witness {
    floors: BTreeMap<DaemonId, ConfigVersion>,
}

impl Witness {
    /// Records that `daemon` is about to activate `version` and returns the recorded floor, which
    /// is the highest version staged so far.
    ///
    /// Delayed and repeated requests never lower the floor.
    pub fn stage(&mut self, daemon: &DaemonId, version: ConfigVersion) -> ConfigVersion {
        let floor = self.floors.entry(daemon.clone()).or_default();
        *floor = version.max(*floor);
        *floor
    }

    /// Returns the floor of `daemon`, or `None` if it has staged no version since the start of this
    /// process. `None` must not count as an answer, because the witness may have lost a record.
    pub fn floor(&self, daemon: &DaemonId) -> Option<ConfigVersion> {
        self.floors.get(daemon).copied()
    }
}

/// Stages versions of one daemon at its witnesses before the daemon activates them.
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
    /// No version is pending, or the pending one is already activated.
    None,
    /// Wait until more witnesses have recorded the version.
    Wait,
    /// Activate the pending version.
    Activate {
        /// Version to activate.
        version: ConfigVersion,
        /// Whether a majority of the witnesses has recorded it. If `false`, the wait has timed out.
        witnessed: bool,
    },
}

impl Staging {
    /// Creates the staging state for a fixed set of witnesses, without a pending version.
    pub fn new(witnesses: impl IntoIterator<Item = DaemonId>) -> Self {
        let witnesses = witnesses.into_iter();
        Self {
            witnesses: witnesses.map(|id| (id, ConfigVersion::default())).collect(),
            pending: None,
            last_sent: Millis::default(),
        }
    }

    /// Starts to stage `version` and replaces an older pending version. Has no effect if the same
    /// or a newer version is pending.
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
            // Keeps the start of the wait, since frequent changes would otherwise delay the
            // activation indefinitely.
            since: unactivated.map_or(now, |pending| pending.since),
            activated: false,
        });
        self.last_sent = Millis::default();
    }

    /// Records the floor that a witness returned for a stage request. Has no effect if `witness` is
    /// not in the set.
    pub fn record_staged(&mut self, witness: &DaemonId, version: ConfigVersion) {
        let Some(recorded) = self.witnesses.get_mut(witness) else {
            return;
        };
        *recorded = version.max(*recorded);
    }

    /// Returns the stage requests to send now: the witnesses that have not recorded the pending
    /// version, with that version. Empty if the last requests were sent less than
    /// [`FLOOR_RESEND_INTERVAL`] ago and no version was started since.
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

    /// Decides whether the pending version may be activated. Returns [`Activation::Activate`] at
    /// most once for each started version.
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

    /// Ends the staging of an activated version if a majority has recorded it since.
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

/// Determines the floor after a restart from the answers of the witnesses.
#[derive(Debug)]
pub struct FloorRecovery {
    witnesses: BTreeSet<DaemonId>,
    answers: BTreeMap<DaemonId, ConfigVersion>,
}

impl FloorRecovery {
    /// Creates the recovery state for a fixed set of witnesses, without answers.
    pub fn new(witnesses: impl IntoIterator<Item = DaemonId>) -> Self {
        Self {
            witnesses: witnesses.into_iter().collect(),
            answers: BTreeMap::new(),
        }
    }

    /// Records the floor that a witness returned. `None` and the answers of other daemons do not
    /// count.
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

    /// Returns the floor if a majority of the entire set has answered.
    ///
    /// An empty set never yields a floor, so a daemon without witnesses needs a control replica.
    pub fn floor(&self) -> Option<ConfigVersion> {
        if self.witnesses.is_empty() || self.answers.len() < majority(self.witnesses.len()) {
            return None;
        }
        self.answers.values().max().copied()
    }
}

/// Returns the size of a majority of `members`. It is zero for an empty set, so that an activation
/// without witnesses does not wait.
fn majority(members: usize) -> usize {
    if members == 0 { 0 } else { members / 2 + 1 }
}
