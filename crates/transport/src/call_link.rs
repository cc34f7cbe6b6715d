//! Concurrent calls over one link.
//!
//! [`CallClient`] sends calls and matches replies to them by id. A reply whose id matches no
//! pending call is dropped and counted, and never delivered to another call. [`serve`] runs the
//! calls that arrive on a link.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::channel;
use async_std::task;
use futures::channel::oneshot;
use futures::future::{AbortHandle, Abortable, Either, select};
use parking_lot::Mutex;
use sycamoreflow_coordination::routing::Load;
use sycamoreflow_protocol::call::{Answer, Call, CallReply, CallRequest, CallResult, Cancel};
use sycamoreflow_protocol::codec;
use sycamoreflow_state::verdict::{Failure, Reason};

use crate::link::{LinkError, Peer, Receiver, SendError, Sender};
use crate::timer::timeout_at;

#[cfg(test)]
mod tests;

/// Interval at which a draining link checks whether its calls have replies.
const REPLY_POLL: Duration = Duration::from_millis(10);

/// Result of a call. The error says whether the call may have run, and why it failed.
pub type Result<T> = std::result::Result<T, Failure>;

/// Sends concurrent calls over one link. The link closes when the client is dropped.
pub struct CallClient {
    shared: Arc<ClientShared>,
}

struct ClientShared {
    sender: Sender,
    next_id: AtomicU64,
    /// Calls without a reply so far, by id; `None` once the link has ended.
    pending: Mutex<Option<HashMap<u64, oneshot::Sender<CallReply>>>>,
    dropped_replies: AtomicU64,
}

impl CallClient {
    /// Starts a client on a link that was opened with [`Purpose::Calls`](crate::link::Purpose).
    pub fn start(sender: Sender, receiver: Receiver) -> Self {
        sender.set_idle(true);
        let shared = Arc::new(ClientShared {
            sender,
            next_id: AtomicU64::new(1),
            pending: Mutex::new(Some(HashMap::new())),
            dropped_replies: AtomicU64::new(0),
        });
        task::spawn(dispatch_replies(shared.clone(), receiver));
        Self { shared }
    }

    /// Sends a call and waits for its reply. The `id` and `remaining_ms` of `call` are
    /// overwritten.
    ///
    /// Dropping the future cancels the call at the other end.
    ///
    /// # Errors
    ///
    /// The verdict is `NotRun` if the call was never queued for writing, and `MayHaveRun` if the
    /// link ended or the deadline passed after the call was queued, or if the status of the answer
    /// is invalid. If the other end refuses the call, the verdict is the one that it sends.
    pub async fn call(&self, call: Call, deadline: Instant) -> Result<Answer> {
        self.call_with_load(call, deadline).await.0
    }

    /// Sends a call like [`CallClient::call`]. Also returns the load of the upstream if the other
    /// end has reported it.
    pub async fn call_with_load(
        &self,
        call: Call,
        deadline: Instant,
    ) -> (Result<Answer>, Option<Load>) {
        match self.call_reply(call, deadline).await {
            Ok(reply) => match reply.result {
                CallResult::Answer(answer) if !answer.has_final_status() => {
                    let failure = Failure::may_have_run(Reason::BadAnswer);
                    (Err(failure), reply.load)
                }
                CallResult::Answer(answer) => (Ok(answer), reply.load),
                CallResult::Refused(failure) => (Err(failure), reply.load),
            },
            Err(failure) => (Err(failure), None),
        }
    }

    async fn call_reply(&self, mut call: Call, deadline: Instant) -> Result<CallReply> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(Failure::not_run(Reason::DeadlineExceeded));
        }
        call.id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        call.remaining_ms = whole_millis(remaining);
        let reply_rx = self.shared.register(call.id)?;
        let mut cancel_on_drop = CancelOnDrop {
            shared: &self.shared,
            id: call.id,
            queued: false,
        };
        let request = CallRequest::Call(Box::new(call));
        self.shared.sender.send(&request).map_err(send_failure)?;
        cancel_on_drop.queued = true;
        match timeout_at(deadline, reply_rx).await {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(_)) => Err(Failure::may_have_run(Reason::ConnectionLost)),
            None => Err(Failure::may_have_run(Reason::DeadlineExceeded)),
        }
    }

    /// Returns whether the link has ended. If so, all further calls fail with the verdict `NotRun`.
    pub fn is_closed(&self) -> bool {
        self.shared.sender.is_closed()
    }

    /// Returns the number of calls without a reply so far.
    pub fn in_flight(&self) -> usize {
        self.shared.pending.lock().as_ref().map_or(0, HashMap::len)
    }

    /// Returns the number of replies that matched no pending call and were dropped.
    pub fn dropped_replies(&self) -> u64 {
        self.shared.dropped_replies.load(Ordering::Relaxed)
    }

    /// Returns the sending half of the link, which has the peer and the byte counters.
    pub fn sender(&self) -> &Sender {
        &self.shared.sender
    }
}

