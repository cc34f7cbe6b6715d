//! Queued calls by tenant and the fair order between tenants.
//!
//! Each tenant has a virtual time: the slot time that it has used, divided by its weight. The next
//! slot goes to the queued tenant with the lowest virtual time, and within the tenant to the
//! lowest rank and then to the earliest place. A tenant that becomes active starts at the virtual
//! time of the latest start, so idle time earns no credit.

use std::collections::BTreeMap;

use sycamoreflow_state::ids::{Millis, TenantName};

use super::CallId;

/// A call in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) id: CallId,
    /// Rank; lower ranks start first.
    pub(super) priority: u32,
    /// Place among calls of one rank, earliest first.
    pub(super) order: Millis,
    /// Slot time in microseconds that the call is expected to need.
    pub(super) work: f64,
    /// Time after which the caller has no use for an answer.
    pub(super) deadline: Millis,
    /// Time until which the call stays in the queue.
    pub(super) expires: Millis,
}

/// Calls and used slot time of one tenant that has calls running or queued.
#[derive(Debug, Default)]
pub(super) struct Tenant {
    weight: f64,
    virtual_time: f64,
    running: usize,
    /// Ordered by rank, then by place and then by arrival.
    queue: BTreeMap<(u32, Millis, u64), QueuedCall>,
}

/// All tenants that have calls running or queued.
#[derive(Debug, Default)]
pub(super) struct Queue {
    tenants: BTreeMap<TenantName, Tenant>,
    arrivals: u64,
    queued: usize,
    /// Virtual time of the tenant of the latest start.
    system_virtual_time: f64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.queued
    }

    /// Returns the slot time in microseconds that the calls need which start before one of this
    /// rank and place.
    pub(super) fn work_before(&self, priority: u32, order: Millis) -> f64 {
        let queues = self.tenants.values().map(|t| &t.queue);
        let before = queues.flat_map(|queue| queue.range(..(priority, order, u64::MAX)));
        before.map(|(_, call)| call.work).sum()
    }

    /// Removes all calls.
    pub(super) fn clear(&mut self) -> Vec<QueuedCall> {
        self.remove_where(|_| true)
    }

    #[cfg(test)]
    pub(super) fn is_idle(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Makes sure that `tenant` is known and has `weight`.
    pub(super) fn register(&mut self, tenant: &TenantName, weight: u32) {
        let virtual_time = self.system_virtual_time;
        let entry = self
            .tenants
            .entry(tenant.clone())
            .or_insert_with(|| Tenant {
                virtual_time,
                ..Tenant::default()
            });
        entry.weight = f64::from(weight.max(1));
    }

    /// Drops `tenant` if it has no calls.
    pub(super) fn remove_if_idle(&mut self, tenant: &TenantName) {
        let idle = |t: &Tenant| t.running == 0 && t.queue.is_empty();
        if self.tenants.get(tenant).is_some_and(idle) {
            self.tenants.remove(tenant);
        }
    }

    /// Returns whether `tenant` has room in a queue of `capacity` calls, which the present tenants
    /// share by weight.
    ///
    /// A tenant may have filled the whole queue before the others became present, so `n` tenants
    /// together hold at most `capacity * (1 + 1/2 + ... + 1/n) + n` calls at equal weights.
    pub(super) fn has_room(&self, tenant: &TenantName, capacity: usize) -> bool {
        let Some(entry) = self.tenants.get(tenant) else {
            return false;
        };
        let total: f64 = self.tenants.values().map(|t| t.weight).sum();
        let share = capacity as f64 * entry.weight / total;
        entry.queue.len() < share.ceil() as usize
    }

    pub(super) fn push(&mut self, tenant: &TenantName, call: QueuedCall) {
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return;
        };
        self.arrivals += 1;
        self.queued += 1;
        entry
            .queue
            .insert((call.priority, call.order, self.arrivals), call);
    }

    /// Removes the call that starts next. `overrun` is the slot time that running calls of a
    /// tenant have used beyond what they were charged.
    pub(super) fn pop(
        &mut self,
        overrun: impl Fn(&TenantName) -> f64,
    ) -> Option<(TenantName, QueuedCall)> {
        let time = |name: &TenantName, t: &Tenant| t.virtual_time + overrun(name) / t.weight;
        let (name, _) = self
            .tenants
            .iter()
            .filter(|(_, t)| !t.queue.is_empty())
            .min_by(|(a, x), (b, y)| time(a, x).total_cmp(&time(b, y)))?;
        let name = name.clone();
        let (_, call) = self.tenants.get_mut(&name)?.queue.pop_first()?;
        self.queued -= 1;
        Some((name, call))
    }

    /// Counts a started call and charges the slot time that it is expected to use.
    pub(super) fn started(&mut self, tenant: &TenantName, charge: f64) {
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return;
        };
        self.system_virtual_time = self.system_virtual_time.max(entry.virtual_time);
        entry.running += 1;
        entry.virtual_time += charge / entry.weight;
    }

    /// Counts a finished call and corrects its charge by `difference`.
    pub(super) fn finished(&mut self, tenant: &TenantName, difference: f64) {
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return;
        };
        entry.running = entry.running.saturating_sub(1);
        entry.virtual_time += difference / entry.weight;
    }

    /// Removes a queued call and returns whether it was there.
    pub(super) fn remove(&mut self, id: CallId) -> bool {
        let removed = self.remove_where(|call| call.id == id);
        !removed.is_empty()
    }

    /// Removes the calls whose time in the queue has run out.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<QueuedCall> {
        self.remove_where(|call| call.expires <= now)
    }

    pub(super) fn contains(&self, id: CallId) -> bool {
        let mut queued = self.tenants.values().flat_map(|t| t.queue.values());
        queued.any(|call| call.id == id)
    }

    fn remove_where(&mut self, matches: impl Fn(&QueuedCall) -> bool) -> Vec<QueuedCall> {
        let mut removed = Vec::new();
        for tenant in self.tenants.values_mut() {
            tenant.queue.retain(|_, call| {
                let keep = !matches(call);
                if !keep {
                    removed.push(*call);
                }
                keep
            });
        }
        self.queued -= removed.len();
        self.tenants
            .retain(|_, t| t.running > 0 || !t.queue.is_empty());
        removed
    }
}
