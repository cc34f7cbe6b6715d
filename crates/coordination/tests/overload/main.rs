//! Load patterns under which calls are delayed or refused: which callers pay for it, and whether
//! service returns with the load.

#![allow(clippy::unwrap_used)]

mod mesh;

use rstest::rstest;

use mesh::{DEADLINE, HOSTS, Kind, Mesh, Pattern, SLOTS, URGENT, USUAL, run};

/// Guards against urgent requests that are served less often than a burst of less urgent ones, and
/// against a less urgent kind that gets no service beside a burst of urgent ones.
#[test]
fn load_burst_of_one_kind() {
    for (burst, other) in [(0, 1), (1, 0)] {
        let load = match burst {
            0 => |now: u64, kind: &Kind| match (now / 1_000, kind.priority) {
                (4..8, 0) => 1.6,
                _ => 0.7 * kind.share,
            },
            _ => |now: u64, kind: &Kind| match (now / 1_000, kind.priority) {
                (4..8, 2) => 1.6,
                _ => 0.7 * kind.share,
            },
        };
        let mesh = run(Pattern {
            load,
            ..Pattern::default()
        });
        let served = mesh.served(4..8);
        assert!(
            served[0] >= served[1] - 0.05,
            "burst of {burst}: {served:?}"
        );
        assert!(
            served[other] >= 0.25 * served[burst],
            "burst of {burst}: {served:?}"
        );
        let later = mesh.in_time(8 + DEADLINE / 1_000);
        assert!(later > 0.9, "burst of {burst}: {later}");
    }
}

/// Guards against one account whose load leaves others without service, at equal priority.
#[test]
fn load_hot_account() {
    let quiet = Kind {
        tenant: "yards",
        priority: 1,
        ..URGENT
    };
    let hot = Kind {
        tenant: "hauliers",
        priority: 1,
        ..USUAL
    };
    let mesh = run(Pattern {
        kinds: vec![quiet, hot],
        load: |now, kind| match (now / 1_000, kind.tenant) {
            (4..10, "hauliers") => 2.0,
            _ => 0.7 * kind.share,
        },
        ..Pattern::default()
    });
    let served = mesh.served(4..10);
    assert!(served[0] >= 0.9, "{served:?}");
    assert!(served[1] >= 0.25 * served[0], "{served:?}");
}

/// Guards against requests that go to hosts that are slow at the moment: a sixth of the time each
/// host is 2.5 times slower, in periods of 600 ms.
#[test]
fn load_slow_sixth() {
    let mesh = run(Pattern {
        pace: |now, host| {
            let period = now / 600 + host as u64 * 7;
            if period.is_multiple_of(6) { 250 } else { 100 }
        },
        ..Pattern::default()
    });
    let served = mesh.served(2..16);
    assert!(served.iter().all(|ratio| *ratio > 0.99), "{served:?}");
    for second in 2..16 {
        assert!(
            mesh.in_time(second) > 0.9,
            "{second}: {}",
            mesh.in_time(second)
        );
    }
}

/// Guards against a service that sheds a part of its calls and is therefore left without calls.
#[test]
fn load_shedding_service() {
    let mesh = run(Pattern {
        sheds: 0.3,
        ..Pattern::default()
    });
    let served = mesh.served(2..16);
    assert!(served.iter().all(|ratio| *ratio > 0.9), "{served:?}");
}

/// A load of 2.5 times the capacity for 5 s, then 0.9 times the capacity.
fn overload(hasty: bool) -> Mesh {
    run(Pattern {
        load: |now, kind| match now / 1_000 {
            3..8 => 2.5 * kind.share,
            8.. => 0.9 * kind.share,
            _ => 0.7 * kind.share,
        },
        hasty,
        ..Pattern::default()
    })
}

/// Guards against a collapse that outlasts its cause, with callers that return when they are told
/// and with callers that return at once. Callers who are refused while others return may return
/// themselves, each until its deadline.
#[rstest]
#[case::told(false)]
#[case::hasty(true)]
fn load_after_overload(#[case] hasty: bool) {
    let mesh = overload(hasty);
    let during = mesh.served(3..8);
    assert!(during.iter().all(|ratio| *ratio >= 0.1), "{during:?}");
    let capacity = (HOSTS * SLOTS) as f64 * 1_000.0;
    let used = (4..9).map(|second| mesh.answered[&second] / capacity);
    let used: Vec<f64> = used.collect();
    assert!(used.iter().all(|ratio| *ratio > 0.8), "{used:?}");
    let later: Vec<f64> = (8 + 2 * DEADLINE / 1_000..20)
        .map(|second| mesh.in_time(second))
        .collect();
    assert!(later.iter().all(|ratio| *ratio > 0.9), "{later:?}");
}

/// Guards against callers who are late longer than a second after an overload, because slots go to
/// others who return and can only be late.
#[test]
fn load_second_after_overload() {
    let in_time = overload(false).in_time(9);
    assert!(in_time > 0.8, "{in_time}");
}

/// Guards against a collapse after a power loss: no upstream is known at first, they appear over
/// two seconds and are twice as slow for three more, and refused callers return.
#[test]
fn load_after_power_loss() {
    let mesh = run(Pattern {
        appears: |host| 1_000 + host as u64 * 2_000 / HOSTS as u64,
        pace: |now, _| if now < 5_000 { 200 } else { 100 },
        reports_pace: false,
        ..Pattern::default()
    });
    let goodput: Vec<f64> = (0..12).map(|second| mesh.in_time(second)).collect();
    // All hosts are there in second 3 and have half of their capacity until second 5.
    assert!(
        goodput[3..6].iter().all(|ratio| *ratio > 0.25),
        "{goodput:?}"
    );
    assert!(goodput[7..].iter().all(|ratio| *ratio > 0.8), "{goodput:?}");
}
