//! Quotas of client accounts at the entry: requests take a permit before they are sent
//! (`docs/design/quotas.md`).

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use async_std::channel;
use async_std::future::timeout;
use futures::channel::oneshot;
use parking_lot::{Mutex, RwLock};
use sycamoreflow_coordination::quota::holder::{Permit, QuotaHolder, Take};
use sycamoreflow_coordination::quota::{AccountId, QuotaGrants, QuotaReport};
use sycamoreflow_state::ids::{Millis, TenantName};
use sycamoreflow_state::verdict::Verdict;
use sycamoreflow_state::view::View;

use super::Result;
use crate::clock;

#[cfg(test)]
mod tests;

/// Longest wait of a request for a permit. A round trip to the leader takes up to two of its ticks.
const MAX_WAIT: Millis = Millis(150);
/// Maximum number of accounts whose refusals are counted by name. Others count as `other`.
const MAX_LABELS: usize = 256;
/// Interval at which it is checked whether accounts are in use again. Their requests are reported
/// at once if they have to wait.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a refusal after which the next one of an account is logged.
const REFUSAL_LOG_INTERVAL: Millis = Millis(10_000);

/// The quotas at one daemon.
#[derive(Debug)]
pub struct Quotas {
    holder: Mutex<QuotaHolder>,
    limited: RwLock<HashMap<TenantName, AccountId>>,
    /// Requests that wait for a permit.
    waiters: Mutex<Vec<oneshot::Sender<()>>>,
    /// Wakes the subscription when a report is due sooner than it was.
    report_due: (channel::Sender<()>, channel::Receiver<()>),
    log: Mutex<Changes>,
}

/// What was logged, so that only changes are.
#[derive(Debug, Default)]
struct Changes {
    has_leases: bool,
    refused: HashMap<TenantName, Millis>,
    labels: HashSet<TenantName>,
}

/// Permission of a request to run. It has to be ended with [`Permission::end`]; if it is dropped
/// before, because the caller has gone, the request may have run.
#[derive(Debug)]
pub(super) struct Permission<'a> {
    quotas: &'a Quotas,
    granted: Option<(AccountId, Permit)>,
}

/// A request that waits for a permit. Dropping it gives up the wait.
struct Waiting<'a> {
    quotas: &'a Quotas,
    account: AccountId,
    is_over: bool,
}

impl Quotas {
    /// Creates the quotas of a daemon that has no view yet. `incarnation` must increase with every
    /// start of the daemon.
    pub fn new(incarnation: u64) -> Self {
        Self {
            holder: Mutex::new(QuotaHolder::new(incarnation)),
            limited: RwLock::default(),
            waiters: Mutex::default(),
            report_due: channel::bounded(1),
            log: Mutex::default(),
        }
    }

    /// Applies the quotas of a view.
    pub(super) fn update(&self, view: &View) {
        let limited = view.tenants().filter(|(_, tenant)| tenant.quota.is_some());
        let limited: HashMap<TenantName, AccountId> = limited
            .map(|(name, _)| (name.clone(), AccountId::of(name)))
            .collect();
        if *self.limited.read() == limited {
            return;
        }
        self.holder.lock().set_limited(limited.values().copied());
        *self.limited.write() = limited;
        // If the channel is full, a wake-up is pending already.
        let _ = self.report_due.0.try_send(());
    }

