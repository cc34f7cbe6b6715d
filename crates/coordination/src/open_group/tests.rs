use rstest::rstest;

use super::*;

fn replica(id: &str, role: Role, silent_ms: u64) -> ReplicaProgress {
    ReplicaProgress {
        id: id.into(),
        role,
        reachable: silent_ms < 1_500,
        silent_for: Millis(silent_ms),
        matched: 7,
    }
}

const VOTER: Role = Role::Voter;
const LEARNER: Role = Role::Learner { promote: false };
const PROMOTING: Role = Role::Learner { promote: true };

fn remove(id: &str) -> Option<MemberChange> {
    Some(MemberChange::Remove { id: id.into() })
}

fn promote(id: &str) -> Option<MemberChange> {
    Some(MemberChange::Promote { id: id.into() })
}

fn add(id: &str, promote: bool) -> Option<MemberChange> {
    let id = id.into();
    Some(MemberChange::AddLearner { id, promote })
}

/// Guards against a group that loses its fault tolerance because a lost voter is not replaced, or
/// because a voter is replaced after a short silence.
#[rstest]
#[case::complete(&[("a", VOTER, 0), ("b", VOTER, 0), ("c", VOTER, 0)], &[], None)]
#[case::grows(&[("a", VOTER, 0), ("b", VOTER, 0)], &["x"], add("x", true))]
#[case::spare(&[("a", VOTER, 0), ("b", VOTER, 0), ("c", VOTER, 0)], &["x"], add("x", false))]
#[case::briefly_silent(&[("a", VOTER, 0), ("b", VOTER, 2_900), ("c", VOTER, 0)], &["x"], add("x", false))]
#[case::lost_with_applicant(&[("a", VOTER, 0), ("b", VOTER, 3_000), ("c", VOTER, 0)], &["x"], add("x", true))]
#[case::lost_with_spare(
    &[("a", VOTER, 0), ("b", VOTER, 3_000), ("c", VOTER, 0), ("d", LEARNER, 0)], &["x"], promote("d"))]
#[case::lost_without_spare(&[("a", VOTER, 0), ("b", VOTER, 9_000), ("c", VOTER, 0)], &[], None)]
#[case::waits_for_promotion(
    &[("a", VOTER, 0), ("b", VOTER, 500), ("c", PROMOTING, 0)], &["x"], add("x", false))]
#[case::removes_lost(
    &[("a", VOTER, 0), ("b", VOTER, 3_000), ("c", VOTER, 0), ("d", VOTER, 0)], &[], remove("b"))]
#[case::keeps_extra_voter(
    &[("a", VOTER, 0), ("b", VOTER, 0), ("c", VOTER, 0), ("d", VOTER, 0)], &[], None)]
#[case::forgets_learner(
    &[("a", VOTER, 0), ("b", VOTER, 0), ("c", VOTER, 0), ("d", LEARNER, 30_000)], &[], remove("d"))]
fn next_change_case(
    #[case] replicas: &[(&str, Role, u64)],
    #[case] applicants: &[&str],
    #[case] expected: Option<MemberChange>,
) {
    let replicas: Vec<_> = replicas
        .iter()
        .map(|(id, role, silent)| replica(id, *role, *silent))
        .collect();
    let applicants: Vec<DaemonId> = applicants.iter().map(|id| DaemonId::from(*id)).collect();
    assert_eq!(next_change(&replicas, &applicants, 3), expected);
}
