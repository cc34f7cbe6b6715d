//! The event queue of a replica.
//!
//! It has two bounded lanes. Raft messages, reads and changes of operators never wait behind the
//! soft state that subscribers report, however much of it arrives (`docs/design/control-queues.md`).

use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use super::Event;

#[cfg(test)]
mod tests;

/// Maximum number of events that are handled before committed entries are applied.
const MAX_EVENTS_PER_SLICE: usize = 64;

/// Part of a slice that is left to soft state while other events are queued.
const SOFT_EVENTS_PER_SLICE: usize = 16;

/// Maximum number of queued events with soft state. The oldest gives way, since daemons repeat what
/// they report (`docs/CAPACITY.md`).
const MAX_SOFT_EVENTS: usize = 16_384;

/// Creates an event queue.
pub fn event_queue() -> (EventSender, EventReceiver) {
    let (control, control_rx) = crossbeam_channel::unbounded();
    // A bounded channel would allocate the space for all events in advance.
    let (soft, soft_rx) = crossbeam_channel::unbounded();
    let sender = EventSender {
        control,
        soft,
        oldest_soft: soft_rx.clone(),
    };
    let receiver = EventReceiver {
        control: control_rx,
        soft: soft_rx,
    };
    (sender, receiver)
}

/// Sending half of an event queue.
#[derive(Clone, Debug)]
pub struct EventSender {
    control: Sender<Event>,
    soft: Sender<Event>,
    oldest_soft: Receiver<Event>,
}

/// Receiving half of an event queue.
#[derive(Debug)]
pub struct EventReceiver {
    control: Receiver<Event>,
    soft: Receiver<Event>,
}

impl EventSender {
    /// Queues an event. Returns `false` if the replica has stopped.
    pub fn send(&self, event: Event) -> bool {
        if !event.is_soft() {
            return self.control.send(event).is_ok();
        }
        if self.soft.len() >= MAX_SOFT_EVENTS && self.oldest_soft.try_recv().is_ok() {
            metrics::counter!("sycamoreflow_replica_events_dropped_total").increment(1);
        }
        self.soft.send(event).is_ok()
    }
}

impl EventReceiver {
    /// Waits up to `wait` for an event, and returns it with those queued behind it that are handled
    /// before committed entries are applied. Returns an empty batch after a timeout.
    ///
    /// # Errors
    ///
    /// If all senders were dropped.
    pub fn next_batch(&self, wait: Duration) -> Result<Vec<Event>, RecvTimeoutError> {
        let mut batch = Vec::new();
        match self.recv_timeout(wait) {
            Ok(event) => batch.push(event),
            Err(RecvTimeoutError::Timeout) => return Ok(batch),
            Err(error) => return Err(error),
        }
        let control = MAX_EVENTS_PER_SLICE - SOFT_EVENTS_PER_SLICE;
        batch.extend(self.control.try_iter().take(control - 1));
        let left = MAX_EVENTS_PER_SLICE - batch.len();
        batch.extend(self.soft.try_iter().take(left));
        Ok(batch)
    }

    /// Waits up to `timeout` for an event.
    ///
    /// # Errors
    ///
    /// If there was none, or all senders were dropped.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<Event, RecvTimeoutError> {
        crossbeam_channel::select_biased! {
            recv(self.control) -> event => event.map_err(|_| RecvTimeoutError::Disconnected),
            recv(self.soft) -> event => event.map_err(|_| RecvTimeoutError::Disconnected),
            default(timeout) => Err(RecvTimeoutError::Timeout),
        }
    }

    /// Returns whether more events are queued than are handled at a time.
    pub(super) fn has_backlog(&self) -> bool {
        self.control.len() + self.soft.len() > MAX_EVENTS_PER_SLICE
    }
}

impl Event {
    /// Returns whether the event only carries state that its sender repeats.
    fn is_soft(&self) -> bool {
        match self {
            Self::Forwarded { .. } | Self::Grants(_) | Self::QuotaGrants(_) => true,
            Self::Raft { .. }
            | Self::ConfirmVersion(_)
            | Self::Propose(..)
            | Self::Replace(..)
            | Self::SetContacts(_)
            | Self::ChangeMembers(..)
            | Self::Read(_)
            | Self::TransferLeadership
            | Self::Stop => false,
        }
    }
}
