use proptest::prelude::*;

use super::super::{ReportState, SuspectEntry, Suspects};
use super::*;

const DAEMONS: usize = 6;
const REPLICAS: usize = 3;
const REPORT_ENTRIES: usize = 30;

fn request(number: usize) -> Fingerprint {
    Fingerprint::of(&"grocers".into(), "POST", "/orders", &number.to_le_bytes())
}

fn report(entries: &[(usize, u64, bool)]) -> SuspectReport {
    let entry = |&(number, seq, cleared): &(usize, u64, bool)| SuspectEntry {
        request: request(number),
        crash: CrashId {
            daemon: "d9".into(),
            boot: 1,
            seq,
        },
        remaining: Millis(60_000),
        alone: false,
        cleared,
    };
    SuspectReport {
        entries: entries.iter().map(entry).collect(),
    }
}

fn entries(batch: Option<SuspectReport>) -> usize {
    batch.map_or(0, |batch| batch.entries.len())
}

/// Guards against batches that repeat unchanged records, omit changed ones or exceed the limit.
#[test]
fn next_batch_contains_changes_only() {
    let now = Millis(0);
    let mut relay = SuspectRelay::default();
    let mut cursor = RelayCursor::of_subscriber();
    let all: Vec<_> = (0..BATCH_ENTRIES + 3).map(|n| (n, 1, false)).collect();
    assert!(relay.merge(now, &report(&all), Source::Subscriber));
    assert!(!relay.merge(now, &report(&all), Source::Subscriber));
    assert_eq!(entries(relay.next_batch(now, &mut cursor)), BATCH_ENTRIES);
    assert_eq!(entries(relay.next_batch(now, &mut cursor)), 3);
    assert_eq!(relay.next_batch(now, &mut cursor), None);
    assert!(relay.merge(now, &report(&[(4, 1, true)]), Source::Subscriber));
    let changed = relay.next_batch(now, &mut cursor);
    assert_eq!(changed, Some(report(&[(4, 1, true)])));
}

/// Guards against replicas that send each other what they have learned from each other, and against
/// a replica that misses the records from before its link was open.
#[test]
fn next_batch_to_replica() {
    let now = Millis(0);
    let mut relay = SuspectRelay::default();
    relay.merge(now, &report(&[(0, 1, false)]), Source::Replica);
    let mut cursor = relay.cursor_of_replica();
    relay.merge(now, &report(&[(1, 1, false)]), Source::Replica);
    relay.merge(now, &report(&[(2, 1, false)]), Source::Subscriber);
    let batch = relay.next_batch(now, &mut cursor);
    assert_eq!(batch, Some(report(&[(0, 1, false), (2, 1, false)])));
    // A subscriber may know a record that has reached this replica, but not all others.
    assert!(relay.merge(now, &report(&[(1, 1, false)]), Source::Subscriber));
    let batch = relay.next_batch(now, &mut cursor);
    assert_eq!(batch, Some(report(&[(1, 1, false)])));
}

/// Guards against a replica that never receives a record because its request was to be refused
/// before the record's turn came in the first batches of a new link.
#[test]
fn next_batch_first_batches_refused_later() {
    let now = Millis(0);
    let mut relay = SuspectRelay::default();
    let others: Vec<_> = (1..=BATCH_ENTRIES).map(|n| (n, 1, false)).collect();
    relay.merge(now, &report(&others), Source::Replica);
    relay.merge(now, &report(&[(0, 1, false)]), Source::Replica);
    let mut cursor = relay.cursor_of_replica();
    relay.next_batch(now, &mut cursor);
    relay.merge(now, &report(&[(0, 2, false)]), Source::Replica);
    let rest = relay.next_batch(now, &mut cursor);
    assert_eq!(rest, Some(report(&[(0, 1, false)])));
}

/// Guards against a request that crashes further upstreams while the records that refuse it wait
/// behind those of the requests that a mass crash has interrupted.
#[test]
fn next_batch_refusals_first() {
    let now = Millis(0);
    let mut relay = SuspectRelay::default();
    let mut cursor = RelayCursor::of_subscriber();
    let others: Vec<_> = (1..5 * BATCH_ENTRIES).map(|n| (n, 1, false)).collect();
    relay.merge(now, &report(&others), Source::Replica);
    relay.merge(now, &report(&[(0, 1, false)]), Source::Subscriber);
    assert_eq!(entries(relay.next_batch(now, &mut cursor)), BATCH_ENTRIES);
    relay.merge(now, &report(&[(0, 2, false)]), Source::Subscriber);
    let batch = relay.next_batch(now, &mut cursor).unwrap_or_default();
    assert_eq!(
        batch.entries[..2],
        report(&[(0, 1, false), (0, 2, false)]).entries
    );
    let mut sent = BATCH_ENTRIES + batch.entries.len();
    while let Some(batch) = relay.next_batch(now, &mut cursor) {
        sent += batch.entries.len();
    }
    assert_eq!(sent, others.len() + 2, "each record once");
}

