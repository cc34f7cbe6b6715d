//! State that the thread of a control replica shares with its tasks: the published view, the
//! members of the group and the sessions of subscribers.

use std::collections::HashMap;
use std::sync::Arc;

use async_std::future::timeout;
use async_std::task;
use bytes::Bytes;
use futures::channel::oneshot;
use parking_lot::Mutex;
use sycamoreflow_coordination::distribution::{Distribution, JoinLimiter, UpdateCache};
use sycamoreflow_coordination::key_lease::COLLECTION_TIME;
use sycamoreflow_coordination::quota::QuotaGrants;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_protocol::distribution::FromReplica;
use sycamoreflow_protocol::replica::{Forwarded, ToLeader};
use sycamoreflow_state::ids::{DaemonId, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest, View};

use crate::clock;
use crate::control::replica::{self as event, Event, EventSender, Replica, Unavailable};
use crate::control::suspects::SuspectExchange;

mod mailbox;
#[cfg(test)]
mod tests;

pub use mailbox::SessionCommand;

use mailbox::Mailbox;

/// The shared state of a control replica. Tasks use it to send events to the replica thread and to
/// read the published view without that thread.
#[derive(Debug)]
pub struct Hub {
    distribution: Mutex<Distribution>,
    updates: Mutex<UpdateCache<Bytes>>,
    joins: Mutex<JoinLimiter>,
    sessions: Mutex<Sessions>,
    members: Mutex<Arc<Vec<DaemonId>>>,
    leaderless: Mutex<Leaderless>,
    questions: Mutex<Questions>,
    suspects: Arc<SuspectExchange>,
    events: EventSender,
}

/// The time since which the replica has known no leader, and the tasks that wait for one.
#[derive(Debug)]
struct Leaderless {
    since: Option<Millis>,
    waiters: Vec<oneshot::Sender<()>>,
}

/// The latest question of each session that waits for a confirmation by a quorum.
#[derive(Debug, Default)]
struct Questions {
    by_session: HashMap<u64, u64>,
    /// Whether a task collects the questions.
    collecting: bool,
}

#[derive(Debug, Default)]
struct Sessions {
    next_id: u64,
    by_id: HashMap<u64, Session>,
}

#[derive(Debug)]
struct Session {
    daemon: DaemonId,
    commands: Arc<Mailbox>,
}

/// The registration of a session with its hub. Dropping it removes the session.
#[derive(Debug)]
pub struct Registration {
    hub: Arc<Hub>,
    id: u64,
    commands: Arc<Mailbox>,
}

impl Registration {
    /// Waits for the next command that the session has to execute.
    pub async fn next_command(&self) -> SessionCommand {
        self.commands.take().await
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.hub.sessions.lock().by_id.remove(&self.id);
        self.hub.update_session_gauge();
    }
}

impl Hub {
    /// Creates a hub with an empty view. `events` is the event queue of the replica thread.
    pub fn new(joins_per_second: u32, events: EventSender) -> Self {
        Self {
            distribution: Mutex::default(),
            updates: Mutex::default(),
            joins: Mutex::new(JoinLimiter::new(clock::now(), joins_per_second)),
            sessions: Mutex::default(),
            members: Mutex::default(),
            leaderless: Mutex::new(Leaderless {
                since: Some(clock::now()),
                waiters: Vec::new(),
            }),
            questions: Mutex::default(),
            suspects: Arc::default(),
            events,
        }
    }

    /// Publishes a view and notifies all sessions. Does nothing if the view is not newer than the
    /// published one.
    pub fn publish(&self, view: View) {
        if !self.distribution.lock().publish(Arc::new(view)) {
            return;
        }
        metrics::counter!("sycamoreflow_publications_total").increment(1);
        self.broadcast(&SessionCommand::ViewChanged);
    }

    /// Applies a delta from the leader to the published view and publishes the result. A delta that
    /// has been applied before is ignored.
    ///
    /// # Errors
    ///
    /// If the delta does not apply to the published view. The error is the reason as text.
    pub fn publish_delta(&self, delta: &Delta) -> Result<(), String> {
        let current = self.view();
        match current.apply(delta) {
            Ok(view) => {
                self.publish(view);
                Ok(())
            }
            Err(rejection) if rejection.is_duplicate() => Ok(()),
            Err(rejection) => Err(rejection.to_string()),
        }
    }

    /// Replaces the list of group members and notifies all sessions.
    pub fn set_members(&self, members: Vec<DaemonId>) {
        *self.members.lock() = Arc::new(members);
        self.broadcast(&SessionCommand::MembersChanged);
    }

