//! What the parts of a control replica share: the published view and the sessions of subscribers.

use std::collections::HashMap;
use std::sync::mpsc;

use async_std::channel;
use async_std::future::timeout;
use bytes::Bytes;
use futures::channel::oneshot;
use parking_lot::Mutex;
use std::sync::Arc;
use sycamoreflow_coordination::distribution::{Distribution, JoinLimiter, UpdateCache};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_protocol::distribution::FromReplica;
use sycamoreflow_protocol::replica::{Content, Forwarded};
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest, View};

use crate::clock;
use crate::control::replica::{self as event, Event, Replica, Unavailable};

/// Commands that may wait for a session. Grants beyond it are lost, which is harmless as they are
/// cumulative; a wake-up beyond it is not needed, as one is waiting already.
const SESSION_QUEUE: usize = 64;

/// A command to a session.
#[derive(Clone, Debug)]
pub enum SessionCommand {
    /// The published view has changed.
    ViewChanged,
    /// The leader grants calls to the subscriber.
    Grant(Grant),
    /// Requests have crashed upstreams at other daemons.
    Suspects(Arc<SuspectReport>),
    /// The members of the group have changed.
    MembersChanged,
    /// The quorum is lost: the subscriber has to move to another replica.
    NoQuorum,
}

/// The shared part of a control replica.
#[derive(Debug)]
pub struct Hub {
    distribution: Mutex<Distribution>,
    updates: Mutex<UpdateCache<Bytes>>,
    joins: Mutex<JoinLimiter>,
    sessions: Mutex<Sessions>,
    members: Mutex<Arc<Vec<DaemonId>>>,
    leaderless: Mutex<Leaderless>,
    events: mpsc::Sender<Event>,
}

/// Since when the replica knows no leader, and who waits for one.
#[derive(Debug)]
struct Leaderless {
    since: Option<Millis>,
    waiters: Vec<oneshot::Sender<()>>,
}

#[derive(Debug, Default)]
struct Sessions {
    next_id: u64,
    by_id: HashMap<u64, Session>,
}

#[derive(Debug)]
struct Session {
    daemon: DaemonId,
    commands: channel::Sender<SessionCommand>,
}

/// A registered session. It is removed when this is dropped.
#[derive(Debug)]
pub struct Registration {
    hub: Arc<Hub>,
    id: u64,
    /// Commands to the session.
    pub commands: channel::Receiver<SessionCommand>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.hub.sessions.lock().by_id.remove(&self.id);
        self.hub.update_session_gauge();
    }
}

