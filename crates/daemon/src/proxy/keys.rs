//! Runs requests with an idempotency key at most once, and holds key records for other daemons.
//!
//! The protocol logic is in [`sycamoreflow_coordination::dedup`]. This module exchanges its
//! messages and applies the holder groups of the active view (`docs/design.md`, section 2.5).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::channel;
use async_std::future::timeout;
use async_std::task;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Fuse;
use parking_lot::Mutex;
use sycamoreflow_coordination::dedup::{
    Action, Group, HolderConfig, Key, KeyClaim, KeyHolder, KeyReply, KeyRequest, SendId,
};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_protocol::call::Answer;
use sycamoreflow_protocol::codec;
use sycamoreflow_protocol::handshake::{Identity, Purpose};
use sycamoreflow_protocol::keys::{HolderReply, HolderRequest};
use sycamoreflow_state::ids::{DaemonId, Millis, ServiceName};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};
use sycamoreflow_state::view::View;
use sycamoreflow_transport::link;

use crate::clock;
use crate::rpc::RpcClient;
use crate::traffic::Traffic;

#[cfg(test)]
mod tests;

/// Interval at which a claim checks its timeouts.
const CLAIM_TICK: Duration = Duration::from_millis(5);

/// Maximum time to wait for the reply of a holder to one message.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a keyed request: an answer, or a failure with its verdict.
pub type Result<T> = std::result::Result<T, Failure>;

/// Client for the messages to one holder.
type HolderClient = RpcClient<HolderRequest, HolderReply>;

/// Idempotency keys of this daemon: the records that it holds for services, and the claims of its
/// own requests.
#[derive(Debug)]
pub struct Keys {
    identity: Identity,
    limits: link::Limits,
    traffic: Arc<Traffic>,
    incarnation: u64,
    retention: HolderConfig,
    next_send: AtomicU64,
    groups: Mutex<HashMap<ServiceName, Group>>,
    holders: Mutex<HashMap<ServiceName, KeyHolder>>,
    clients: Mutex<BTreeMap<DaemonId, (SocketAddr, Arc<HolderClient>)>>,
}

/// Identity and deadline of a request that must run at most once.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// Idempotency key with its scope.
    pub key: Key,
    /// Fingerprint of the content. A resend with the same key must have the same fingerprint.
    pub fingerprint: Fingerprint,
    /// Deadline of the caller, as a time of [`clock::now`].
    pub deadline: Millis,
}

impl Keys {
    /// Creates the state without groups and records. `incarnation` increases with every start of
    /// the daemon, and `retention` bounds the age and the number of records held.
    pub fn new(
        identity: Identity,
        limits: link::Limits,
        traffic: Arc<Traffic>,
        incarnation: u64,
        retention: HolderConfig,
    ) -> Self {
        Self {
            identity,
            limits,
            traffic,
            incarnation,
            retention,
            next_send: AtomicU64::new(1),
            groups: Mutex::default(),
            holders: Mutex::default(),
            clients: Mutex::default(),
        }
    }

    /// Applies the holder groups of `view`, which replaces the active view `before`.
    pub fn update(&self, before: Option<&View>, view: &View) {
        let mut groups = HashMap::new();
        for (service, _) in view.services() {
            let Some(holders) = view.key_holders(service) else {
                continue;
            };
            for holder in &holders.daemons {
                self.update_client(&holder.daemon, holder.address);
            }
            let ids = holders.daemons.iter().map(|holder| holder.daemon.clone());
            let group = Group {
                epoch: holders.epoch,
                holders: ids.collect(),
            };
            groups.insert(service.clone(), group);
        }
        self.update_holders(before, view, &groups);
        *self.groups.lock() = groups;
    }

    /// Handles a message to a holder on this daemon. Replies [`HolderReply::NotHolder`] if this
    /// daemon holds no keys of the service.
    pub fn handle(&self, message: &HolderRequest) -> HolderReply {
        let mut holders = self.holders.lock();
        match holders.get_mut(&message.service) {
            Some(holder) => HolderReply::Reply(holder.handle(clock::now(), &message.request)),
            None => HolderReply::NotHolder,
        }
    }

