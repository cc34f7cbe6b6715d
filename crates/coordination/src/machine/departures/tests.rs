#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::super::Command;
use super::*;
use crate::departures::DEPARTURE_RETENTION;

fn departure(instance: &str, is_final: bool) -> Departure {
    Departure {
        instance: instance.to_owned(),
        started_at: 1_000,
        is_final,
    }
}

fn depart(daemon: &str, instance: &str, is_final: bool, at: u64) -> Command {
    Command::Depart(DepartureBatch {
        departures: vec![(daemon.into(), departure(instance, is_final))],
        at: Millis(at),
    })
}

fn recent(state: &ControlState, unix_now: u64) -> Vec<(&str, Vec<Departure>)> {
    let recent = state.departures().recent(Millis(unix_now));
    recent.map(|(daemon, of)| (daemon.as_str(), of)).collect()
}

/// Guards against a departure that is lost with a snapshot, and against one that changes the
/// configuration version, which all daemons would have to confirm.
#[test]
fn apply_departures_snapshot() {
    let mut state = ControlState::default();
    state.apply(1, &depart("a", "i-1", false, 10));
    state.apply(2, &depart("a", "i-1", true, 20));
    let state = ControlState::decode(&state.encode().unwrap()).unwrap();
    assert_eq!(recent(&state, 30), [("a", vec![departure("i-1", true)])]);
    assert_eq!(state.version().0, 0);
}

/// Guards against a state that grows with each departure, and against an instance that stays
/// excluded although its departure was recorded long ago.
#[test]
fn apply_departures_expired() {
    let mut state = ControlState::default();
    state.apply(1, &depart("a", "i-1", true, 0));
    assert_eq!(recent(&state, DEPARTURE_RETENTION.0 - 1).len(), 1);
    assert_eq!(recent(&state, DEPARTURE_RETENTION.0), []);
    state.apply(2, &depart("b", "i-2", true, DEPARTURE_RETENTION.0));
    assert_eq!(recent(&state, 0), [("b", vec![departure("i-2", true)])]);
}

/// Guards against an invalid departure of one daemon that keeps out those of the others.
#[test]
fn apply_departures_invalid() {
    let mut state = ControlState::default();
    let departures = ["", "i-1"].map(|name| ("a".into(), departure(name, true)));
    let batch = DepartureBatch {
        departures: departures.to_vec(),
        at: Millis(5),
    };
    state.apply(1, &Command::Depart(batch));
    assert_eq!(recent(&state, 5), [("a", vec![departure("i-1", true)])]);
}
