use rstest::rstest;

use super::{Convergence, ReplicaStatus, StatusResponse};
use crate::ids::{ConfigVersion, EndpointVersion};

fn replica(at: usize, (voter, reachable, log_index): (bool, bool, u64)) -> ReplicaStatus {
    ReplicaStatus {
        daemon: format!("r{at}").into(),
        voter,
        reachable,
        log_index,
    }
}

const GOOD: (bool, bool, u64) = (true, true, 100);
const AWAY: (bool, bool, u64) = (true, false, 100);
const COPYING: (bool, bool, u64) = (true, true, 5);
const LEARNER: (bool, bool, u64) = (false, true, 100);

/// Guards against a repair that is reported as done while one more loss would stop the group.
#[rstest]
#[case::three_of_three(&[GOOD, GOOD, GOOD], true)]
#[case::two_of_three(&[GOOD, GOOD, AWAY], false)]
#[case::third_is_copying(&[GOOD, GOOD, COPYING], false)]
#[case::learner_does_not_vote(&[GOOD, GOOD, AWAY, LEARNER], false)]
#[case::four_of_five(&[GOOD, GOOD, GOOD, GOOD, AWAY], true)]
#[case::three_of_five(&[GOOD, GOOD, GOOD, AWAY, AWAY], false)]
#[case::single(&[GOOD], false)]
#[case::none(&[], false)]
fn tolerates_one_voter_failure_replicas(
    #[case] replicas: &[(bool, bool, u64)],
    #[case] expected: bool,
) {
    let replicas = replicas.iter().enumerate();
    let status = StatusResponse {
        mesh: "sfax".to_owned(),
        daemon: "r0".into(),
        config: ConfigVersion(1),
        endpoints: EndpointVersion::default(),
        leader: Some("r0".into()),
        replicas: replicas.map(|(at, state)| replica(at, *state)).collect(),
        convergence: Convergence::default(),
        rollouts: Vec::new(),
    };
    assert_eq!(status.tolerates_one_voter_failure(), expected);
}
