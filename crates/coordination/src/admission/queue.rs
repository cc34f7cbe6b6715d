//! The queue of calls, with weighted fair queueing between tenants.
//!
//! Each tenant has a virtual time: the slot time that it has used, divided by its weight. The next
//! slot goes to the most urgent priority with queued calls, among its tenants to the one with the
//! lowest virtual time, and within the tenant to the call with the earliest order. A tenant that
//! becomes active starts at the system virtual time, so that it gains no credit while it is idle.
//!
//! Calls that would be late even if they started now are moved behind all others of their priority,
//! so that they are served only from slots that are left.

use std::collections::BTreeMap;

use sycamoreflow_state::ids::{Millis, RouteName, TenantName};

use super::CallId;

/// Position of a call in the queue of its tenant: its priority, whether it can only be late, its
/// order and its arrival.
type Position = (u32, bool, Millis, u64);

/// A call in the queue.
#[derive(Clone, Debug)]
pub(super) struct QueuedCall {
    pub(super) id: CallId,
    pub(super) tenant: TenantName,
    /// Route of the call if it was offered with an urgency.
    pub(super) route: Option<RouteName>,
    /// Priority; calls with a lower value start first.
    pub(super) priority: u32,
    /// Order among calls of one priority, earliest first.
    pub(super) order: Millis,
    /// Expected slot time of the call in microseconds at the usual pace of the host.
    pub(super) work: f64,
    /// Time after which an answer is late.
    pub(super) due: Millis,
    /// Value of a late answer relative to one in time.
    pub(super) late_value: f64,
    /// Time after which the caller has no use for an answer.
    pub(super) deadline: Millis,
    /// When the call is removed from the queue if it has not started.
    pub(super) expires: Millis,
}

/// Calls and virtual time of a tenant that has running or queued calls.
#[derive(Debug, Default)]
pub(super) struct Tenant {
    weight: f64,
    virtual_time: f64,
    running: usize,
    queue: BTreeMap<Position, QueuedCall>,
}

