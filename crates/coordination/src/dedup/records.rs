//! Table of key records with expiry.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use serde_bytes::ByteBuf;
use sycamoreflow_state::ids::Millis;

use super::{Claim, ClaimId, Key, Record, StoredResult};

/// Key records with their expiry times and the total size of the stored answers, in bytes.
#[derive(Debug, Default)]
pub(super) struct Records {
    records: BTreeMap<Key, (Record, Millis)>,
    by_expiry: BTreeSet<(Millis, Key)>,
    answer_bytes: usize,
}

impl Records {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    pub(super) fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key).map(|(record, _)| record)
    }

    /// Applies `change` to the record of `key`, creating it if needed, and sets its expiry time. A
    /// record without claims and result is removed.
    pub(super) fn update(&mut self, key: &Key, expires: Millis, change: impl FnOnce(&mut Record)) {
        let mut record = self.remove(key).unwrap_or_default();
        change(&mut record);
        if record.claims.is_empty() && record.result.is_none() {
            return;
        }
        self.answer_bytes += answer_size(&record);
        self.by_expiry.insert((expires, key.clone()));
        self.records.insert(key.clone(), (record, expires));
    }

    /// Applies `change` to the record of `key`, if there is one, and keeps its expiry time.
    pub(super) fn amend(&mut self, key: &Key, change: impl FnOnce(&mut Record)) {
        if let Some((_, expires)) = self.records.get(key) {
            self.update(key, *expires, change);
        }
    }

    /// Applies `change` to all claims and keeps the expiry times of their records.
    pub(super) fn amend_claims(&mut self, change: impl Fn(&mut Claim)) {
        let records = self.records.values_mut();
        records.flat_map(|(r, _)| &mut r.claims).for_each(change);
    }

    /// Merges a record that was copied from another holder.
    pub(super) fn merge(&mut self, now: Millis, key: &Key, copied: &Record) {
        let known = self.records.get(key).map(|(_, expires)| *expires);
        let expires = now.after(copied.remaining).max(known.unwrap_or_default());
        self.update(key, expires, |record| merge(record, copied));
    }

    pub(super) fn expire(&mut self, now: Millis) {
        while let Some((expires, key)) = self.by_expiry.first().cloned() {
            if expires > now {
                return;
            }
            self.remove(&key);
        }
    }

    /// Returns the records after the key `after`, and whether more records follow. A page has up to
    /// `max_records` records and `max_bytes` bytes of answers, but at least one record.
    pub(super) fn page(
        &self,
        now: Millis,
        after: Option<&Key>,
        max_records: usize,
        max_bytes: usize,
    ) -> (Vec<(Key, Record)>, bool) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page = Vec::new();
        let mut bytes = 0;
        for (key, (record, expires)) in self.records.range((start, Bound::Unbounded)) {
            bytes += answer_size(record);
            let full = page.len() == max_records || bytes > max_bytes;
            if full && !page.is_empty() {
                return (page, true);
            }
            let record = Record {
                remaining: expires.since(now),
                ..record.clone()
            };
            page.push((key.clone(), record));
        }
        (page, false)
    }

    fn remove(&mut self, key: &Key) -> Option<Record> {
        let (record, expires) = self.records.remove(key)?;
        self.by_expiry.remove(&(expires, key.clone()));
        self.answer_bytes -= answer_size(&record);
        Some(record)
    }
}

impl Record {
    /// Removes the claims of the send of `id` up to and including its round.
    pub(super) fn withdraw(&mut self, id: &ClaimId) {
        let withdrawn = |c: &Claim| c.id.send == id.send && c.id.round <= id.round;
        self.claims.retain(|claim| !withdrawn(claim));
    }

    /// Replaces all claims by the result. Only the send that ran can have had a majority.
    pub(super) fn finish(&mut self, result: StoredResult) {
        self.claims.clear();
        // A result without an answer never replaces one with an answer.
        if self.result.as_ref().is_none_or(|r| r.answer.is_none()) {
            self.result = Some(result);
        }
    }
}

fn merge(record: &mut Record, copied: &Record) {
    if let Some(result) = &copied.result {
        record.finish(result.clone());
    }
    if record.result.is_some() {
        return;
    }
    for claim in &copied.claims {
        match record.claims.iter_mut().find(|c| c.id == claim.id) {
            Some(known) => known.abandoned |= claim.abandoned,
            None => record.claims.push(claim.clone()),
        }
    }
}

fn answer_size(record: &Record) -> usize {
    let answer = record.result.as_ref().and_then(|r| r.answer.as_ref());
    answer.map_or(0, |answer: &ByteBuf| answer.len())
}
