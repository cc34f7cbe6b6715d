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

const CAUGHT_UP: (bool, bool, u64) = (true, true, 100);
const UNREACHABLE: (bool, bool, u64) = (true, false, 100);
const LAGGING: (bool, bool, u64) = (true, true, 5);
const LEARNER: (bool, bool, u64) = (false, true, 100);

/// Guards against a status that reports a repaired control group as fault tolerant, although one
/// more failed voter would cost it its quorum.
#[rstest]
#[case::three_of_three(&[CAUGHT_UP, CAUGHT_UP, CAUGHT_UP], true)]
#[case::two_of_three(&[CAUGHT_UP, CAUGHT_UP, UNREACHABLE], false)]
#[case::third_lags(&[CAUGHT_UP, CAUGHT_UP, LAGGING], false)]
#[case::learner_does_not_vote(&[CAUGHT_UP, CAUGHT_UP, UNREACHABLE, LEARNER], false)]
#[case::four_of_five(&[CAUGHT_UP, CAUGHT_UP, CAUGHT_UP, CAUGHT_UP, UNREACHABLE], true)]
#[case::three_of_five(&[CAUGHT_UP, CAUGHT_UP, CAUGHT_UP, UNREACHABLE, UNREACHABLE], false)]
#[case::single(&[CAUGHT_UP], false)]
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
        evacuations: Vec::new(),
        remaining: Vec::new(),
    };
    assert_eq!(status.tolerates_one_voter_failure(), expected);
}