    /// Expires old records, and copies records that holders on this daemon lack, one page from each
    /// other holder per call. Call it repeatedly.
    pub async fn copy_missing(&self) {
        let mut requests = Vec::new();
        for (service, holder) in self.holders.lock().iter_mut() {
            holder.tick(clock::now());
            let missing = holder.copy_requests().into_iter();
            requests.extend(missing.map(|(id, request)| (service.clone(), id, request)));
        }
        for (service, from, request) in requests {
            let Some(KeyReply::Page(page)) = self.request_holder(&service, &from, request).await
            else {
                continue;
            };
            if let Some(holder) = self.holders.lock().get_mut(&service) {
                holder.apply_copy_page(clock::now(), &from, &page);
            }
        }
    }

    /// Runs a request under its key, or returns the result of an earlier send with the same key.
    ///
    /// The claim is completed even if the caller disconnects, since a resend must find the answer.
    ///
    /// # Errors
    ///
    /// Returns the failure of the request or of the claim. Its verdict covers all sends with the
    /// key that ended before this one began.
    pub async fn run_once<F>(self: &Arc<Self>, keyed: KeyedRequest, run: F) -> Result<Answer>
    where
        F: Future<Output = Result<Answer>> + Send + 'static,
    {
        let group = self.groups.lock().get(&keyed.key.service).cloned();
        let group = group.ok_or(Failure::not_run(Reason::KeyHoldersUnavailable))?;
        let send = SendId {
            daemon: self.identity.daemon.clone(),
            boot: self.incarnation,
            seq: self.next_send.fetch_add(1, Ordering::Relaxed),
        };
        let seed = self.incarnation ^ send.seq;
        let service = keyed.key.service.clone();
        let claim = KeyClaim::new(
            keyed.key,
            send,
            keyed.fingerprint,
            group,
            keyed.deadline,
            seed,
        );
        let (tx, rx) = oneshot::channel();
        let driver = ClaimDriver {
            keys: self.clone(),
            service,
            claim,
            result_tx: Some(tx),
        };
        task::spawn(driver.drive(run));
        // The driver always sends a result; it is dropped early only when the process exits.
        rx.await
            .unwrap_or(Err(Failure::may_have_run(Reason::Draining)))
    }

    fn update_holders(
        &self,
        before: Option<&View>,
        view: &View,
        groups: &HashMap<ServiceName, Group>,
    ) {
        let own_id = &self.identity.daemon;
        let mut holders = self.holders.lock();
        holders.retain(|service, _| {
            groups
                .get(service)
                .is_some_and(|g| g.holders.contains(own_id))
        });
        for (service, group) in groups {
            if !group.holders.contains(own_id) {
                continue;
            }
            let holder = holders
                .entry(service.clone())
                .or_insert_with(|| self.new_holder(before, service, group));
            holder.set_group(clock::now(), group.clone());
        }
        if holders.is_empty() {
            return;
        }
        for lost in lost_daemons(before, view) {
            for holder in holders.values_mut() {
                holder.claimer_lost(&lost);
            }
        }
    }

    /// Creates a holder. It may grant keys at once only if this process has observed a view without
    /// the group; otherwise the other holders may have records that it lacks.
    fn new_holder(&self, before: Option<&View>, service: &ServiceName, group: &Group) -> KeyHolder {
        let own_id = self.identity.daemon.clone();
        let is_first = group.epoch == 1;
        let absent_before = before.is_some_and(|view| view.key_holders(service).is_none());
        if is_first && absent_before {
            return KeyHolder::first_group(own_id, self.incarnation, group.clone(), self.retention);
        }
        KeyHolder::without_records(
            clock::now(),
            own_id,
            self.incarnation,
            group.clone(),
            self.retention,
        )
    }

    /// Replaces the client of a holder if the address of the holder has changed.
    fn update_client(&self, daemon: &DaemonId, address: SocketAddr) {
        let mut clients = self.clients.lock();
        if clients
            .get(daemon)
            .is_some_and(|(known, _)| *known == address)
        {
            return;
        }
        let client = HolderClient::new(
            address,
            self.identity.clone(),
            Purpose::Keys,
            self.limits.clone(),
            self.traffic.clone(),
        );
        clients.insert(daemon.clone(), (address, Arc::new(client)));
    }

