#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::super::Command;
use super::*;

fn drain(draining: bool) -> Command {
    Command::Drain {
        daemon: "a".into(),
        draining,
    }
}

fn end(order: u64) -> Command {
    Command::EndDrain {
        daemon: "a".into(),
        order,
    }
}

/// Guards against an order that is lost with a snapshot, and against one that can't be withdrawn.
#[test]
fn apply_drain_snapshot() {
    let mut state = ControlState::default();
    state.apply(1, &drain(true));
    let mut state = ControlState::decode(&state.encode().unwrap()).unwrap();
    assert!(state.drains().iter().eq([(&"a".into(), 1)]));
    state.apply(2, &drain(false));
    assert!(!state.drains().contains(&"a".into()));
}

/// Guards against an acknowledged order that is ended because the endpoints of an earlier one have
/// left.
#[test]
fn end_drain_earlier_order() {
    let mut state = ControlState::default();
    state.apply(1, &drain(true));
    state.apply(2, &drain(true));
    state.apply(3, &end(1));
    assert!(state.drains().contains(&"a".into()));
    state.apply(4, &end(2));
    assert!(!state.drains().contains(&"a".into()));
}
