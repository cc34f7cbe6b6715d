//! The lease under which this daemon honours the keys of client accounts.
//!
//! [`KeyLease`] decides; this module adds the clock, the log and the metrics. Requests read only the
//! end of the lease, without a lock.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sycamoreflow_coordination::key_lease::KeyLease;
use sycamoreflow_state::ids::{ConfigVersion, Millis};

use crate::clock;

/// The key lease of a daemon, or a stand-in that is always valid if the settings ask for none.
pub struct HeldLease {
    lease: Option<Mutex<KeyLease>>,
    /// End of the lease on the clock of [`clock::boot_now`].
    valid_until: AtomicU64,
    /// Since when there is no lease, or `None` while there is one.
    lapsed_since: Mutex<Option<Millis>>,
}

impl HeldLease {
    /// Creates the lease of a daemon that has none yet. `bound` is the time after which a key that
    /// was taken away is refused everywhere. With zero, keys need no lease.
    pub fn new(bound: Millis) -> Self {
        let is_used = bound > Millis(0);
        Self {
            lease: is_used.then(|| Mutex::new(KeyLease::new(bound))),
            valid_until: AtomicU64::new(if is_used { 0 } else { u64::MAX }),
            lapsed_since: Mutex::new(is_used.then(clock::boot_now)),
        }
    }

    /// Returns whether the daemon may honour keys now.
    ///
    /// A request must call this before it loads the view: an answer extends the lease only after its
    /// view is active, so a view that is loaded later is at least as new as the lease requires.
    pub fn is_valid(&self) -> bool {
        let valid_until = self.valid_until.load(Ordering::SeqCst);
        valid_until == u64::MAX || clock::boot_now().0 < valid_until
    }

    /// Returns the number of a question that is about to be sent, or `None` if keys need no lease.
    pub fn ask(&self) -> Option<u64> {
        let lease = self.lease.as_ref()?;
        Some(lease.lock().ask(clock::boot_now()))
    }

    /// Returns the time between two questions, or `None` if keys need no lease.
    pub fn question_interval(&self) -> Option<Millis> {
        let lease = self.lease.as_ref()?;
        Some(lease.lock().question_interval())
    }

    /// Processes the answer to a question, see [`KeyLease::answered`].
    pub fn answered(&self, number: u64, newest: ConfigVersion, in_force: Option<ConfigVersion>) {
        self.update(|lease| lease.answered(number, newest, in_force));
    }

    /// Processes the activation of a view. To be called after requests are served with it.
    pub fn activated(&self, in_force: ConfigVersion) {
        self.update(|lease| lease.activated(in_force));
    }

    fn update(&self, change: impl FnOnce(&mut KeyLease)) {
        let Some(lease) = &self.lease else { return };
        let mut lease = lease.lock();
        change(&mut lease);
        self.valid_until
            .store(lease.valid_until().0, Ordering::SeqCst);
        drop(lease);
        self.check();
    }

    /// Returns the delay after which a caller that is refused for want of a lease may retry.
    pub fn retry_after(&self) -> Option<Millis> {
        let lease = self.lease.as_ref()?;
        Some(lease.lock().retry_after(clock::boot_now()))
    }

    /// Logs that the lease has ended or is held again. To be called periodically.
    pub fn check(&self) {
        let Some(lease) = &self.lease else { return };
        let now = clock::boot_now();
        let is_valid = self.is_valid();
        let mut lapsed_since = self.lapsed_since.lock();
        match (*lapsed_since, is_valid) {
            (Some(since), true) => {
                *lapsed_since = None;
                tracing::info!(
                    event = "key_lease",
                    held = true,
                    lapsed_ms = now.since(since).0
                );
            }
            (None, false) => {
                let ended = Millis(self.valid_until.load(Ordering::SeqCst));
                *lapsed_since = Some(ended);
                metrics::counter!("sycamoreflow_key_lease_lapses_total").increment(1);
                let cause = lease.lock().lapse(now);
                tracing::warn!(
                    event = "key_lease",
                    held = false,
                    ?cause,
                    ended_ms_ago = now.since(ended).0
                );
            }
            _ => {}
        }
    }
}