impl Hub {
    /// Makes a hub that has nothing to distribute. `events` leads to the replica.
    pub fn new(joins_per_second: u32, events: mpsc::Sender<Event>) -> Self {
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
            events,
        }
    }

    /// Publishes a view and wakes the sessions, unless the view is not newer.
    pub fn publish(&self, view: View) {
        if !self.distribution.lock().publish(Arc::new(view)) {
            return;
        }
        metrics::counter!("sycamoreflow_publications_total").increment(1);
        self.broadcast(&SessionCommand::ViewChanged);
    }

    /// Applies a delta of the leader to the published view and publishes the result.
    ///
    /// # Errors
    ///
    /// The rejection, as text.
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

    /// Takes over the members of the group and tells the sessions.
    pub fn set_members(&self, members: Vec<DaemonId>) {
        *self.members.lock() = Arc::new(members);
        self.broadcast(&SessionCommand::MembersChanged);
    }

    /// Returns the members of the group.
    pub fn members(&self) -> Arc<Vec<DaemonId>> {
        self.members.lock().clone()
    }

    /// Notes whether the replica knows a leader.
    pub fn set_leader_known(&self, known: bool) {
        let mut leaderless = self.leaderless.lock();
        if !known {
            leaderless.since = leaderless.since.or(Some(clock::now()));
            return;
        }
        leaderless.since = None;
        for waiter in leaderless.waiters.drain(..) {
            // The one who waits may have gone.
            let _ = waiter.send(());
        }
    }

    /// Returns whether no leader has been known for `limit`, so that an election is unlikely to
    /// succeed here.
    pub fn has_no_leader_for(&self, limit: Millis) -> bool {
        let since = self.leaderless.lock().since;
        since.is_some_and(|since| clock::now().since(since) >= limit)
    }

    /// Waits for a leader until none has been known for `limit`. Returns whether there is one.
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

    /// Returns the published view.
    pub fn view(&self) -> Arc<View> {
        self.distribution.lock().view().clone()
    }

    /// Returns the encoded update for a subscriber and the version that it leads to, or `None` if
    /// the subscriber needs none.
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
        // An empty frame stands for "nothing that this interest wants has changed".
        (!encoded.is_empty()).then_some((encoded, to))
    }

    /// Admits a subscription, or returns when to come back.
    ///
    /// # Errors
    ///
    /// The time to wait.
    pub fn admit(&self) -> Result<(), Millis> {
        self.joins.lock().admit(clock::now())
    }

    /// Returns the configuration version that a quorum confirms to be the newest accepted one, or
    /// `None` if there is no quorum in reach.
    pub async fn confirm_version(&self) -> Option<ConfigVersion> {
        let (tx, rx) = oneshot::channel();
        self.events.send(Event::ConfirmVersion(tx)).ok()?;
        rx.await.ok().flatten()
    }

    /// Reads the state of this replica once a quorum has confirmed that it is current.
    ///
    /// # Errors
    ///
    /// If no quorum confirms it, or the replica has stopped.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Replica) -> T + Send + 'static,
    ) -> event::Result<T> {
        self.ask(|tx| {
            Event::Read(Box::new(move |replica| {
                // Fails if the reader has gone.
                let _ = tx.send(replica.map(read));
            }))
        })
        .await
    }

    /// Sends the replica the event that `make` builds around a sender, and returns what the replica
    /// sends back.
    ///
    /// # Errors
    ///
    /// Those of the replica, or if it has stopped.
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

    /// Passes a message of a subscriber to the replica, which hands it to the leader.
    pub fn forward(&self, daemon: &DaemonId, content: Content) {
        let forwarded = Forwarded {
            daemon: daemon.clone(),
            content,
        };
        // Fails only while the process stops.
        let _ = self.events.send(Event::Forwarded(vec![forwarded]));
    }

    /// Sends an event to the replica. Returns false if the replica has stopped.
    pub fn send(&self, event: Event) -> bool {
        self.events.send(event).is_ok()
    }

    /// Registers the session of a subscriber.
    pub fn register(self: &Arc<Self>, daemon: &DaemonId) -> Registration {
        let (tx, rx) = channel::bounded(SESSION_QUEUE);
        let mut sessions = self.sessions.lock();
        let id = sessions.next_id;
        sessions.next_id += 1;
        let session = Session {
            daemon: daemon.clone(),
            commands: tx,
        };
        sessions.by_id.insert(id, session);
        drop(sessions);
        self.update_session_gauge();
        Registration {
            hub: self.clone(),
            id,
            commands: rx,
        }
    }

    /// Hands grants to the sessions of their daemons. Returns those whose daemon has no session.
    pub fn deliver_grants(&self, grants: Vec<(DaemonId, Grant)>) -> Vec<(DaemonId, Grant)> {
        let sessions = self.sessions.lock();
        let mut undelivered = Vec::new();
        for (daemon, grant) in grants {
            let session = sessions.by_id.values().find(|s| s.daemon == daemon);
            match session {
                Some(session) => drop(session.commands.try_send(SessionCommand::Grant(grant))),
                None => undelivered.push((daemon, grant)),
            }
        }
        undelivered
    }

    /// Sends a command to all sessions.
    pub fn broadcast(&self, command: &SessionCommand) {
        for session in self.sessions.lock().by_id.values() {
            let _ = session.commands.try_send(command.clone());
        }
    }

    fn update_session_gauge(&self) {
        let count = self.sessions.lock().by_id.len();
        metrics::gauge!("sycamoreflow_subscribers").set(count as f64);
    }
}