/// Guards against memory that grows with the crashes of a mesh, and against expired records that
/// are kept.
#[test]
fn records_bounded() {
    let mut relay = SuspectRelay::default();
    for number in 0..MAX_RECORDS + 10 {
        relay.merge(Millis(0), &report(&[(number, 1, false)]), Source::Replica);
    }
    assert_eq!(relay.len(), MAX_RECORDS);
    assert_eq!(relay.requests.len(), MAX_RECORDS);
    relay.tick(Millis(60_000));
    assert!(relay.is_empty() && relay.requests.is_empty());
}

struct Daemon {
    suspects: Suspects,
    boot: u64,
    replica: usize,
    cursor: RelayCursor,
}

struct Replica {
    relay: SuspectRelay,
    cursors: Vec<RelayCursor>,
}

/// Daemons and replicas that exchange crash records over links which may fail.
struct World {
    now: Millis,
    crashes: usize,
    records: usize,
    daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
}

#[derive(Clone, Debug)]
enum Event {
    Crash(usize, usize),
    /// A request that has crashed an upstream before crashes another one.
    CrashAgain(usize, usize),
    Complete(usize, usize),
    Report(usize),
    Batch(usize),
    Forward(usize, usize),
    /// The link of a daemon fails with a report, and the daemon subscribes to a replica.
    LoseSubscription(usize, usize),
    /// The link from one replica to another fails with a message.
    LoseReplicaLink(usize, usize),
    RestartDaemon(usize),
    RestartReplica(usize),
}

fn any_event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    let replica = 0..REPLICAS;
    prop_oneof![
        3 => (daemon.clone(), 1..4_usize).prop_map(|(d, n)| Event::Crash(d, n)),
        1 => (daemon.clone(), 0..20_usize).prop_map(|(d, n)| Event::CrashAgain(d, n)),
        3 => (daemon.clone(), 0..20_usize).prop_map(|(d, n)| Event::Complete(d, n)),
        5 => daemon.clone().prop_map(Event::Report),
        5 => daemon.clone().prop_map(Event::Batch),
        5 => (replica.clone(), replica.clone()).prop_map(|(a, b)| Event::Forward(a, b)),
        1 => (daemon.clone(), replica.clone()).prop_map(|(d, r)| Event::LoseSubscription(d, r)),
        1 => (replica.clone(), replica.clone()).prop_map(|(a, b)| Event::LoseReplicaLink(a, b)),
        1 => daemon.prop_map(Event::RestartDaemon),
        1 => replica.prop_map(Event::RestartReplica),
    ]
}

impl World {
    fn new() -> Self {
        let daemon = |number: usize| Daemon {
            suspects: Suspects::new(format!("d{number}").into(), 1),
            boot: 1,
            replica: number % REPLICAS,
            cursor: RelayCursor::of_subscriber(),
        };
        let replica = |_| Replica {
            relay: SuspectRelay::default(),
            cursors: vec![SuspectRelay::default().cursor_of_replica(); REPLICAS],
        };
        Self {
            now: Millis(0),
            crashes: 0,
            records: 0,
            daemons: (0..DAEMONS).map(daemon).collect(),
            replicas: (0..REPLICAS).map(replica).collect(),
        }
    }