    /// Returns the members of the group, voters and learners. The list is empty until
    /// [`set_members`](Self::set_members) is called.
    pub fn members(&self) -> Arc<Vec<DaemonId>> {
        self.members.lock().clone()
    }

    /// Returns the crash records that this replica passes on.
    pub fn suspects(&self) -> &Arc<SuspectExchange> {
        &self.suspects
    }

    /// Records whether the replica knows a leader, and wakes the tasks that wait for one.
    pub fn set_leader_known(&self, known: bool) {
        let mut leaderless = self.leaderless.lock();
        if !known {
            leaderless.since = leaderless.since.or(Some(clock::now()));
            return;
        }
        leaderless.since = None;
        for waiter in leaderless.waiters.drain(..) {
            // Fails if the waiting task has timed out.
            let _ = waiter.send(());
        }
    }

    /// Returns whether the replica has known no leader for at least `limit`, which means that an
    /// election is unlikely to succeed in its part of the network.
    pub fn has_no_leader_for(&self, limit: Millis) -> bool {
        let since = self.leaderless.lock().since;
        since.is_some_and(|since| clock::now().since(since) >= limit)
    }

    /// Waits until the replica knows a leader, or until it has known none for `limit`. Returns
    /// whether it knows one.
    pub async fn wait_for_leader(&self, limit: Millis) -> bool {
        let (left, rx) = {
            let mut leaderless = self.leaderless.lock();
            let Some(since) = leaderless.since else {
                return true;
            };
            let left = since.after(limit).since(clock::now());
            if left == Millis(0) {
                return false;
            }
            let (tx, rx) = oneshot::channel();
            leaderless.waiters.push(tx);
            (left, rx)
        };
        let known = timeout(clock::duration(left), rx).await;
        matches!(known, Ok(Ok(())))
    }

    /// Returns the published view, which is empty before the first publication.
    pub fn view(&self) -> Arc<View> {
        self.distribution.lock().view().clone()
    }

    /// Returns the encoded update for a subscriber that has the version `have`, together with the
    /// version that it leads to. Returns `None` if the subscriber needs no update.
    pub fn update_for(
        &self,
        interest: &Interest,
        have: Option<ViewVersion>,
    ) -> Option<(Bytes, ViewVersion)> {
        let distribution = self.distribution.lock();
        let to = distribution.view().version();
        if have == Some(to) {
            return None;
        }
        let mut updates = self.updates.lock();
        let encoded = updates.get_or_encode(interest, have, to, || {
            let Some(delta) = distribution.update_for(interest, have) else {
                return Bytes::new();
            };
            let update = FromReplica::Update(Box::new(delta));
            update.to_frame().map_or_else(|_| Bytes::new(), Bytes::from)
        });
        // An empty frame means that nothing within this interest has changed.
        (!encoded.is_empty()).then_some((encoded, to))
    }

    /// Admits a subscription if the limit on joins per second allows it.
    ///
    /// # Errors
    ///
    /// If the limit is exceeded. The error is the time to wait before the next attempt.
    pub fn admit(&self) -> Result<(), Millis> {
        self.joins.lock().admit(clock::now())
    }

    /// Returns the lowest version of the views that the present leader publishes, with the newest
    /// accepted configuration version, confirmed by a quorum. Returns `None` if no quorum can be
    /// reached.
    pub async fn confirm_version(&self) -> Option<ViewVersion> {
        let (tx, rx) = oneshot::channel();
        if !self.send(Event::ConfirmVersion(tx)) {
            return None;
        }
        rx.await.ok().flatten()
    }

