//! Costs of recording departures: the log entry of a batch, and its application at each replica.

use sycamoreflow_coordination::machine::departures::DepartureBatch;
use sycamoreflow_coordination::machine::{Command, ControlState};
use sycamoreflow_state::endpoint::Departure;
use sycamoreflow_state::ids::Millis;

use crate::meter::Meter;
use crate::table::{Measure, Table, measure};
use crate::world;

const REPEATS: usize = 5;

/// Departures per log entry.
const BATCHES: [usize; 4] = [1, 10, 100, 1_000];

/// Departures that the state holds: a quiet mesh, and one all of whose endpoints left in a minute.
const HELD: [usize; 3] = [0, 1_400, 14_000];

/// Entries over which the time of one is averaged.
const ENTRIES: usize = 20;

const BYTES: Measure = measure("bytes of a departure entry", "departures", "B");
const APPLY: Measure = measure("processor time to apply an entry", "departures", "us");
const APPLY_HELD: Measure = measure(
    "processor time to apply an entry of one",
    "departures held",
    "us",
);
const SNAPSHOT: Measure = measure("bytes of a snapshot", "departures held", "B");

fn command(first: usize, count: usize) -> Command {
    let departures = (first..first + count).map(|index| {
        let departure = Departure {
            instance: format!("i-{index:08x}"),
            started_at: 1_796_615_068_549,
            is_final: true,
        };
        (world::endpoint(index, world::SERVICES).daemon, departure)
    });
    Command::Depart(DepartureBatch {
        departures: departures.collect(),
        at: Millis(1_796_615_100_000),
    })
}

/// Applies entries of `count` departures each to a state that holds `held`. Returns the processor
/// time of one in microseconds.
fn apply_us(held: usize, count: usize) -> (f64, ControlState) {
    let mut state = ControlState::default();
    state.apply(1, &command(0, held));
    let entries: Vec<Command> = (0..ENTRIES)
        .map(|entry| command(held + entry * count, count))
        .collect();
    let meter = Meter::thread();
    for (index, entry) in entries.iter().enumerate() {
        state.apply(index as u64 + 2, entry);
    }
    (meter.cpu_us() / ENTRIES as f64, state)
}

/// Measures the entry of a batch by its size, and its application by that of the state.
pub(crate) fn departures(table: &mut Table) -> eyre::Result<()> {
    for _ in 0..REPEATS {
        for count in BATCHES {
            table.add(APPLY, count as f64, apply_us(0, count).0);
        }
        for held in HELD {
            let (us, state) = apply_us(held, 1);
            table.add(APPLY_HELD, held as f64, us);
            let bytes = state.encode().map_err(|error| eyre::eyre!(error))?.len();
            table.add(SNAPSHOT, held as f64, bytes as f64);
        }
    }
    for count in BATCHES {
        let entry = command(0, count).encode();
        let bytes = entry.map_err(|error| eyre::eyre!(error))?.len();
        table.add(BYTES, count as f64, bytes as f64);
    }
    Ok(())
}
