//! Tests a control group of three replicas that combine the Raft log, the state machine and data
//! folders on disk.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use proptest::prelude::*;
use sycamoreflow_coordination::machine::{Command, ControlState};
use sycamoreflow_coordination::raft::message::Message;
use sycamoreflow_coordination::raft::{
    Incarnation, Input, Output, Payload, Raft, ReplicaState, TICK_MS, Token,
};
use sycamoreflow_state::config::MeshConfig;
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_transport::storage::{Files, InjectedFault, Storage};
use tempfile::TempDir;

struct Replica {
    folder: TempDir,
    running: Option<(Raft, Storage)>,
    machine: ControlState,
    /// Number of file operations that succeed before all further ones fail.
    remaining_operations: Arc<AtomicU64>,
}

struct Group {
    now: Millis,
    replicas: Vec<Replica>,
    messages: VecDeque<(usize, DaemonId, Message)>,
    starts: u64,
    /// Numbers of the approval requests that a leader has applied.
    acknowledged: Vec<u64>,
    requests: u64,
}

fn name(index: usize) -> DaemonId {
    format!("n{index}").into()
}

impl Group {
    fn new() -> Self {
        let mut group = Self {
            now: Millis(1000),
            replicas: Vec::new(),
            messages: VecDeque::new(),
            starts: 0,
            acknowledged: Vec::new(),
            requests: 0,
        };
        for index in 0..3 {
            group.replicas.push(Replica {
                folder: TempDir::new().unwrap(),
                running: None,
                machine: ControlState::default(),
                remaining_operations: Arc::default(),
            });
            group.start(index);
        }
        group
    }

    fn start(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        if replica.running.is_some() {
            return;
        }
        self.starts += 1;
        replica
            .remaining_operations
            .store(u64::MAX, Ordering::Relaxed);
        let remaining_operations = replica.remaining_operations.clone();
        let files = Files::with_hook(Box::new(move |_, _| {
            let left = remaining_operations.load(Ordering::Relaxed);
            remaining_operations.store(left.saturating_sub(1), Ordering::Relaxed);
            if left == 0 {
                return InjectedFault::Fail;
            }
            InjectedFault::None
        }));
        let incarnation = Incarnation(self.starts);
        let opened = Storage::open(replica.folder.path(), incarnation, files).unwrap();
        replica.machine = match &opened.log.snapshot {
            Some(snapshot) => ControlState::decode(&snapshot.data).unwrap(),
            None => ControlState::default(),
        };
        let initial = (0..3).map(name).collect();
        let (hard_state, log) = (opened.hard_state, opened.log);
        let raft = Raft::new(name(index), initial, hard_state, log, self.starts, self.now);
        replica.running = Some((raft, opened.storage));
    }

    fn input(&mut self, index: usize, input: Input) {
        let replica = &mut self.replicas[index];
        let Some((raft, storage)) = &mut replica.running else {
            return;
        };
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in raft.step(self.now, input) {
                match output {
                    Output::Write(write) => {
                        let seq = write.seq;
                        if storage.execute(&[write]).is_err() {
                            replica.running = None;
                            return;
                        }
                        inputs.push_back(Input::Synced { seq });
                    }
                    Output::Send { to, message } => self.messages.push_back((index, to, message)),
                    Output::Apply { index, entry } => match &entry.payload {
                        Payload::Data(data) => {
                            let command = Command::decode(data).unwrap();
                            replica.machine.apply(index, &command);
                            if let (ReplicaState::Leader, Command::Approve { at, .. }) =
                                (raft.replica_state(), command)
                            {
                                self.acknowledged.push(at.0);
                            }
                        }
                        _ => replica.machine.advance_applied(index),
                    },
                    Output::InstallSnapshot(snapshot) => {
                        replica.machine = ControlState::decode(&snapshot.data).unwrap();
                    }
                    _ => {}
                }
            }
        }
    }

    fn save_snapshot(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        let Some((raft, storage)) = &mut replica.running else {
            return;
        };
        let data = replica.machine.encode().unwrap();
        let Some(snapshot) = raft.snapshot_at(replica.machine.applied(), data) else {
            return;
        };
        if storage.save_snapshot(&snapshot).is_err() {
            replica.running = None;
            return;
        }
        self.input(index, Input::SnapshotSaved(Arc::new(snapshot)));
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now = self.now.after(Millis(TICK_MS));
            for index in 0..3 {
                self.input(index, Input::Tick);
            }
            for _ in 0..1000 {
                let Some((from, to, message)) = self.messages.pop_front() else {
                    break;
                };
                let to = (0..3).find(|index| name(*index) == to).unwrap();
                let from = name(from);
                self.input(to, Input::Message { from, message });
            }
        }
    }

    /// Proposes an approval whose time `at` is set to the number of its request.
    fn approve(&mut self, index: usize) {
        self.requests += 1;
        let command = Command::Approve {
            request: format!("r{}", self.requests).into(),
            base: self.replicas[index].machine.version(),
            operator: "someone".to_owned(),
            answers: format!("answers {}", self.requests),
            config: MeshConfig::default(),
            at: Millis(self.requests),
        };
        let data = command.encode().unwrap();
        let token = Token(self.requests);
        self.input(index, Input::Propose { token, data });
    }
}

#[derive(Clone, Debug)]
enum Event {
    Run(u64),
    Approve,
    SaveSnapshot(usize),
    Stop(usize),
    FailAfter(usize, u64),
    Start(usize),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => (50..2000u64).prop_map(Event::Run),
        6 => Just(Event::Approve),
        2 => (0..3usize).prop_map(Event::SaveSnapshot),
        1 => (0..3usize).prop_map(Event::Stop),
        2 => (0..3usize, 0..12u64).prop_map(|(index, count)| Event::FailAfter(index, count)),
        3 => (0..3usize).prop_map(Event::Start),
    ];
    prop::collection::vec(event, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against writes that the storage refuses, and against losing acknowledged approvals
    /// when replicas stop or their disks fail.
    #[test]
    fn group_stops_and_disk_failures(list in events()) {
        let mut group = Group::new();
        group.run(3000);
        for event in list {
            match event {
                Event::Run(ms) => group.run(ms),
                Event::Approve => (0..3).for_each(|index| group.approve(index)),
                Event::SaveSnapshot(index) => group.save_snapshot(index),
                Event::Stop(index) => group.replicas[index].running = None,
                Event::FailAfter(index, count) => {
                    group.replicas[index].remaining_operations.store(count, Ordering::Relaxed);
                }
                Event::Start(index) => group.start(index),
            }
        }
        for index in 0..3 {
            group.replicas[index].running = None;
            group.start(index);
        }
        group.run(10_000);
        let replica_states = group.replicas.iter().map(|replica| {
            replica.running.as_ref().map(|(raft, _)| raft.replica_state())
        });
        prop_assert!(replica_states
            .into_iter()
            .any(|replica_state| replica_state == Some(ReplicaState::Leader)));
        let state = &group.replicas[0].machine;
        for replica in &group.replicas {
            prop_assert_eq!(&replica.machine, state);
        }
        for number in &group.acknowledged {
            let request = format!("r{number}").into();
            let in_history = state.history().any(|record| record.at == Millis(*number));
            let bases = (0..=state.version().0).map(sycamoreflow_state::ids::ConfigVersion);
            let answers = format!("answers {number}");
            let is_known = bases.into_iter().any(|base| {
                let outcome = state.outcome(&request, base, &answers);
                outcome.is_some()
            });
            prop_assert!(in_history || is_known, "request {number} was lost");
        }
    }
}
