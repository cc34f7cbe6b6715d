//! Model of sends and holders on a network that loses, repeats and reorders messages, with an
//! oracle that checks every run, answer and verdict.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use super::super::*;
use super::{fingerprint, key};

/// A fault that is injected to check that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    None,
    /// A restarted holder grants claims before it has copied any records.
    GrantAfterRestart,
    /// A grant of one holder is counted as a grant of every holder.
    SingleHolder,
    /// Holders accept claims of older epochs.
    NoEpochs,
    /// A send that fails without a majority releases its claim and runs nevertheless.
    RunWithoutMajority,
}

struct Send {
    claim: KeyClaim,
    daemon: DaemonId,
    alive: bool,
    /// Index of the run of this send in `Model::runs`.
    run: Option<usize>,
    /// Number of runs that began before the send.
    runs_before: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Run {
    Running,
    Refused,
    Ran,
}

#[derive(Clone)]
enum Message {
    Request {
        to: DaemonId,
        from: Requester,
        request: KeyRequest,
    },
    Reply {
        to: Requester,
        from: DaemonId,
        reply: KeyReply,
    },
}

#[derive(Clone)]
enum Requester {
    Send(usize),
    Holder(DaemonId, u64),
}

pub(super) struct Model {
    rng: ChaCha8Rng,
    fault: Fault,
    now: Millis,
    boots: u64,
    group: Group,
    holders: BTreeMap<DaemonId, (u64, KeyHolder)>,
    sends: Vec<Send>,
    runs: Vec<Run>,
    messages: Vec<Message>,
    violation: Option<String>,
    pub(super) returned: usize,
}

const HOLDERS: [&str; 5] = ["h0", "h1", "h2", "h3", "h4"];

impl Model {
    pub(super) fn new(seed: u64, fault: Fault) -> Self {
        let group = Group {
            epoch: 1,
            holders: HOLDERS[..3].iter().map(|h| DaemonId::from(*h)).collect(),
        };
        let cfg = HolderConfig::default();
        let first = |id: &DaemonId| KeyHolder::first_group(id.clone(), 1, group.clone(), cfg);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault,
            now: Millis(1_000),
            boots: 1,
            holders: group
                .holders
                .iter()
                .map(|id| (id.clone(), (1, first(id))))
                .collect(),
            group,
            sends: Vec::new(),
            runs: Vec::new(),
            messages: Vec::new(),
            violation: None,
            returned: 0,
        }
    }

    /// Takes random steps and returns the first violation that the oracle detects.
    pub(super) fn run(&mut self, steps: usize) -> Option<String> {
        for _ in 0..steps {
            self.step();
            if self.violation.is_some() {
                break;
            }
        }
        self.violation.take()
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..55 => self.deliver(),
            55..62 => self.start(),
            62..80 => self.tick(),
            80..86 => self.finish(),
            86 => self.stop_claimer(),
            87 => self.restart_holder(),
            88..90 => self.change_group(),
            90..94 => self.announce_group(),
            _ => self.copy(),
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        let roll = self.rng.random_range(0..100);
        if roll < 5 {
            return;
        }
        if roll < 10 {
            self.messages.push(message.clone());
        }
        match message {
            Message::Request { to, from, request } => self.deliver_request(to, from, request),
            Message::Reply { to, from, reply } => self.deliver_reply(to, from, reply),
        }
    }

    fn deliver_request(&mut self, to: DaemonId, from: Requester, mut request: KeyRequest) {
        let Some((_, holder)) = self.holders.get_mut(&to) else {
            return;
        };
        if let (Fault::NoEpochs, KeyRequest::Claim { epoch, .. }) = (self.fault, &mut request) {
            *epoch = holder.epoch();
        }
        let reply = holder.handle(self.now, &request);
        let granted = matches!(&reply, KeyReply::Claim(_, ClaimReply::Granted(_)));
        if self.fault == Fault::SingleHolder && granted {
            for other in self.group.holders.clone() {
                self.send_reply(from.clone(), other, reply.clone());
            }
        }
        self.send_reply(from, to, reply);
    }

