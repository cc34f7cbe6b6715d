//! Tests of control replicas that do not vote.

use std::time::{Duration, Instant};

use async_std::task;
use sycamoreflow_testbed::mesh::{Host, Mesh};

const ANSWERS: &str = include_str!("../examples/quickstart/answers.toml");
/// Longest wait for a state of the mesh. It is long because a busy machine may suspend the test.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against a replica beyond the configured voters that never joins the group, that votes, or
/// that does not serve the latest version.
#[async_std::test]
async fn start_non_voting_replica() {
    let host = |index: usize| Host {
        daemon: format!("amman-{index}"),
        data_centre: format!("amman-{}", ["a", "b", "c"][index % 3]),
    };
    let hosts: Vec<Host> = (0..4).map(host).collect();
    let mesh = Mesh::start_with("amman", &hosts, 4)
        .await
        .expect("the mesh starts");
    let operator = mesh.operator();
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let status = operator.status(TIMEOUT).await.expect("the leader answers");
        let voters = status.replicas.iter().filter(|r| r.voter).count();
        if status.replicas.len() == 4 && status.replicas.iter().all(|r| r.reachable) {
            assert_eq!(voters, 3);
            break;
        }
        assert!(
            Instant::now() < deadline,
            "a replica has not joined the group: {:?}",
            status.replicas
        );
        task::sleep(Duration::from_millis(50)).await;
    }
    let approved = operator.approve("members-1", ANSWERS, TIMEOUT).await;
    let approved = approved.expect("the answers are approved");
    let converged = operator
        .wait_for_convergence(approved.version, 4, TIMEOUT)
        .await;
    converged.expect("the version is in force");
    let status = operator.status(TIMEOUT).await.expect("the leader answers");
    let indices: Vec<u64> = status.replicas.iter().map(|r| r.log_index).collect();
    assert!(indices.iter().all(|index| *index > 0), "{indices:?}");
}
