//! State of a key holder: claims, stored answers, and the copy of records after a restart.

use std::collections::{BTreeMap, BTreeSet};

use serde_bytes::ByteBuf;
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::records::Records;
use super::{
    Claim, ClaimId, ClaimReply, CopyPage, CopyRequest, Grant, Group, Key, KeyReply, KeyRequest,
    SendId, StoredResult,
};
use crate::fingerprint::Fingerprint;

/// Maximum number of records in one page of a copy. Claims and keys are short, so a page stays far
/// below the frame limit of 4 MiB.
const PAGE_RECORDS: usize = 1_000;
/// Maximum size of the answers in one page of a copy, in bytes. A page with a single answer may
/// exceed it.
const PAGE_BYTES: usize = 1 << 20;

/// Settings of a [`KeyHolder`].
#[derive(Clone, Copy, Debug)]
pub struct HolderConfig {
    /// Time for which a record is kept after it was last claimed or completed. It must be far
    /// longer than the longest deadline of a request.
    pub retention: Millis,
    /// Maximum number of records. Beyond it, new keys are refused.
    pub max_records: usize,
    /// Maximum total size of the stored answers, in bytes. Beyond it, results are stored without
    /// their answers and new keys are refused.
    pub max_answer_bytes: usize,
}

impl Default for HolderConfig {
    /// Allows for two services at the target scale: if 1% of 1.6 million calls/s carry keys, each
    /// service accumulates 11,000 records per retention period.
    fn default() -> Self {
        Self {
            retention: Millis(600_000),
            max_records: 22_000,
            max_answer_bytes: 8 << 20,
        }
    }
}

/// Key records of one service at one holder.
#[derive(Debug)]
pub struct KeyHolder {
    me: DaemonId,
    boot: u64,
    group: Group,
    /// Epoch of the claims that are granted. It is later than that of `group` after a copy request
    /// with a later epoch.
    epoch: u64,
    cfg: HolderConfig,
    records: Records,
    /// Latest known incarnations of other holders.
    known: BTreeMap<DaemonId, u64>,
    /// Latest known incarnations of the entry daemons that have claimed keys.
    claimers: BTreeMap<DaemonId, u64>,
    copying: Option<CopyProgress>,
}

/// Progress of copying the records from the other holders.
#[derive(Debug)]
struct CopyProgress {
    since: Millis,
    /// Holders whose records are not yet copied completely, with the last key copied from each.
    missing: BTreeMap<DaemonId, Option<Key>>,
}

impl KeyHolder {
    /// Creates a holder that is ready at once, in the first group of a service, whose creation this
    /// process has observed. In all other cases use [`KeyHolder::without_records`].
    ///
    /// `boot` is the incarnation of this process. It must be higher than that of any earlier
    /// process of the same daemon; the wall clock time at startup is suitable.
    pub fn first_group(me: DaemonId, boot: u64, group: Group, cfg: HolderConfig) -> Self {
        Self {
            me,
            boot,
            epoch: group.epoch,
            group,
            cfg,
            records: Records::default(),
            known: BTreeMap::new(),
            claimers: BTreeMap::new(),
            copying: None,
        }
    }

    /// Creates a holder after a restart of its process, or one that joins an existing group. It
    /// grants nothing until it has copied the records of the other holders.
    pub fn without_records(
        now: Millis,
        me: DaemonId,
        boot: u64,
        group: Group,
        cfg: HolderConfig,
    ) -> Self {
        let mut holder = Self::first_group(me, boot, group, cfg);
        holder.copying = Some(holder.new_copy(now));
        holder
    }

    /// Returns whether the holder has all records and grants claims. The leader must not replace
    /// another holder of the group before that.
    pub fn is_ready(&self) -> bool {
        self.copying.is_none() && self.is_member()
    }

    fn is_member(&self) -> bool {
        self.group.holders.contains(&self.me)
    }

    /// Returns the epoch of the claims that the holder grants.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a change of the group. A group whose epoch is not later than the known one is
    /// ignored.
    ///
    /// A holder that was not a member of every epoch in between may lack records of that time, so
    /// it copies them before it grants claims again.
    pub fn set_group(&mut self, now: Millis, group: Group) {
        if group.epoch <= self.group.epoch {
            return;
        }
        // A copy request of the epoch in between shows that this holder was a member of it.
        let skipped = group.epoch > self.epoch + 1;
        let needs_copy = skipped || !self.is_member();
        self.epoch = self.epoch.max(group.epoch);
        self.group = group;
        let since = self.copying.as_ref().map(|c| c.since);
        if needs_copy {
            self.copying = Some(self.new_copy(now));
        } else if let Some(since) = since {
            self.copying = Some(self.new_copy(since));
        }
    }