/// All tenants that have running or queued calls.
#[derive(Debug, Default)]
pub(super) struct Queue {
    tenants: BTreeMap<TenantName, Tenant>,
    arrivals: u64,
    queued: usize,
    /// Highest virtual time of a tenant at the start of one of its calls.
    system_virtual_time: f64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.queued
    }

    /// Returns the expected slot time in microseconds of all queued calls that precede a new call
    /// with this priority and order.
    pub(super) fn work_before(&self, priority: u32, order: Millis) -> f64 {
        let queues = self.tenants.values().map(|t| &t.queue);
        let before = queues.flat_map(|queue| queue.range(..(priority, false, order, u64::MAX)));
        before.map(|(_, call)| call.work).sum()
    }

    /// Removes all queued calls and returns them.
    pub(super) fn clear(&mut self) -> Vec<QueuedCall> {
        self.remove_where(|_| true)
    }

    #[cfg(test)]
    pub(super) fn is_idle(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Adds `tenant` if it is unknown and sets its weight.
    pub(super) fn register(&mut self, tenant: &TenantName, weight: u32) {
        let initial = self.system_virtual_time;
        let entry = self
            .tenants
            .entry(tenant.clone())
            .or_insert_with(|| Tenant {
                virtual_time: initial,
                ..Tenant::default()
            });
        entry.weight = f64::from(weight.max(1));
    }

    /// Removes `tenant` if it has no running or queued calls.
    pub(super) fn remove_if_idle(&mut self, tenant: &TenantName) {
        let idle = |t: &Tenant| t.running == 0 && t.queue.is_empty();
        if self.tenants.get(tenant).is_some_and(idle) {
            self.tenants.remove(tenant);
        }
    }

    /// Returns whether `tenant` may add a call to a queue of `capacity` calls, which the active
    /// tenants share by weight.
    ///
    /// A tenant may have filled the whole queue before the others became active, so `n` tenants
    /// together have at most `capacity * (1 + 1/2 + ... + 1/n) + n` queued calls at equal weights.
    pub(super) fn may_queue(&self, tenant: &TenantName, capacity: usize) -> bool {
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
            .insert((call.priority, false, call.order, self.arrivals), call);
    }

    /// Removes and returns the call that starts next, or `None` if no call is queued. `overrun`
    /// returns the slot time in microseconds that the running calls of a tenant have used beyond
    /// their charges.
    pub(super) fn pop(
        &mut self,
        overrun: impl Fn(&TenantName) -> f64,
    ) -> Option<(TenantName, QueuedCall)> {
        let time = |name: &TenantName, t: &Tenant| t.virtual_time + overrun(name) / t.weight;
        let priority = |t: &Tenant| t.queue.first_key_value().map(|((p, ..), _)| *p);
        let most_urgent = self.tenants.values().filter_map(priority).min()?;
        let (name, _) = self
            .tenants
            .iter()
            .filter(|(_, t)| priority(t) == Some(most_urgent))
            .min_by(|(a, x), (b, y)| time(a, x).total_cmp(&time(b, y)))?;
        let name = name.clone();
        let (_, call) = self.tenants.get_mut(&name)?.queue.pop_first()?;
        self.queued -= 1;
        Some((name, call))
    }

    /// Records the start of a call and charges its expected slot time in microseconds.
    pub(super) fn started(&mut self, tenant: &TenantName, charge: f64) {
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return;
        };
        self.system_virtual_time = self.system_virtual_time.max(entry.virtual_time);
        entry.running += 1;
        entry.virtual_time += charge / entry.weight;
    }

    /// Records the end of a call and corrects its charge by `difference` microseconds.
    pub(super) fn finished(&mut self, tenant: &TenantName, difference: f64) {
        let Some(entry) = self.tenants.get_mut(tenant) else {
            return;
        };
        entry.running = entry.running.saturating_sub(1);
        entry.virtual_time += difference / entry.weight;
    }

    /// Removes a call and returns whether it was queued.
    pub(super) fn remove(&mut self, id: CallId) -> bool {
        let removed = self.remove_where(|call| call.id == id);
        !removed.is_empty()
    }

    /// Moves the calls that would be late even if they started now behind all others of their
    /// priority. `service` returns the expected service time of a call.
    pub(super) fn defer_late(&mut self, now: Millis, service: impl Fn(&QueuedCall) -> Millis) {
        for tenant in self.tenants.values_mut() {
            let is_late = |(position, call): &(&Position, &QueuedCall)| {
                call.route.is_some() && !position.1 && now.after(service(call)) > call.due
            };
            let late = tenant.queue.iter().filter(is_late);
            let late: Vec<Position> = late.map(|(position, _)| *position).collect();
            for position in late {
                let Some(call) = tenant.queue.remove(&position) else {
                    continue;
                };
                let (priority, _, order, arrival) = position;
                tenant.queue.insert((priority, true, order, arrival), call);
            }
        }
    }

    /// Returns the queued calls in the order in which they start, without regard to shares.
    pub(super) fn in_order(&self) -> Vec<&QueuedCall> {
        let mut calls: Vec<_> = self.tenants.values().flat_map(|t| &t.queue).collect();
        calls.sort_by_key(|(position, _)| **position);
        calls.into_iter().map(|(_, call)| call).collect()
    }

    /// Removes and returns the calls with these identifiers.
    pub(super) fn remove_all(&mut self, ids: &[CallId]) -> Vec<QueuedCall> {
        self.remove_where(|call| ids.contains(&call.id))
    }

    /// Makes the calls leave the queue unless they are expected to end before `end`. `service`
    /// returns the expected service time of a call.
    pub(super) fn bound(&mut self, end: Millis, service: impl Fn(&QueuedCall) -> Millis) {
        for tenant in self.tenants.values_mut() {
            for call in tenant.queue.values_mut() {
                call.expires = call
                    .expires
                    .min(Millis(end.0.saturating_sub(service(call).0)));
            }
        }
    }

    /// Removes and returns the calls whose time in the queue has expired.
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
                    removed.push(call.clone());
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
