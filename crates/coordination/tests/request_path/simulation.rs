//! Simulated daemons, a network that loses and reorders messages, and callers that resend requests.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::admission::CallId;
use sycamoreflow_coordination::dedup::{
    ClaimReply, Group, HolderConfig, Key, KeyClaim, KeyHolder, KeyReply, KeyRequest, SendId,
};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::suspect::Suspects;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::verdict::Failure;

use crate::entry::{Effect, Entry};
use crate::oracle::{Counts, Oracle, Request};
use crate::owner::{Call, Owner, Reply};

/// A fault that is injected to check that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The entry daemon retries non-idempotent requests that may have run.
    RetryAfterMayHaveRun,
    /// A grant of one key holder is counted as a grant of every holder.
    ClaimAtOneHolder,
    /// A restarted key holder grants claims before it has copied any records.
    RestartedHolderGrants,
    /// The response carries the verdict of the latest attempt instead of the maximum over all
    /// attempts.
    LatestVerdictOnly,
    /// The contents of two answers are swapped.
    SwappedAnswers,
}

pub(crate) struct SimulationResult {
    pub(crate) violation: Option<String>,
    pub(crate) counts: Counts,
}

struct Daemon {
    boot: u64,
    entry: Entry,
    owner: Owner,
    holder: Option<KeyHolder>,
    suspects: Suspects,
}

enum Message {
    Call(usize, Call),
    Cancel(usize, CallId),
    Ended(Call, Result<usize, Failure>),
    Key(usize, Requester, KeyRequest),
    KeyReply(Requester, DaemonId, KeyReply),
}

/// Sender of a message to a key holder, which receives the reply: one send of a daemon or, if
/// `send` is `None`, a daemon that copies records.
#[derive(Clone, Copy)]
struct Requester {
    daemon: usize,
    boot: u64,
    send: Option<usize>,
}

const DAEMONS: usize = 4;
const HOLDERS: usize = 3;

pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    fault: Fault,
    now: Millis,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    oracle: Oracle,
}

fn id(index: usize) -> DaemonId {
    format!("d{index}").into()
}

fn index(id: &DaemonId) -> usize {
    id.as_str()[1..]
        .parse()
        .expect("daemon identifiers have the form d<index>")
}

fn group() -> Group {
    Group {
        epoch: 1,
        holders: (0..HOLDERS).map(id).collect(),
    }
}

fn endpoints() -> Vec<Endpoint> {
    let endpoint = |index| Endpoint {
        daemon: id(index),
        service: "orders".into(),
        version: "v1".into(),
        data_centre: "a".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        slots: 3,
        draining: false,
        drained_by_operator: false,
    };
    (0..DAEMONS).map(endpoint).collect()
}

