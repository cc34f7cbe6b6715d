//! Messages and bytes of crash records, counted without links and clocks.

use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::suspect::Suspects;
use sycamoreflow_coordination::suspect::relay::{
    BATCH_INTERVAL, RelayCursor, Source, SuspectRelay,
};
use sycamoreflow_protocol::codec;
use sycamoreflow_protocol::distribution::{FromReplica, FromSubscriber};
use sycamoreflow_protocol::replica::ReplicaMessage;
use sycamoreflow_state::ids::Millis;

use crate::table::{Measure, Table, measure};

const DAEMONS: [usize; 3] = [30, 100, 300];
const REPLICAS: usize = 3;
/// Requests in flight at an upstream that crashes. All but the first complete elsewhere later.
const IN_FLIGHT: usize = 6;
/// Maximum number of records in a report, as in the daemon.
const REPORT_ENTRIES: usize = 30;
/// One of so many upstreams crashes, where many do.
const CRASHED_PART: usize = 7;

const ONE_MESSAGES: Measure = measure("one crash: messages", "daemons", "");
const ONE_BYTES: Measure = measure("one crash: bytes", "daemons", "B");
const MANY_MESSAGES: Measure = measure("a seventh crash: messages", "daemons", "");
const MANY_BYTES: Measure = measure("a seventh crash: bytes", "daemons", "B");
const MANY_PEAK: Measure = measure("a seventh crash: received in 1 s", "daemons", "B");
const MANY_TIME: Measure = measure("a seventh crash: until all know", "daemons", "s");

struct Daemon {
    suspects: Suspects,
    cursor: RelayCursor,
}

struct Replica {
    relay: SuspectRelay,
    cursors: Vec<RelayCursor>,
}

struct World {
    now: Millis,
    daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
    messages: usize,
    bytes: usize,
    /// Largest number of bytes that a daemon has received in one interval.
    peak: usize,
}

impl World {
    fn new(daemons: usize) -> Self {
        let daemon = |number| Daemon {
            suspects: Suspects::new(format!("host-{number:05}").into(), 1_796_615_068_549),
            cursor: RelayCursor::of_subscriber(),
        };
        let replica = |_| {
            let relay = SuspectRelay::default();
            let cursors = vec![relay.cursor_of_replica(); REPLICAS];
            Replica { relay, cursors }
        };
        Self {
            now: Millis(1_000),
            daemons: (0..daemons).map(daemon).collect(),
            replicas: (0..REPLICAS).map(replica).collect(),
            messages: 0,
            bytes: 0,
            peak: 0,
        }
    }

    fn crash(&mut self, daemon: usize) -> eyre::Result<()> {
        let suspects = &mut self.daemons[daemon].suspects;
        for number in 0..IN_FLIGHT {
            let started = suspects.start(self.now, request(daemon, number));
            started.map_err(|failure| eyre::eyre!("{failure:?}"))?;
        }
        suspects.crashed(self.now);
        Ok(())
    }

    /// Completes all but one of the requests that a crash has interrupted. The daemon beside the
    /// other upstream and the daemon of the caller observe it.
    fn complete(&mut self, crashed: usize) {
        for number in 1..IN_FLIGHT {
            for observer in [crashed + 1, crashed + 2] {
                let observer = observer % self.daemons.len();
                let suspects = &mut self.daemons[observer].suspects;
                suspects.completed(self.now, request(crashed, number));
            }
        }
    }

    fn count(&mut self, frame: &[u8]) {
        self.messages += 1;
        self.bytes += frame.len();
    }

    /// Exchanges records until nothing is pending. Returns the number of intervals.
    fn exchange(&mut self) -> eyre::Result<usize> {
        for interval in 0.. {
            let before = self.messages;
            for number in 0..self.daemons.len() {
                self.report(number)?;
            }
            for from in 0..REPLICAS {
                for to in (0..REPLICAS).filter(|to| *to != from) {
                    self.forward(from, to)?;
                }
            }
            for number in 0..self.daemons.len() {
                self.deliver(number)?;
            }
            if self.messages == before {
                return Ok(interval);
            }
            self.now = self.now.after(BATCH_INTERVAL);
        }
        Ok(0)
    }

    fn report(&mut self, number: usize) -> eyre::Result<()> {
        let report = self.daemons[number]
            .suspects
            .report(self.now, REPORT_ENTRIES);
        if report.entries.is_empty() {
            return Ok(());
        }
        self.count(&codec::encode(&FromSubscriber::Suspects(report.clone()))?);
        let relay = &mut self.replicas[number % REPLICAS].relay;
        relay.merge(self.now, &report, Source::Subscriber);
        Ok(())
    }

    fn forward(&mut self, from: usize, to: usize) -> eyre::Result<()> {
        let Replica { relay, cursors } = &mut self.replicas[from];
        let Some(batch) = relay.next_batch(self.now, &mut cursors[to]) else {
            return Ok(());
        };
        self.count(&codec::encode(&ReplicaMessage::Suspects(batch.clone()))?);
        let relay = &mut self.replicas[to].relay;
        relay.merge(self.now, &batch, Source::Replica);
        Ok(())
    }

    fn deliver(&mut self, number: usize) -> eyre::Result<()> {
        let relay = &self.replicas[number % REPLICAS].relay;
        let cursor = &mut self.daemons[number].cursor;
        let Some(batch) = relay.next_batch(self.now, cursor) else {
            return Ok(());
        };
        let frame = FromReplica::Suspects(batch.clone()).to_frame()?;
        self.count(&frame);
        self.peak = self.peak.max(frame.len());
        self.daemons[number].suspects.merge(self.now, &batch);
        Ok(())
    }
}

fn request(daemon: usize, number: usize) -> Fingerprint {
    let path = format!("/orders/{daemon}/{number}");
    Fingerprint::of(&"grocers".into(), "GET", &path, b"")
}

/// Counts what one crash costs, and what the crash of a seventh of all upstreams costs.
pub(crate) fn crashes(table: &mut Table) -> eyre::Result<()> {
    for daemons in DAEMONS {
        let size = daemons as f64;
        let mut world = World::new(daemons);
        world.crash(0)?;
        world.exchange()?;
        world.complete(0);
        world.exchange()?;
        table.add(ONE_MESSAGES, size, world.messages as f64);
        table.add(ONE_BYTES, size, world.bytes as f64);

        let mut world = World::new(daemons);
        let crashed = || (0..daemons).step_by(CRASHED_PART);
        for daemon in crashed() {
            world.crash(daemon)?;
        }
        let mut intervals = world.exchange()?;
        for daemon in crashed() {
            world.complete(daemon);
        }
        intervals += world.exchange()?;
        table.add(MANY_MESSAGES, size, world.messages as f64);
        table.add(MANY_BYTES, size, world.bytes as f64);
        table.add(MANY_PEAK, size, world.peak as f64);
        let seconds = intervals as f64 * BATCH_INTERVAL.0 as f64 / 1_000.0;
        table.add(MANY_TIME, size, seconds);
    }
    Ok(())
}
