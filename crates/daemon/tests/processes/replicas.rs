//! Control replicas that are suspended or lose their data folder, and the daemons that each serves.

use std::time::Duration;

use async_std::task;
use eyre::{ensure, eyre};
use rstest::rstest;
use sycamoreflow_coordination::distribution::home_replica;
use sycamoreflow_state::ids::DaemonId;
use sycamoreflow_state::operator::StatusResponse;
use sycamoreflow_testbed::operator::Operator;
use sycamoreflow_testbed::process::ProcessMesh;

use crate::support::{
    LIMIT, VersionWatch, answers, approve_everywhere, mesh, run, wait_for, wait_for_version,
};

/// How long a replica stays suspended after the others have applied newer versions. It exceeds the
/// silence timeout of 2 s, after which links to the replica are closed.
const SUSPENSION_TIME: Duration = Duration::from_secs(3);

/// Number of log entries that a replica must not apply without handling messages in between.
const MAX_ENTRIES_OF_STEP: u64 = 50;

/// Time after which the subscriptions of all daemons have moved to their home replicas.
const MOVE_TIME: Duration = Duration::from_secs(5);

/// How long the Raft term is observed after the replica resumes.
const WATCH: Duration = Duration::from_secs(3);

/// Guards against subscribers that stay connected to a suspended replica, a replica that serves
/// stale data after it resumes, and one that deposes the leader when it resumes.
#[rstest]
#[case::follower(false)]
#[case::leader(true)]
fn replica_frozen(#[case] suspend_leader: bool) -> eyre::Result<()> {
    run(async {
        let mesh = mesh(8)?;
        approve_everywhere(&mesh, 1).await?;
        let watch = VersionWatch::start(&mesh);
        let operator = mesh.operator();
        let term_before = operator.status(LIMIT).await?.endpoints.term;
        let leader_index = leader_of(&mesh, &operator).await?;
        let suspended = if suspend_leader {
            leader_index
        } else {
            (leader_index + 1) % 3
        };
        mesh.suspend(suspended)?;
        let mut newest = 0;
        for weight in 2..6 {
            let request = format!("frozen-{weight}");
            let approved = operator.approve(&request, &answers(weight), LIMIT).await?;
            newest = approved.version.0;
        }
        let others: Vec<usize> = (0..mesh.len())
            .filter(|index| *index != suspended)
            .collect();
        wait_for_version(&mesh, &others, newest).await?;
        task::sleep(SUSPENSION_TIME).await;
        // The links to the suspended replica are closed, so this approval is not in its socket
        // buffers.
        let approved = operator.approve("frozen-last", &answers(6), LIMIT).await?;
        let newest = approved.version.0;
        let term_suspended = operator.status(LIMIT).await?.endpoints.term;
        ensure!(
            term_suspended <= term_before + u64::from(suspend_leader),
            "term {term_before} became {term_suspended} while a replica was suspended"
        );

        mesh.resume(suspended)?;
        let address = mesh.settings(suspended).listen.operator;
        let address = address.ok_or_else(|| eyre!("the daemon has no operator interface"))?;
        let replica_operator = Operator::new(vec![address], &token(&mesh)?);
        let config = replica_operator.config(LIMIT).await?;
        ensure!(
            config.version.0 >= newest,
            "the replica served version {} after {newest}",
            config.version
        );
        wait_for_version(&mesh, &[suspended], newest).await?;
        task::sleep(WATCH).await;
        let term_after = operator.status(LIMIT).await?.endpoints.term;
        ensure!(
            term_after == term_suspended,
            "term {term_suspended} became {term_after} after the replica resumed"
        );
        watch.finish().await
    })
}

/// Guards against daemons that stay on an old version because they try the replica that has just
/// frozen again, and wait for the timeout of the attempt, before they try another one.
#[test]
fn replica_frozen_tried_last() -> eyre::Result<()> {
    run(async {
        let mesh = mesh(18)?;
        approve_everywhere(&mesh, 1).await?;
        let operator = mesh.operator();
        for weight in 2..4 {
            // Subscriptions move to the home replicas in the first seconds.
            task::sleep(MOVE_TIME).await;
            let suspended = (leader_of(&mesh, &operator).await? + weight) % 3;
            let logged: Vec<usize> = (0..mesh.len()).map(|i| mesh.log(i).len()).collect();
            mesh.suspend(suspended)?;
            let request = format!("tried-last-{weight}");
            let approved = operator.approve(&request, &answers(weight), LIMIT).await?;
            let others: Vec<usize> = (0..mesh.len()).filter(|i| *i != suspended).collect();
            wait_for_version(&mesh, &others, approved.version.0).await?;
            let frozen = mesh.settings(suspended).daemon.as_str();
            let waited = |index: &usize| {
                let log = mesh.log(*index);
                let lines = log[logged[*index]..].lines();
                let mut lines = lines.filter(|line| line.contains(frozen));
                lines.any(|line| line.contains("opening the link timed out"))
            };
            let waited: Vec<usize> = others.into_iter().filter(waited).collect();
            ensure!(waited.is_empty(), "daemons {waited:?} waited for {frozen}");
            mesh.resume(suspended)?;
        }
        Ok(())
    })
}