impl fmt::Debug for CallClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallClient")
            .field("peer", self.shared.sender.peer())
            .field("in_flight", &self.in_flight())
            .finish_non_exhaustive()
    }
}

impl Drop for CallClient {
    fn drop(&mut self) {
        self.shared.sender.close();
    }
}

impl ClientShared {
    fn register(&self, id: u64) -> Result<oneshot::Receiver<CallReply>> {
        let (tx, rx) = oneshot::channel();
        let mut pending = self.pending.lock();
        let Some(pending) = pending.as_mut() else {
            return Err(Failure::not_run(Reason::ConnectionLost));
        };
        if pending.is_empty() {
            self.sender.set_idle(false);
        }
        pending.insert(id, tx);
        Ok(rx)
    }

    fn take(&self, id: u64) -> Option<oneshot::Sender<CallReply>> {
        let mut pending = self.pending.lock();
        let pending = pending.as_mut()?;
        let taken = pending.remove(&id);
        if pending.is_empty() {
            self.sender.set_idle(true);
        }
        taken
    }

    fn deliver(&self, reply: CallReply) {
        let Some(waiting) = self.take(reply.id) else {
            self.dropped_replies.fetch_add(1, Ordering::Relaxed);
            return;
        };
        // Fails if the call is cancelled at the same time; its reply is then not needed.
        let _ = waiting.send(reply);
    }
}

/// Removes a call from the pending ones when its future ends or is dropped. If the call was queued
/// and has no reply, it is also cancelled at the other end.
struct CancelOnDrop<'a> {
    shared: &'a ClientShared,
    id: u64,
    queued: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let unanswered = self.shared.take(self.id).is_some();
        if !unanswered || !self.queued {
            return;
        }
        let cancel = CallRequest::Cancel(Cancel { id: self.id });
        // If the queue is full, the call runs until its deadline and its reply is dropped.
        let _ = self.shared.sender.send(&cancel);
    }
}

async fn dispatch_replies(shared: Arc<ClientShared>, mut receiver: Receiver) {
    let ended = loop {
        match receiver.receive::<CallReply>().await {
            Ok(reply) => shared.deliver(reply),
            Err(error) => break error,
        }
    };
    // Refuses further calls and fails the pending ones with the reason `ConnectionLost`.
    shared.sender.close();
    let pending = shared.pending.lock().take();
    if ended != LinkError::Drained {
        return;
    }
    for (id, waiting) in pending.into_iter().flatten() {
        let result = CallResult::Refused(Failure::not_run(Reason::Draining));
        // Fails if the call is cancelled at the same time.
        let _ = waiting.send(CallReply {
            id,
            result,
            load: None,
        });
    }
}

fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis())
        .unwrap_or(u32::MAX)
        .max(1)
}

fn send_failure(error: SendError) -> Failure {
    Failure::not_run(match error {
        SendError::Full => Reason::Overloaded,
        SendError::Closed => Reason::ConnectionLost,
        SendError::Codec(_) => Reason::BadRequest,
    })
}

/// Runs the calls that arrive on a link until the link ends, and returns why it ended.
///
/// At most `max_in_flight` calls run at once. Further ones are refused with the verdict `NotRun`
/// and the reason `Overloaded`. The future of a call is dropped when the client cancels the call or
/// the link ends.
pub async fn serve<H, F>(
    sender: Sender,
    receiver: Receiver,
    max_in_flight: usize,
    handler: H,
) -> LinkError
where
    H: Fn(Call, Peer) -> F,
    F: Future<Output = CallResult> + Send + 'static,
{
    let drain = Drain::default();
    serve_with_load(sender, receiver, max_in_flight, &drain, |call, peer| {
        let call_future = handler(call, peer);
        async move { (call_future.await, None) }
    })
    .await
}