    fn send_reply(&mut self, to: Requester, from: DaemonId, reply: KeyReply) {
        self.messages.push(Message::Reply { to, from, reply });
    }

    fn deliver_reply(&mut self, to: Requester, from: DaemonId, reply: KeyReply) {
        match to {
            Requester::Send(index) => {
                let send = &mut self.sends[index];
                if send.alive {
                    let actions = send.claim.reply(self.now, &from, reply);
                    self.apply(index, actions);
                }
            }
            Requester::Holder(id, boot) => {
                let KeyReply::Page(page) = reply else { return };
                let Some((current, holder)) = self.holders.get_mut(&id) else {
                    return;
                };
                if *current != boot {
                    return;
                }
                if let Some(request) = holder.apply_copy_page(self.now, &from, &page) {
                    let requester = Requester::Holder(id, boot);
                    self.messages.push(Message::Request {
                        to: from,
                        from: requester,
                        request,
                    });
                }
            }
        }
    }

    fn start(&mut self) {
        if self
            .sends
            .iter()
            .filter(|s| s.alive && !s.claim.is_done())
            .count()
            >= 4
        {
            return;
        }
        let daemon: DaemonId = format!("e{}", self.rng.random_range(0..3)).into();
        let id = SendId {
            daemon: daemon.clone(),
            boot: 1,
            seq: self.sends.len() as u64,
        };
        let deadline = self.now.after(Millis(self.rng.random_range(50..3_000)));
        let (group, seed) = (self.group.clone(), self.rng.next_u64());
        let mut claim = KeyClaim::new(key("k"), id, fingerprint("f"), group, deadline, seed);
        let actions = claim.start(self.now);
        self.sends.push(Send {
            claim,
            daemon,
            alive: true,
            run: None,
            runs_before: self.runs.len(),
        });
        self.apply(self.sends.len() - 1, actions);
    }

    fn tick(&mut self) {
        self.now = self.now.after(Millis(self.rng.random_range(0..40)));
        for index in 0..self.sends.len() {
            if self.sends[index].alive && self.rng.random_bool(0.7) {
                let actions = self.sends[index].claim.tick(self.now);
                self.apply(index, actions);
            }
        }
    }

    fn finish(&mut self) {
        let running = |r: &Run| *r == Run::Running;
        let owner = |s: &Send| s.alive && s.run.is_some_and(|run| running(&self.runs[run]));
        let Some(index) = self.sends.iter().position(owner) else {
            return;
        };
        let run = self.sends[index].run.unwrap();
        let claim = &mut self.sends[index].claim;
        let actions = match self.rng.random_range(0..4) {
            0 => {
                self.runs[run] = Run::Refused;
                claim.failed(self.now, Failure::not_run(Reason::Overloaded))
            }
            1 => {
                self.runs[run] = Run::Ran;
                claim.failed(self.now, Failure::may_have_run(Reason::ConnectionLost))
            }
            _ => {
                self.runs[run] = Run::Ran;
                claim.answered(self.now, vec![run as u8])
            }
        };
        self.apply(index, actions);
    }

    fn stop_claimer(&mut self) {
        let stopped: DaemonId = format!("e{}", self.rng.random_range(0..3)).into();
        for send in self.sends.iter_mut().filter(|s| s.daemon == stopped) {
            send.alive = false;
        }
        for (_, holder) in self.holders.values_mut() {
            holder.claimer_lost(&stopped);
        }
    }

    fn restart_holder(&mut self) {
        let ready = self.holders.values().all(|(_, holder)| holder.is_ready());
        if !ready && self.rng.random_bool(0.7) {
            return;
        }
        let id = self.group.holders[self.rng.random_range(0..3)].clone();
        self.add_holder(id);
    }