/// Guards against a replica that applies a long log at its start without handling heartbeats and
/// votes in between, so that the group loses one leader after the other.
#[test]
fn restart_long_log() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(4)?;
        approve_everywhere(&mesh, 1).await?;
        let operator = mesh.operator();
        let mut newest = 0;
        for weight in 2..150 {
            let request = format!("long-log-{weight}");
            let answers = long_answers(weight);
            newest = operator.approve(&request, &answers, LIMIT).await?.version.0;
        }
        for index in 0..mesh.len() {
            mesh.kill(index);
        }
        for index in 0..mesh.len() {
            mesh.spawn(index)?;
        }
        wait_for_version(&mesh, &[0, 1, 2, 3], newest).await?;
        for index in 0..mesh.len() {
            let log = mesh.log(index);
            let entries = log.lines().filter_map(entries_of_slow_step).max();
            ensure!(
                entries.is_none_or(|entries| entries < MAX_ENTRIES_OF_STEP),
                "replica {index} applied {entries:?} entries at once"
            );
        }
        Ok(())
    })
}

/// Returns answers with many routes, which take a noticeable time to apply.
fn long_answers(weight: usize) -> String {
    let mut text = answers(weight);
    for number in 0..150 {
        text.push_str(&format!(
            "[[routes]]\nname = \"route-{number}\"\nservice = \"orders\"\n\
             prefix = \"/orders/{number}\"\nmethods = [\"GET\"]\ntimeout = \"1s\"\n"
        ));
    }
    text
}

/// Returns the number of entries that a replica applied in a step that it has logged as slow.
fn entries_of_slow_step(line: &str) -> Option<u64> {
    let fields = line.split_once("slow_step")?.1;
    let entries = fields.split_once("entries=")?.1;
    entries.split_whitespace().next()?.parse().ok()
}

/// Guards against a replica with an empty data folder that counts towards a quorum without the
/// data, or that never becomes a voter again.
#[test]
fn replica_data_folder_lost() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(4)?;
        approve_everywhere(&mesh, 1).await?;
        let operator = mesh.operator();
        let watch = VersionWatch::start(&mesh);
        let leader_index = leader_of(&mesh, &operator).await?;
        let lost = (leader_index + 1) % 3;
        let lost_name = mesh.settings(lost).daemon.clone();
        let (status_operator, name) = (&operator, &lost_name);
        mesh.kill(lost);
        // Until the leader detects the failure, the status still shows a reachable voter.
        wait_for("the replica to become unreachable", || async move {
            let status = status_operator.status(LIMIT).await;
            let lost = |status: StatusResponse| {
                let mut replicas = status.replicas.into_iter();
                replicas.any(|r| r.daemon == *name && !r.reachable)
            };
            status.is_ok_and(lost)
        })
        .await?;
        let during = operator.approve("lost-2", &answers(2), LIMIT).await?;
        mesh.delete_data(lost)?;
        mesh.spawn(lost)?;
        let after = operator.approve("lost-3", &answers(3), LIMIT).await?;
        ensure!(after.version > during.version);
        wait_for("the replica to become a voter again", || async move {
            let Ok(status) = status_operator.status(LIMIT).await else {
                return false;
            };
            let mut replicas = status.replicas.iter();
            status.replicas.len() == 3
                && replicas.any(|r| r.daemon == *name && r.voter && r.reachable)
        })
        .await?;

        let second = leader_of(&mesh, &operator).await?;
        let second = if second == lost { leader_index } else { second };
        mesh.kill(second);
        let config = operator.config(LIMIT).await?;
        ensure!(config.version >= after.version, "{}", config.version);
        ensure!(
            config.answers == answers(3),
            "different answers are in force"
        );
        let history = format!("{:?}", operator.history(LIMIT).await?);
        for request in ["setup-1", "lost-2", "lost-3"] {
            ensure!(history.contains(request), "{request} is lost: {history}");
        }
        let newest = operator.approve("lost-4", &answers(4), LIMIT).await?;
        let alive: Vec<usize> = (0..mesh.len()).filter(|index| *index != second).collect();
        wait_for_version(&mesh, &alive, newest.version.0).await?;
        watch.finish().await
    })
}

/// Guards against replicas that serve many more subscribers than others: each daemon moves its
/// subscription to its home replica.
#[test]
fn subscribers_move_home() -> eyre::Result<()> {
    run(async {
        let mesh = mesh(15)?;
        approve_everywhere(&mesh, 1).await?;
        let replicas: Vec<DaemonId> = (0..3).map(|i| mesh.settings(i).daemon.clone()).collect();
        let mut expected = vec![0; replicas.len()];
        for index in 0..mesh.len() {
            let home = home_replica(&mesh.settings(index).daemon, &replicas);
            let home = home.and_then(|home| replicas.iter().position(|id| id == home));
            expected[home.ok_or_else(|| eyre!("no home replica"))?] += 1;
        }
        let (mesh, expected) = (&mesh, &expected);
        wait_for("all daemons at their home replicas", || async move {
            let mut extra = 0;
            for (index, expected) in expected.iter().enumerate() {
                let subscribers = mesh.metric(index, "sycamoreflow_subscribers").await;
                let subscribers = subscribers.unwrap_or_default() as usize;
                // The two followers are subscribers of the leader, too.
                match subscribers.checked_sub(*expected) {
                    Some(difference @ (0 | 2)) => extra += difference,
                    _ => return false,
                }
            }
            extra == 2
        })
        .await
    })
}

async fn leader_of(mesh: &ProcessMesh, operator: &Operator) -> eyre::Result<usize> {
    let leader = operator.status(LIMIT).await?.leader;
    let leader = leader.ok_or_else(|| eyre!("the status names no leader"))?;
    let index = mesh.position(leader.as_str());
    index.ok_or_else(|| eyre!("{leader} is not a host of the mesh"))
}

fn token(mesh: &ProcessMesh) -> eyre::Result<String> {
    let file = mesh.folder().join("operator.token");
    Ok(std::fs::read_to_string(file)?)
}
