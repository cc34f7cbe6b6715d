//! Reads the bodies of responses, within a limit for each and one for all of them together.
//!
//! A faulty upstream may answer every request with a body without end. Each such response ends at
//! the limit for a single body, but with many requests in flight their sum would exceed the memory
//! of a small host, and the requests of all other callers on it would end with the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sycamoreflow_state::verdict::Reason;

use super::connection::failure_reason;

/// Part of a body that does not count towards the common limit, in bytes, so that large bodies do
/// not make small ones fail.
const FREE_BYTES: usize = 32 * 1024;

/// Common limit on the bodies that are being read. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct BodyBudget {
    used: Arc<AtomicUsize>,
    max: usize,
}

/// Bytes of one body that are taken from a budget. Dropping it returns them.
struct Reservation<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    pub(super) fn new(max: usize) -> Self {
        Self {
            used: Arc::default(),
            max,
        }
    }

    /// Returns the bytes that are taken at present.
    pub(super) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= self.max);
        let ordering = Ordering::Relaxed;
        self.used.fetch_update(ordering, ordering, add).is_ok()
    }
}

impl Reservation<'_> {
    /// Extends the reservation to the memory of a body. Returns `false` if the budget is exhausted.
    fn extend_to(&mut self, capacity: usize) -> bool {
        let needed = capacity.saturating_sub(FREE_BYTES);
        let missing = needed.saturating_sub(self.bytes);
        if missing > 0 && !self.budget.take(missing) {
            return false;
        }
        self.bytes += missing;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body of at most `max_bytes`. A body in a single frame is not copied.
///
/// # Errors
///
/// [`Reason::BadAnswer`] if the body is larger, or does not fit into the budget, and the reason of
/// the connection if that fails.
pub(super) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<Bytes, Reason> {
    let expected = body.size_hint().lower();
    if expected > max_bytes as u64 {
        return Err(Reason::BadAnswer);
    }
    let mut reservation = Reservation { budget, bytes: 0 };
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| failure_reason(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = first.len() + whole.len() + data.len();
        // A buffer that grows takes up to twice the length of its content.
        let capacity = match expected {
            0 => 2 * length,
            expected => expected as usize,
        };
        if length > max_bytes || !reservation.extend_to(capacity) {
            return Err(Reason::BadAnswer);
        }
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        if whole.is_empty() {
            whole.reserve((expected as usize).max(length));
            whole.extend_from_slice(&first);
            first = Bytes::new();
        }
        whole.extend_from_slice(&data);
    }
    match whole.is_empty() {
        true => Ok(first),
        false => Ok(whole.freeze()),
    }
}