/// Runs calls like [`serve`], and sends with each result the load that the handler returns.
///
/// Once `drain` has started, the link closes as soon as every call on it has a reply. The future
/// completes when the client has received the replies and closed its end.
pub async fn serve_with_load<H, F>(
    sender: Sender,
    mut receiver: Receiver,
    max_in_flight: usize,
    drain: &Drain,
    handler: H,
) -> LinkError
where
    H: Fn(Call, Peer) -> F,
    F: Future<Output = (CallResult, Option<Load>)> + Send + 'static,
{
    sender.set_idle(true);
    let running = RunningCalls::new(sender.clone());
    let _abort = AbortOnDrop(running.clone());
    let _open = Counted::new(&drain.links);
    let unreplied = Arc::new(AtomicUsize::new(0));
    let mut drained = pin!(async {
        drain.started().await;
        while unreplied.load(Ordering::SeqCst) > 0 {
            task::sleep(REPLY_POLL).await;
        }
    });
    loop {
        let next = pin!(receiver.receive::<CallRequest>());
        let request = match select(next, drained.as_mut()).await {
            Either::Left((Ok(request), _)) => request,
            Either::Left((Err(error), _)) => return error,
            Either::Right(_) => break,
        };
        let call = match request {
            CallRequest::Call(call) => *call,
            CallRequest::Cancel(cancel) => {
                running.abort(cancel.id);
                continue;
            }
        };
        let id = call.id;
        if running.len() >= max_in_flight {
            let overloaded = CallResult::Refused(Failure::not_run(Reason::Overloaded));
            let reply = send_reply(sender.clone(), id, overloaded, None);
            let counted = Counted::new(&unreplied);
            task::spawn(async move {
                reply.await;
                drop(counted);
            });
            continue;
        }
        let Some(registration) = running.add(id) else {
            return LinkError::Protocol("duplicate id of a running call".into());
        };
        let call_future = handler(call, sender.peer().clone());
        let running = running.clone();
        let sender = sender.clone();
        let counted = Counted::new(&unreplied);
        task::spawn(async move {
            let outcome = Abortable::new(call_future, registration).await;
            running.remove(id);
            if let Ok((result, load)) = outcome {
                send_reply(sender, id, result, load).await;
            }
            drop(counted);
        });
    }
    // The client still waits for replies and sends heartbeats at the full rate, so its silence ends
    // the link.
    sender.set_idle(false);
    sender.close_drained();
    loop {
        // Requests in transit are not handled, which the client learns from the close frame.
        if let Err(error) = receiver.receive_encoded().await {
            return error;
        }
    }
}

async fn send_reply(sender: Sender, id: u64, result: CallResult, load: Option<Load>) {
    let reply = CallReply { id, result, load };
    if let Err(SendError::Codec(_)) = sender.send_waiting(&reply).await {
        let unsendable = CallReply {
            id,
            result: CallResult::Refused(Failure::may_have_run(Reason::BadAnswer)),
            load: None,
        };
        // Ignores the error, which only occurs if the link has ended.
        let _ = sender.send_waiting(&unsendable).await;
    }
}

/// Closes the call links of a server that is about to stop.
#[derive(Debug)]
pub struct Drain {
    /// The drain starts when this channel is closed.
    signal: (channel::Sender<()>, channel::Receiver<()>),
    links: Arc<AtomicUsize>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            signal: channel::bounded(1),
            links: Arc::default(),
        }
    }
}

impl Drain {
    /// Closes each link once every call on it has a reply, including links that are opened later.
    pub fn start(&self) {
        self.signal.0.close();
    }

    /// Returns the number of links that are open.
    pub fn open_links(&self) -> usize {
        self.links.load(Ordering::SeqCst)
    }

    /// Waits until the drain starts.
    pub async fn started(&self) {
        // `recv` returns an error once the channel is closed. No message is ever sent on it.
        let _ = self.signal.1.recv().await;
    }
}

/// Adds one to a counter until it is dropped.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Running calls of one link. The link is marked as idle while there are none.
#[derive(Clone)]
struct RunningCalls {
    calls: Arc<Mutex<HashMap<u64, AbortHandle>>>,
    sender: Sender,
}

impl RunningCalls {
    fn new(sender: Sender) -> Self {
        Self {
            calls: Arc::default(),
            sender,
        }
    }

    fn len(&self) -> usize {
        self.calls.lock().len()
    }

    fn add(&self, id: u64) -> Option<futures::future::AbortRegistration> {
        let (handle, registration) = AbortHandle::new_pair();
        let mut calls = self.calls.lock();
        if calls.contains_key(&id) {
            return None;
        }
        if calls.is_empty() {
            self.sender.set_idle(false);
        }
        calls.insert(id, handle);
        Some(registration)
    }

    fn remove(&self, id: u64) -> Option<AbortHandle> {
        let mut calls = self.calls.lock();
        let handle = calls.remove(&id);
        if calls.is_empty() {
            self.sender.set_idle(true);
        }
        handle
    }

    fn abort(&self, id: u64) {
        if let Some(handle) = self.remove(id) {
            handle.abort();
        }
    }
}

/// Aborts the running calls of a link when [`serve_with_load`] returns or is dropped.
struct AbortOnDrop(RunningCalls);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        for handle in self.0.calls.lock().values() {
            handle.abort();
        }
    }
}

/// Maximum size in bytes of the body of a call or an answer. It leaves 256 KiB of a frame for the
/// headers.
pub const MAX_BODY_BYTES: usize = codec::MAX_FRAME_BYTES - 256 * 1024;
