use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis};

use super::{Activation, FLOOR_STAGE_TIMEOUT, FloorRecovery, Staging, Witness};

fn ids(count: usize) -> Vec<DaemonId> {
    let names = (0..count).map(|i| DaemonId::from(format!("w{i}")));
    names.collect()
}

/// Guards against a delayed stage request that lowers a recorded floor.
#[test]
fn stage_late_message() {
    let mut witness = Witness::default();
    let daemon = DaemonId::from("d");
    witness.stage(&daemon, ConfigVersion(7));
    assert_eq!(witness.stage(&daemon, ConfigVersion(3)), ConfigVersion(7));
    assert_eq!(witness.floor(&daemon), Some(ConfigVersion(7)));
}

/// Guards against an activation before a majority has recorded the version, and against a wait
/// without a timeout.
#[rstest]
#[case::three_of_five(5, 3, true)]
#[case::two_of_five(5, 2, false)]
#[case::two_of_three(3, 2, true)]
#[case::no_witnesses(0, 0, true)]
fn poll_answers(#[case] count: usize, #[case] answers: usize, #[case] witnessed: bool) {
    let witnesses = ids(count);
    let mut staging = Staging::new(witnesses.clone());
    let version = ConfigVersion(4);
    staging.start(Millis(100), version);
    assert_eq!(staging.due_requests(Millis(100)).len(), count);
    for witness in witnesses.iter().take(answers) {
        staging.record_staged(witness, version);
    }
    let early = staging.poll(Millis(101));
    if witnessed {
        assert_eq!(early, Activation::Activate { version, witnessed });
        return;
    }
    assert_eq!(early, Activation::Wait);
    let late = Millis(100).after(FLOOR_STAGE_TIMEOUT);
    assert_eq!(
        staging.poll(late),
        Activation::Activate { version, witnessed }
    );
    // The missing witnesses still receive requests after the activation.
    assert_eq!(staging.due_requests(Millis(10_000)).len(), count - answers);
}

/// Guards against counting the answer of a witness that has lost its records.
#[test]
fn floor_unknown_answers() {
    let witnesses = ids(3);
    let mut recovery = FloorRecovery::new(witnesses.clone());
    recovery.record_answer(&witnesses[0], Some(ConfigVersion(5)));
    recovery.record_answer(&witnesses[1], None);
    recovery.record_answer(&DaemonId::from("stranger"), Some(ConfigVersion(9)));
    assert_eq!(recovery.floor(), None);
    recovery.record_answer(&witnesses[2], Some(ConfigVersion(2)));
    assert_eq!(recovery.floor(), Some(ConfigVersion(5)));
}

/// Guards against a floor without witnesses, with which a daemon would start at any version.
#[test]
fn floor_no_witnesses() {
    assert_eq!(FloorRecovery::new(ids(0)).floor(), None);
}

proptest! {
    /// Guards against a recovered floor below a version that was activated with a majority, when
    /// any stage requests are lost and any minority of the witnesses restarts.
    #[test]
    fn recovery_after_lost_messages(
        delivered in prop::collection::vec(prop::collection::vec(any::<bool>(), 5), 1..20),
        restarted in prop::collection::btree_set(0usize..5, 0..3),
        reachable in prop::collection::vec(any::<bool>(), 5),
    ) {
        let names = ids(5);
        let daemon = DaemonId::from("d");
        let mut witnesses: Vec<Witness> = names.iter().map(|_| Witness::default()).collect();
        let mut staging = Staging::new(names.clone());
        let mut activated = ConfigVersion(0);
        for (step, delivered) in delivered.iter().enumerate() {
            let now = Millis(1_000 * (step as u64 + 1));
            staging.start(now, ConfigVersion(step as u64 + 1));
            for (id, version) in staging.due_requests(now) {
                let at = names.iter().position(|name| *name == id).expect("known witness");
                if !delivered[at] {
                    continue;
                }
                let floor = witnesses[at].stage(&daemon, version);
                staging.record_staged(&id, floor);
            }
            if let Activation::Activate { version, witnessed: true } = staging.poll(now) {
                activated = version;
            }
        }
        for at in restarted {
            witnesses[at] = Witness::default();
        }
        let mut recovery = FloorRecovery::new(names.clone());
        for (at, name) in names.iter().enumerate() {
            if reachable[at] {
                recovery.record_answer(name, witnesses[at].floor(&daemon));
            }
        }
        if let Some(floor) = recovery.floor() {
            prop_assert!(floor >= activated, "floor {floor} is below {activated}");
        }
    }
}