    /// Handles a message from an entry daemon or another holder and returns the reply.
    pub fn handle(&mut self, now: Millis, request: &KeyRequest) -> KeyReply {
        self.tick(now);
        let expires = now.after(self.cfg.retention);
        match request {
            KeyRequest::Claim {
                key,
                claim,
                fingerprint,
                epoch,
            } => {
                let reply = self.claim(now, key, claim, *fingerprint, *epoch);
                KeyReply::Claim(claim.clone(), reply)
            }
            KeyRequest::Complete {
                key,
                claim,
                fingerprint,
                answer,
            } => {
                let result = StoredResult {
                    fingerprint: *fingerprint,
                    answer: self.can_store(answer).then(|| answer.clone()),
                };
                self.records.update(key, expires, |r| r.finish(result));
                KeyReply::Stored(claim.clone())
            }
            KeyRequest::Release { key, claim } => {
                self.records.amend(key, |record| record.withdraw(claim));
                KeyReply::Done(claim.clone())
            }
            KeyRequest::Abandon { key, claim } => {
                self.records.amend(key, |record| {
                    let own = |c: &&mut Claim| c.id.send == claim.send;
                    let claims = record.claims.iter_mut().filter(own);
                    claims.for_each(|c| c.abandoned = true);
                });
                KeyReply::Done(claim.clone())
            }
            KeyRequest::Copy(copy) => self.answer_copy(now, copy),
        }
    }

    /// Records that an entry daemon was lost, so that resends of its requests do not wait for its
    /// answers.
    ///
    /// This is safe even if the daemon is still running: its claims still exclude others, and its
    /// answers are still stored.
    pub fn claimer_lost(&mut self, daemon: &DaemonId) {
        self.records.amend_claims(|claim| {
            claim.abandoned |= claim.id.send.daemon == *daemon;
        });
    }

    /// Removes expired records. A holder that is still copying becomes ready once the retention
    /// period has passed, as all records that it lacks have expired by then.
    pub fn tick(&mut self, now: Millis) {
        self.records.expire(now);
        let expired = |c: &CopyProgress| now.since(c.since) >= self.cfg.retention;
        if self.copying.as_ref().is_some_and(expired) {
            self.copying = None;
        }
    }

    /// Returns the copy requests to send. Call it repeatedly until the holder is ready.
    pub fn copy_requests(&self) -> Vec<(DaemonId, KeyRequest)> {
        let Some(copying) = self.copying.as_ref().filter(|_| self.is_member()) else {
            return Vec::new();
        };
        let missing = copying.missing.iter();
        missing
            .map(|(id, after)| (id.clone(), self.copy_request(after)))
            .collect()
    }

    /// Merges a page of records from the holder `from` and returns the request for the next page,
    /// if there is one. Pages of another epoch and pages out of order are ignored.
    pub fn apply_copy_page(
        &mut self,
        now: Millis,
        from: &DaemonId,
        page: &CopyPage,
    ) -> Option<KeyRequest> {
        let copying = self.copying.as_mut()?;
        let position = copying.missing.get_mut(from)?;
        if page.epoch != self.group.epoch || page.after != *position {
            return None;
        }
        for (key, record) in &page.records {
            self.records.merge(now, key, record);
        }
        for (holder, boot) in &page.known {
            record_incarnation(&mut self.known, holder, *boot);
        }
        record_incarnation(&mut self.known, from, page.boot);
        if page.more {
            *position = page.records.last().map(|(key, _)| key.clone());
            let after = position.clone();
            return Some(self.copy_request(&after));
        }
        copying.missing.remove(from);
        if copying.missing.is_empty() {
            self.copying = None;
        }
        None
    }