    fn add_holder(&mut self, id: DaemonId) {
        self.boots += 1;
        let (boot, group, cfg) = (self.boots, self.group.clone(), HolderConfig::default());
        let holder = if self.fault == Fault::GrantAfterRestart {
            KeyHolder::first_group(id.clone(), boot, group, cfg)
        } else {
            KeyHolder::without_records(self.now, id.clone(), boot, group, cfg)
        };
        self.holders.insert(id, (boot, holder));
    }

    /// Replaces one holder if all holders are ready, as the leader does.
    fn change_group(&mut self) {
        let members = self.group.holders.iter();
        let ready = |id: &DaemonId| self.holders.get(id).is_some_and(|(_, h)| h.is_ready());
        if !members.clone().all(ready) {
            return;
        }
        let members: BTreeSet<DaemonId> = members.cloned().collect();
        let spare = HOLDERS
            .map(DaemonId::from)
            .into_iter()
            .find(|id| !members.contains(id));
        let replaced = self.rng.random_range(0..3);
        self.group.epoch += 1;
        self.group.holders[replaced] = spare.unwrap();
        let joining = self.group.holders[replaced].clone();
        let (now, group) = (self.now, self.group.clone());
        match self.holders.get_mut(&joining) {
            // A former holder that has not restarted rejoins with its old records.
            Some((_, holder)) if self.rng.random_bool(0.5) => holder.set_group(now, group),
            _ => self.add_holder(joining),
        }
    }

    fn announce_group(&mut self) {
        let group = self.group.clone();
        for (_, holder) in self.holders.values_mut() {
            if self.rng.random_bool(0.3) {
                holder.set_group(self.now, group.clone());
            }
        }
        for index in 0..self.sends.len() {
            if self.sends[index].alive && self.rng.random_bool(0.3) {
                let actions = self.sends[index].claim.set_group(self.now, group.clone());
                self.apply(index, actions);
            }
        }
    }

    fn copy(&mut self) {
        for (id, (boot, holder)) in &self.holders {
            for (to, request) in holder.copy_requests() {
                let from = Requester::Holder(id.clone(), *boot);
                self.messages.push(Message::Request { to, from, request });
            }
        }
    }

    fn apply(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, request) => {
                    let from = Requester::Send(index);
                    self.messages.push(Message::Request { to, from, request });
                }
                Action::Run => self.begin_run(index),
                Action::Return(answer) => {
                    self.returned += 1;
                    let run = usize::from(answer[0]);
                    if self.runs.get(run) != Some(&Run::Ran) {
                        self.record_violation("returned an answer of a run that has not finished");
                    }
                }
                Action::Fail(failure) => self.check_failure(index, failure),
            }
        }
    }

    fn begin_run(&mut self, index: usize) {
        if self.runs.iter().any(|run| *run != Run::Refused) {
            self.record_violation("the request ran a second time");
        }
        self.sends[index].run = Some(self.runs.len());
        self.runs.push(Run::Running);
    }

    /// Checks that no run that a verdict `NotRun` covers has happened: the runs that began before
    /// the send, and the send's own run.
    fn check_failure(&mut self, index: usize, failure: Failure) {
        let send = &self.sends[index];
        let mut covered = self.runs[..send.runs_before]
            .iter()
            .chain(send.run.map(|r| &self.runs[r]));
        let ran = covered.any(|run| *run != Run::Refused);
        let has_run = send.run.is_some();
        if failure.verdict == Verdict::NotRun && ran {
            self.record_violation("verdict not-run for a request that ran");
        }
        let runs_anyway = self.fault == Fault::RunWithoutMajority && !has_run;
        if runs_anyway && failure.reason == Reason::KeyUnresolved {
            self.begin_run(index);
        }
    }

    fn record_violation(&mut self, what: &str) {
        self.violation
            .get_or_insert_with(|| format!("{what} at {:?}", self.now));
    }
}