impl Simulation {
    pub(crate) fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cfg = HolderConfig::default();
        let daemons = (0..DAEMONS).map(|index| Daemon {
            boot: 1,
            entry: Entry::new(index, rng.next_u64(), fault, &endpoints()),
            owner: Owner::new(),
            holder: (index < HOLDERS).then(|| KeyHolder::first_group(id(index), 1, group(), cfg)),
            suspects: Suspects::new(id(index), 1),
        });
        Self {
            daemons: daemons.collect(),
            rng,
            fault,
            now: Millis(1),
            messages: Vec::new(),
            oracle: Oracle::default(),
        }
    }

    pub(crate) fn run(mut self, steps: usize) -> SimulationResult {
        for _ in 0..steps {
            self.step();
            if self.oracle.violation.is_some() {
                break;
            }
        }
        SimulationResult {
            violation: self.oracle.violation,
            counts: self.oracle.counts,
        }
    }

    fn step(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS);
        match self.rng.random_range(0..200) {
            0..110 => self.deliver(),
            110..130 => self.send(daemon),
            130..150 => self.tick(),
            150..185 => self.finish(daemon),
            185 => self.crash(daemon),
            186..188 => self.restart(daemon),
            188..192 => self.lose_link(daemon),
            192..196 => self.daemons[daemon].owner.set_draining(true),
            196..198 => self.daemons[daemon].owner.set_draining(false),
            _ => self.exchange_suspects(),
        }
    }

    /// Sends a new request, or resends one of the latest, through the given daemon.
    fn send(&mut self, daemon: usize) {
        let count = self.oracle.requests.len();
        let again = count > 0 && self.rng.random_bool(0.5);
        let number = if again {
            self.rng.random_range(count.saturating_sub(4)..count)
        } else {
            self.oracle.requests.push(Request {
                idempotent: self.rng.random_bool(0.4),
                keyed: self.rng.random_bool(0.5),
                crashing: self.rng.random_bool(0.15),
            });
            count
        };
        let request = self.oracle.requests[number];
        let send = self.oracle.send(number);
        let deadline = self.now.after(Millis(self.rng.random_range(20..1_500)));
        let body = number.to_le_bytes();
        let fingerprint = Fingerprint::of(&"grocers".into(), "POST", "/orders", &body);
        let claim = request
            .keyed
            .then(|| self.claim(daemon, send, number, fingerprint, deadline));
        let now = self.now;
        let Daemon {
            entry, suspects, ..
        } = &mut self.daemons[daemon];
        let limits = (request.idempotent, deadline);
        let effects = entry.begin(now, send, fingerprint, limits, claim, suspects);
        self.apply(daemon, effects);
    }

    fn claim(
        &mut self,
        daemon: usize,
        send: usize,
        number: usize,
        fingerprint: Fingerprint,
        deadline: Millis,
    ) -> KeyClaim {
        let key = Key {
            service: "orders".into(),
            tenant: "grocers".into(),
            key: number.to_string(),
        };
        let send = SendId {
            daemon: id(daemon),
            boot: self.daemons[daemon].boot,
            seq: send as u64,
        };
        let seed = self.rng.next_u64();
        KeyClaim::new(key, send, fingerprint, group(), deadline, seed)
    }

    fn tick(&mut self) {
        self.now = self.now.after(Millis(self.rng.random_range(1..15)));
        let now = self.now;
        for daemon in 0..DAEMONS {
            let Daemon {
                entry,
                owner,
                suspects,
                holder,
                boot,
                ..
            } = &mut self.daemons[daemon];
            let replies = owner.tick(now, suspects, &mut self.oracle);
            let effects = entry.tick(now, suspects);
            let requester = Requester {
                daemon,
                boot: *boot,
                send: None,
            };
            let copies = holder.as_ref().map_or(Vec::new(), KeyHolder::copy_requests);
            for (to, request) in copies {
                self.messages
                    .push(Message::Key(index(&to), requester, request));
            }
            self.reply(replies);
            self.apply(daemon, effects);
        }
    }

    fn finish(&mut self, daemon: usize) {
        let Daemon {
            owner, suspects, ..
        } = &mut self.daemons[daemon];
        let replies = owner.finish_one(self.now, &mut self.rng, suspects, &mut self.oracle);
        self.reply(replies);
    }

    fn crash(&mut self, daemon: usize) {
        let Daemon {
            owner, suspects, ..
        } = &mut self.daemons[daemon];
        let replies = owner.crash(self.now, suspects, &mut self.oracle);
        self.reply(replies);
    }

    /// Restarts a daemon. Its callers receive no response, and its calls in flight are lost.
    fn restart(&mut self, daemon: usize) {
        let (now, seed) = (self.now, self.rng.next_u64());
        let boot = self.daemons[daemon].boot + 1;
        let cfg = HolderConfig::default();
        let holder = (daemon < HOLDERS).then(|| match self.fault {
            Fault::RestartedHolderGrants => KeyHolder::first_group(id(daemon), boot, group(), cfg),
            _ => KeyHolder::without_records(now, id(daemon), boot, group(), cfg),
        });
        self.daemons[daemon] = Daemon {
            boot,
            entry: Entry::new(daemon, seed, self.fault, &endpoints()),
            owner: Owner::new(),
            holder,
            suspects: Suspects::new(id(daemon), boot),
        };
        for other in &mut self.daemons {
            if let Some(holder) = &mut other.holder {
                holder.claimer_lost(&id(daemon));
            }
        }
        for entry in 0..DAEMONS {
            self.break_link(entry, daemon);
        }
    }

    fn lose_link(&mut self, daemon: usize) {
        let other = self.rng.random_range(0..DAEMONS);
        self.break_link(daemon, other);
    }

    /// Breaks the link of an entry daemon to an owner. Messages already sent may still arrive.
    fn break_link(&mut self, entry: usize, owner: usize) {
        let now = self.now;
        let Daemon {
            entry: role,
            suspects,
            ..
        } = &mut self.daemons[entry];
        let effects = role.link_lost(now, &id(owner), suspects);
        self.apply(entry, effects);
    }

    fn exchange_suspects(&mut self) {
        let now = self.now;
        let reports = self.daemons.iter_mut().map(|d| d.suspects.report(now, 100));
        let reports: Vec<_> = reports.collect();
        for daemon in &mut self.daemons {
            for report in &reports {
                daemon.suspects.merge(now, report);
            }
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        if self.rng.random_bool(0.04) {
            return;
        }
        let now = self.now;
        match message {
            Message::Call(to, call) => {
                let Daemon {
                    owner, suspects, ..
                } = &mut self.daemons[to];
                let replies = owner.offer(now, call, suspects, &mut self.oracle);
                self.reply(replies);
            }
            Message::Cancel(to, call) => self.daemons[to].owner.cancel(call),
            Message::Ended(call, result) => {
                let Daemon {
                    entry, suspects, ..
                } = &mut self.daemons[call.entry];
                let effects = entry.ended(now, call.id, result, suspects);
                self.apply(call.entry, effects);
            }
            Message::Key(to, requester, request) => self.deliver_key(to, requester, &request),
            Message::KeyReply(requester, from, reply) => {
                self.deliver_key_reply(requester, &from, reply)
            }
        }
    }

    fn deliver_key(&mut self, to: usize, requester: Requester, request: &KeyRequest) {
        let Some(holder) = &mut self.daemons[to].holder else {
            return;
        };
        let reply = holder.handle(self.now, request);
        let granted = matches!(&reply, KeyReply::Claim(_, ClaimReply::Granted(_)));
        if granted && self.fault == Fault::ClaimAtOneHolder {
            for holder in group().holders {
                self.messages
                    .push(Message::KeyReply(requester, holder, reply.clone()));
            }
        }
        self.messages
            .push(Message::KeyReply(requester, id(to), reply));
    }

    fn deliver_key_reply(&mut self, requester: Requester, from: &DaemonId, reply: KeyReply) {
        let now = self.now;
        let daemon = &mut self.daemons[requester.daemon];
        if daemon.boot != requester.boot {
            return;
        }
        if let Some(send) = requester.send {
            let sends = &daemon.entry.sends;
            let Some(index) = sends.iter().position(|s| s.number == send) else {
                return;
            };
            let step = |claim: &mut KeyClaim| claim.reply(now, from, reply);
            let effects = daemon.entry.step_claim(now, index, &daemon.suspects, step);
            return self.apply(requester.daemon, effects);
        }
        if let (Some(holder), KeyReply::Page(page)) = (&mut daemon.holder, reply)
            && let Some(request) = holder.apply_copy_page(now, from, &page)
        {
            self.messages
                .push(Message::Key(index(from), requester, request));
        }
    }

    fn reply(&mut self, replies: Vec<Reply>) {
        for (call, result) in replies {
            let result = result.map(|()| self.oracle.request_number(call.send));
            self.messages.push(Message::Ended(call, result));
        }
        if self.fault == Fault::SwappedAnswers {
            self.swap_answers();
        }
    }

    /// Swaps the contents of the two latest answers in flight.
    fn swap_answers(&mut self) {
        let answers = self
            .messages
            .iter_mut()
            .rev()
            .filter_map(|message| match message {
                Message::Ended(_, Ok(request)) => Some(request),
                _ => None,
            });
        let mut answers = answers.take(2);
        if let (Some(a), Some(b)) = (answers.next(), answers.next()) {
            std::mem::swap(a, b);
        }
    }

    fn apply(&mut self, daemon: usize, effects: Vec<Effect>) {
        let boot = self.daemons[daemon].boot;
        for effect in effects {
            match effect {
                Effect::Call(to, call) => self.messages.push(Message::Call(index(&to), call)),
                Effect::Cancel(to, call) => self.messages.push(Message::Cancel(index(&to), call)),
                Effect::Key(send, to, request) => {
                    let requester = Requester {
                        daemon,
                        boot,
                        send: Some(send),
                    };
                    self.messages
                        .push(Message::Key(index(&to), requester, request));
                }
                Effect::Respond(send, response) => self.oracle.respond(send, &response),
                Effect::Retried => self.oracle.counts.retries += 1,
            }
        }
    }
}