    /// Performs a linearizable read: runs `read` on the replica thread after a quorum has confirmed
    /// that the state of this replica is current.
    ///
    /// # Errors
    ///
    /// If no quorum confirms the state, or the replica has stopped.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Replica) -> T + Send + 'static,
    ) -> event::Result<T> {
        self.ask(|tx| {
            Event::Read(Box::new(move |replica| {
                // Fails if the reading task has timed out.
                let _ = tx.send(replica.map(read));
            }))
        })
        .await
    }

    /// Sends the replica the event that `make_event` builds with a reply channel, and waits for the
    /// reply.
    ///
    /// # Errors
    ///
    /// If the replica replies with an error or has stopped.
    pub async fn ask<T>(
        &self,
        make_event: impl FnOnce(oneshot::Sender<event::Result<T>>) -> Event,
    ) -> event::Result<T> {
        let (tx, rx) = oneshot::channel();
        if !self.send(make_event(tx)) {
            return Err(Unavailable::default());
        }
        rx.await.unwrap_or_else(|_| Err(Unavailable::default()))
    }

    /// Passes a message from a subscriber to the replica, which forwards it to the leader. The
    /// message may be lost.
    pub fn forward(&self, daemon: &DaemonId, content: ToLeader) {
        let forwarded = Forwarded {
            daemon: daemon.clone(),
            content,
        };
        self.events.send(Event::Forwarded {
            via: None,
            messages: vec![forwarded],
        });
    }

    /// Queues an event for the replica thread. Returns `false` if the replica has stopped.
    pub fn send(&self, event: Event) -> bool {
        self.events.send(event)
    }

    /// Registers the session of a subscriber, which then receives commands until the registration
    /// is dropped.
    pub fn register(self: &Arc<Self>, daemon: &DaemonId) -> Registration {
        let commands = Arc::new(Mailbox::default());
        let mut sessions = self.sessions.lock();
        let id = sessions.next_id;
        sessions.next_id += 1;
        let session = Session {
            daemon: daemon.clone(),
            commands: commands.clone(),
        };
        sessions.by_id.insert(id, session);
        drop(sessions);
        self.update_session_gauge();
        Registration {
            hub: self.clone(),
            id,
            commands,
        }
    }

    /// Queues grants for the sessions of their daemons. Returns the grants whose daemon has no
    /// session at this replica.
    pub fn deliver_grants(&self, grants: Vec<(DaemonId, Grant)>) -> Vec<(DaemonId, Grant)> {
        let sessions = self.sessions.lock();
        let mut undelivered = Vec::new();
        for (daemon, grant) in grants {
            let session = sessions.by_id.values().find(|s| s.daemon == daemon);
            match session {
                Some(session) => session.commands.put(SessionCommand::Grant(grant)),
                None => undelivered.push((daemon, grant)),
            }
        }
        undelivered
    }

    /// Answers a question of a session about the newest configuration. Questions that arrive within
    /// [`COLLECTION_TIME`] share one linearizable read.
    pub fn confirm(self: &Arc<Self>, registration: &Registration, number: u64) {
        let mut questions = self.questions.lock();
        questions.by_session.insert(registration.id, number);
        if !std::mem::replace(&mut questions.collecting, true) {
            task::spawn(self.clone().answer_questions());
        }
    }

    /// Answers questions until there are none. While no quorum confirms anything, they wait for the
    /// end of the election, or until their sessions end.
    async fn answer_questions(self: Arc<Self>) {
        loop {
            task::sleep(clock::duration(COLLECTION_TIME)).await;
            let asked = {
                let mut questions = self.questions.lock();
                if questions.by_session.is_empty() {
                    questions.collecting = false;
                    return;
                }
                std::mem::take(&mut questions.by_session)
            };
            let confirmed = self.confirm_version().await;
            let sessions = self.sessions.lock();
            for (id, number) in asked {
                let Some(session) = sessions.by_id.get(&id) else {
                    continue;
                };
                match confirmed {
                    Some(version) => {
                        let config = version.config;
                        let confirmed = SessionCommand::Confirmed { number, config };
                        session.commands.put(confirmed);
                    }
                    // A later question of the session takes precedence.
                    None => {
                        let mut questions = self.questions.lock();
                        questions.by_session.entry(id).or_insert(number);
                    }
                }
            }
        }
    }

    /// Queues parts of quotas for the sessions of their daemons. Those of daemons without a session
    /// are dropped: the daemon reports again through the replica to which it has moved.
    pub fn deliver_quota_grants(&self, grants: Vec<(DaemonId, QuotaGrants)>) {
        let sessions = self.sessions.lock();
        let by_daemon: HashMap<&DaemonId, &Session> =
            sessions.by_id.values().map(|s| (&s.daemon, s)).collect();
        for (daemon, grants) in grants {
            if let Some(session) = by_daemon.get(&daemon) {
                session.commands.put(SessionCommand::QuotaGrants(grants));
            }
        }
    }

    /// Gives a command to all sessions.
    pub fn broadcast(&self, command: &SessionCommand) {
        for session in self.sessions.lock().by_id.values() {
            session.commands.put(command.clone());
        }
    }

    fn update_session_gauge(&self) {
        let count = self.sessions.lock().by_id.len();
        metrics::gauge!("sycamoreflow_subscribers").set(count as f64);
    }
}