    fn claim(
        &mut self,
        now: Millis,
        key: &Key,
        id: &ClaimId,
        fingerprint: Fingerprint,
        epoch: u64,
    ) -> ClaimReply {
        if epoch != self.epoch {
            return ClaimReply::OtherEpoch(self.epoch);
        }
        self.abandon_earlier_boots(&id.send);
        if let Some(reply) = self.conflict(key, id, fingerprint) {
            return reply;
        }
        if !self.is_ready() {
            return ClaimReply::NotReady;
        }
        let new = self.records.get(key).is_none();
        if new && self.is_full() {
            return ClaimReply::Full;
        }
        let expires = now.after(self.cfg.retention);
        self.records.update(key, expires, |record| {
            record.withdraw(id);
            record.claims.push(Claim {
                id: id.clone(),
                fingerprint,
                abandoned: false,
            });
        });
        ClaimReply::Granted(Grant {
            boot: self.boot,
            known: self.known.clone(),
        })
    }

    /// Returns the reply to a claim that the record of `key` excludes, or `None` if it does not
    /// exclude it.
    fn conflict(&self, key: &Key, id: &ClaimId, fingerprint: Fingerprint) -> Option<ClaimReply> {
        let record = self.records.get(key)?;
        if let Some(result) = &record.result {
            let same = result.fingerprint == fingerprint;
            let finished = || ClaimReply::Finished(result.answer.clone());
            return Some(if same {
                finished()
            } else {
                ClaimReply::OtherRequest
            });
        }
        // A later round of the same send shows that this message was delayed or duplicated.
        let excludes = |c: &&Claim| c.id.send != id.send || c.id.round > id.round;
        let others: Vec<&Claim> = record.claims.iter().filter(excludes).collect();
        if others.is_empty() {
            return None;
        }
        // A claim for the same request takes precedence, since that request may have run.
        let same: Vec<&&Claim> = others
            .iter()
            .filter(|c| c.fingerprint == fingerprint)
            .collect();
        if same.is_empty() {
            return Some(ClaimReply::OtherRequest);
        }
        let unresolved = same.iter().all(|c| c.abandoned);
        Some(if unresolved {
            ClaimReply::Unresolved
        } else {
            ClaimReply::Running
        })
    }

    /// Marks the claims that the daemon made in earlier incarnations as abandoned.
    fn abandon_earlier_boots(&mut self, send: &SendId) {
        let known = self.claimers.insert(send.daemon.clone(), send.boot);
        match known {
            Some(boot) if boot == send.boot => return,
            // A delayed message of an earlier incarnation.
            Some(boot) if boot > send.boot => {
                self.claimers.insert(send.daemon.clone(), boot);
                return;
            }
            _ => {}
        }
        let earlier = |s: &SendId| s.daemon == send.daemon && s.boot < send.boot;
        self.records
            .amend_claims(|claim| claim.abandoned |= earlier(&claim.id.send));
    }

    fn answer_copy(&mut self, now: Millis, request: &CopyRequest) -> KeyReply {
        if request.epoch < self.epoch {
            return KeyReply::CannotCopy;
        }
        // Claims of older epochs must be refused from now on, before records are read.
        self.epoch = request.epoch;
        record_incarnation(&mut self.known, &request.holder, request.boot);
        if !self.is_ready() {
            return KeyReply::CannotCopy;
        }
        let after = request.after.as_ref();
        let (records, more) = self.records.page(now, after, PAGE_RECORDS, PAGE_BYTES);
        KeyReply::Page(CopyPage {
            epoch: self.epoch,
            boot: self.boot,
            known: self.known.clone(),
            after: request.after.clone(),
            records,
            more,
        })
    }

    fn copy_request(&self, after: &Option<Key>) -> KeyRequest {
        KeyRequest::Copy(CopyRequest {
            epoch: self.group.epoch,
            holder: self.me.clone(),
            boot: self.boot,
            after: after.clone(),
        })
    }

    fn new_copy(&self, since: Millis) -> CopyProgress {
        let others: BTreeSet<&DaemonId> = self.group.holders.iter().collect();
        let others = others.into_iter().filter(|id| **id != self.me);
        CopyProgress {
            since,
            missing: others.map(|id| (id.clone(), None)).collect(),
        }
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.cfg.max_records
            || self.records.answer_bytes() >= self.cfg.max_answer_bytes
    }

    fn can_store(&self, answer: &ByteBuf) -> bool {
        self.records.answer_bytes() + answer.len() <= self.cfg.max_answer_bytes
    }
}

fn record_incarnation(known: &mut BTreeMap<DaemonId, u64>, holder: &DaemonId, boot: u64) {
    let entry = known.entry(holder.clone()).or_default();
    *entry = boot.max(*entry);
}