    /// Takes a permit for a request of an account, which can wait for `max_wait`.
    ///
    /// # Errors
    ///
    /// If the account has reached its limit. The error is the time after which the request may
    /// return.
    pub(super) async fn admit(
        &self,
        account: &TenantName,
        max_wait: Millis,
    ) -> std::result::Result<Permission<'_>, Millis> {
        let Some(id) = self.limited.read().get(account).copied() else {
            return Ok(Permission {
                quotas: self,
                granted: None,
            });
        };
        let max_wait = max_wait.min(MAX_WAIT);
        let take = self.holder.lock().take(clock::boot_now(), id, max_wait);
        let permit = match take {
            Take::Granted(permit) => Ok(permit),
            Take::Refused(wait) => Err(wait),
            Take::Wait => self.wait(id, max_wait).await,
        };
        match permit {
            Ok(permit) => Ok(Permission {
                quotas: self,
                granted: Some((id, permit)),
            }),
            Err(wait) => {
                self.record_refusal(account);
                Err(wait)
            }
        }
    }

    async fn wait(&self, id: AccountId, max_wait: Millis) -> std::result::Result<Permit, Millis> {
        metrics::counter!("sycamoreflow_quota_waits_total").increment(1);
        let mut waiting = Waiting {
            quotas: self,
            account: id,
            is_over: false,
        };
        if self.holder.lock().is_urgent() {
            // If the channel is full, a wake-up is pending already.
            let _ = self.report_due.0.try_send(());
        }
        let end = clock::boot_now().after(max_wait);
        loop {
            let (tx, rx) = oneshot::channel();
            self.waiters.lock().push(tx);
            let now = clock::boot_now();
            let until_token = {
                let mut holder = self.holder.lock();
                if let Some(permit) = holder.poll(now, id) {
                    waiting.is_over = true;
                    return Ok(permit);
                }
                if now >= end {
                    waiting.is_over = true;
                    return Err(holder.give_up(now, id));
                }
                holder.time_until_token(now, id)
            };
            let left = end.since(now);
            let sleep = until_token.map_or(left, |t| t.min(left)).max(Millis(1));
            let _ = timeout(clock::duration(sleep), rx).await;
        }
    }

    /// Waits until a report is due, and returns it. Never returns while no account has a limit.
    pub(crate) async fn next_report(&self) -> QuotaReport {
        loop {
            if self.limited.read().is_empty() {
                // The channel is never closed, since its sender is kept.
                let _ = self.report_due.1.recv().await;
                continue;
            }
            let due = self.holder.lock().next_report();
            let now = clock::boot_now();
            let wait = match due {
                Some(at) if at <= now => break,
                Some(at) => clock::duration(at.since(now)),
                None => IDLE_CHECK_INTERVAL,
            };
            let _ = timeout(wait, self.report_due.1.recv()).await;
        }
        self.log_leases();
        metrics::counter!("sycamoreflow_quota_reports_total").increment(1);
        self.holder.lock().report(clock::boot_now())
    }

    /// Applies an answer of the leader.
    pub(crate) fn apply(&self, grants: &QuotaGrants) {
        if !self.holder.lock().apply(clock::boot_now(), grants) {
            return;
        }
        self.log_leases();
        for waiter in self.waiters.lock().drain(..) {
            // Fails if the request has stopped waiting.
            let _ = waiter.send(());
        }
    }

    fn log_leases(&self) {
        let has_leases = self.holder.lock().has_leases(clock::boot_now());
        let mut log = self.log.lock();
        if log.has_leases != has_leases {
            log.has_leases = has_leases;
            tracing::info!(event = "quota_leases", valid = has_leases);
        }
    }

    fn record_refusal(&self, account: &TenantName) {
        let now = clock::now();
        let mut log = self.log.lock();
        let is_labelled = log.labels.len() < MAX_LABELS || log.labels.contains(account);
        let label = match is_labelled {
            true => account.as_str().to_owned(),
            false => "other".to_owned(),
        };
        if is_labelled {
            log.labels.insert(account.clone());
        }
        metrics::counter!("sycamoreflow_quota_refusals_total", "tenant" => label).increment(1);
        let last = log.refused.insert(account.clone(), now);
        if last.is_none_or(|last| now.since(last) >= REFUSAL_LOG_INTERVAL) {
            tracing::info!(event = "quota_exceeded", %account);
        }
    }
}

impl Permission<'_> {
    /// Ends a request. Its permit is returned if the request has not run.
    pub(super) fn end<T>(mut self, result: &Result<T>) {
        let Some((id, permit)) = self.granted.take() else {
            return;
        };
        let mut holder = self.quotas.holder.lock();
        match result {
            Err(failure) if failure.verdict == Verdict::NotRun => {
                holder.refund(clock::boot_now(), id, permit);
            }
            _ => holder.settle(id, permit),
        }
    }
}

impl Drop for Permission<'_> {
    fn drop(&mut self) {
        if let Some((id, permit)) = self.granted.take() {
            self.quotas.holder.lock().settle(id, permit);
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            let mut holder = self.quotas.holder.lock();
            holder.give_up(clock::boot_now(), self.account);
        }
    }
}