    fn apply(&mut self, event: Event) {
        self.now = self.now.after(Millis(10));
        match event {
            Event::Crash(daemon, in_flight) => {
                self.crashes += 1;
                self.records += in_flight;
                let suspects = &mut self.daemons[daemon].suspects;
                for number in 0..in_flight {
                    let started = suspects.start(self.now, request(4 * self.crashes + number));
                    assert!(started.is_ok());
                }
                suspects.crashed(self.now);
            }
            Event::CrashAgain(daemon, number) => {
                let used = 4 * self.crashes + 4;
                let suspects = &mut self.daemons[daemon].suspects;
                if number < used && suspects.start(self.now, request(number)).is_ok() {
                    self.records += suspects.crashed(self.now).len();
                }
            }
            Event::Complete(daemon, number) => {
                let suspects = &mut self.daemons[daemon].suspects;
                suspects.completed(self.now, request(number));
            }
            Event::Report(daemon) => {
                self.report(daemon);
            }
            Event::Batch(daemon) => {
                self.batch(daemon);
            }
            Event::Forward(from, to) => {
                self.forward(from, to);
            }
            Event::LoseSubscription(number, replica) => {
                let daemon = &mut self.daemons[number];
                let _ = daemon.suspects.report(self.now, REPORT_ENTRIES);
                self.subscribe(number, replica);
            }
            Event::LoseReplicaLink(from, to) => {
                let Replica { relay, cursors } = &mut self.replicas[from];
                let _ = relay.next_batch(self.now, &mut cursors[to]);
                cursors[to] = relay.cursor_of_replica();
            }
            Event::RestartDaemon(number) => {
                let daemon = &mut self.daemons[number];
                daemon.boot += 1;
                daemon.suspects = Suspects::new(format!("d{number}").into(), daemon.boot);
                daemon.cursor = RelayCursor::of_subscriber();
            }
            Event::RestartReplica(number) => {
                self.replicas[number].relay = SuspectRelay::default();
                for replica in &mut self.replicas {
                    replica.cursors[number] = replica.relay.cursor_of_replica();
                }
                let empty = self.replicas[number].relay.cursor_of_replica();
                self.replicas[number].cursors = vec![empty; REPLICAS];
                for daemon in 0..DAEMONS {
                    if self.daemons[daemon].replica == number {
                        self.subscribe(daemon, (number + 1) % REPLICAS);
                    }
                }
            }
        }
    }

    fn subscribe(&mut self, daemon: usize, replica: usize) {
        let daemon = &mut self.daemons[daemon];
        daemon.replica = replica;
        daemon.cursor = RelayCursor::of_subscriber();
        daemon.suspects.report_again();
    }

    /// Delivers the report of a daemon. Returns whether there was one.
    fn report(&mut self, daemon: usize) -> bool {
        let daemon = &mut self.daemons[daemon];
        let report = daemon.suspects.report(self.now, REPORT_ENTRIES);
        let relay = &mut self.replicas[daemon.replica].relay;
        relay.merge(self.now, &report, Source::Subscriber);
        !report.entries.is_empty()
    }

    /// Delivers the next batch to a daemon. Returns whether there was one.
    fn batch(&mut self, daemon: usize) -> bool {
        let daemon = &mut self.daemons[daemon];
        let relay = &self.replicas[daemon.replica].relay;
        let Some(batch) = relay.next_batch(self.now, &mut daemon.cursor) else {
            return false;
        };
        daemon.suspects.merge(self.now, &batch);
        true
    }

    /// Delivers the next batch of one replica to another. Returns whether there was one.
    fn forward(&mut self, from: usize, to: usize) -> bool {
        let Replica { relay, cursors } = &mut self.replicas[from];
        if from == to {
            return false;
        }
        let Some(batch) = relay.next_batch(self.now, &mut cursors[to]) else {
            return false;
        };
        let relay = &mut self.replicas[to].relay;
        relay.merge(self.now, &batch, Source::Replica);
        true
    }

    /// Delivers everything that is pending once. Returns the number of messages.
    fn deliver(&mut self) -> usize {
        let mut messages = 0;
        for daemon in 0..DAEMONS {
            messages += usize::from(self.report(daemon));
        }
        for from in 0..REPLICAS {
            for to in 0..REPLICAS {
                messages += usize::from(self.forward(from, to));
            }
        }
        for daemon in 0..DAEMONS {
            messages += usize::from(self.batch(daemon));
        }
        messages
    }
}

proptest! {
    /// Guards against dissemination that doesn't end, and against observations of a running daemon
    /// that some daemon never learns after losses, restarts and messages in any order.
    #[test]
    fn dissemination_ends_and_is_complete(events in prop::collection::vec(any_event(), 1..80)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
        // At most four times each: `alone` does not change once a crash is recorded.
        let rounds = 4 + (4 * world.records).div_ceil(BATCH_ENTRIES);
        for _ in 0..rounds {
            world.deliver();
        }
        prop_assert_eq!(world.deliver(), 0, "messages after {} rounds", rounds);
        for observer in &world.daemons {
            for (request, records) in &observer.suspects.requests {
                for (crash, known) in records {
                    if known.report == ReportState::Learned {
                        continue;
                    }
                    for daemon in &world.daemons {
                        let learned = daemon.suspects.requests.get(request);
                        let learned = learned.and_then(|records| records.get(crash));
                        let (alone, cleared) = (known.record.alone, known.record.cleared);
                        let has_all = learned.is_some_and(|learned| {
                            learned.record.alone >= alone && learned.record.cleared >= cleared
                        });
                        prop_assert!(has_all, "a daemon lacks {:?}", crash);
                    }
                }
            }
        }
    }
}