    /// Sends a message to a holder, which may be on this daemon. Returns `None` if there is no
    /// reply in time or the daemon is not a holder of the service.
    async fn request_holder(
        &self,
        service: &ServiceName,
        holder: &DaemonId,
        request: KeyRequest,
    ) -> Option<KeyReply> {
        let message = HolderRequest {
            service: service.clone(),
            request,
        };
        let reply = if *holder == self.identity.daemon {
            self.handle(&message)
        } else {
            let client = self.clients.lock().get(holder).map(|(_, c)| c.clone())?;
            client.request(&message, REPLY_TIMEOUT).await?
        };
        match reply {
            HolderReply::Reply(reply) => Some(reply),
            HolderReply::NotHolder => None,
        }
    }
}

/// Task that drives one [`KeyClaim`]: sends its messages, passes it the replies and runs the
/// request.
struct ClaimDriver {
    keys: Arc<Keys>,
    service: ServiceName,
    claim: KeyClaim,
    result_tx: Option<oneshot::Sender<Result<Answer>>>,
}

impl ClaimDriver {
    async fn drive<F>(mut self, run: F)
    where
        F: Future<Output = Result<Answer>> + Send + 'static,
    {
        let (replies, incoming) = channel::unbounded();
        let mut run = Some(Box::pin(run));
        let mut running = Fuse::terminated();
        let mut actions = self.claim.start(clock::now());
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send(holder, request) => self.send(holder, request, &replies),
                    Action::Run => {
                        if let Some(run) = run.take() {
                            running = run.fuse();
                        }
                    }
                    Action::Return(answer) => self.send_result(decode(&answer)),
                    Action::Fail(failure) => self.send_result(Err(failure)),
                }
            }
            if self.claim.is_done() {
                return;
            }
            let next_reply = timeout(CLAIM_TICK, incoming.recv()).fuse();
            futures::pin_mut!(next_reply);
            futures::select! {
                result = running => actions = self.handle_result(result),
                reply = next_reply => {
                    if let Ok(Ok((from, reply))) = reply {
                        actions = self.claim.reply(clock::now(), &from, reply);
                    }
                }
            }
            actions.extend(self.advance());
        }
    }

    fn handle_result(&mut self, result: Result<Answer>) -> Vec<Action> {
        let now = clock::now();
        match result {
            Ok(answer) => match codec::encode(&answer) {
                Ok(encoded) => self.claim.answered(now, encoded),
                Err(_) => self.claim.failed(now, codec_failure()),
            },
            Err(failure) => self.claim.failed(now, failure),
        }
    }

    fn advance(&mut self) -> Vec<Action> {
        let now = clock::now();
        let group = self.keys.groups.lock().get(&self.service).cloned();
        let mut actions = match group {
            Some(group) => self.claim.set_group(now, group),
            None => Vec::new(),
        };
        actions.extend(self.claim.tick(now));
        actions
    }

    fn send(
        &self,
        holder: DaemonId,
        request: KeyRequest,
        replies: &channel::Sender<(DaemonId, KeyReply)>,
    ) {
        let keys = self.keys.clone();
        let service = self.service.clone();
        let replies = replies.clone();
        task::spawn(async move {
            if let Some(reply) = keys.request_holder(&service, &holder, request).await {
                // Fails if the claim is done, in which case the reply is not needed.
                let _ = replies.send((holder, reply)).await;
            }
        });
    }

    fn send_result(&mut self, result: Result<Answer>) {
        if let Some(result_tx) = self.result_tx.take() {
            // Fails if the caller has disconnected; a resend gets the answer from the holders.
            let _ = result_tx.send(result);
        }
    }
}

fn decode(answer: &[u8]) -> Result<Answer> {
    let answer = codec::decode(answer).ok();
    answer
        .filter(Answer::has_final_status)
        .ok_or(codec_failure())
}

/// Returns the failure for an answer that cannot be stored at the holders or read back.
fn codec_failure() -> Failure {
    Failure {
        verdict: Verdict::Ran,
        reason: Reason::BadAnswer,
    }
}

/// Returns the daemons that had endpoints in `before` and have none in `view`.
///
/// This runs on every change of endpoints, so it must not compare them pairwise, which took 2.5 s
/// with 14,000 endpoints.
fn lost_daemons(before: Option<&View>, view: &View) -> Vec<DaemonId> {
    let Some(before) = before else {
        return Vec::new();
    };
    let remaining: HashSet<&DaemonId> = view.endpoints().map(|e| &e.daemon).collect();
    let known: HashSet<&DaemonId> = before.endpoints().map(|e| &e.daemon).collect();
    known
        .difference(&remaining)
        .map(|id| (*id).clone())
        .collect()
}
