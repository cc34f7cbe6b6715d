//! Approvals during leader failures and with concurrent operators.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::task;
use eyre::{ensure, eyre};
use futures::future::join_all;
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_testbed::operator::Operator;

use crate::support::{
    LIMIT, VersionWatch, answers, approve_everywhere, mesh, run, wait_for, wait_for_version,
};

/// Number of consecutive approvals sent while leaders are killed.
const APPROVALS: usize = 24;

/// An approval that was acknowledged.
#[derive(Clone, Debug)]
struct Acknowledged {
    request: String,
    weight: usize,
    base: ConfigVersion,
    version: ConfigVersion,
}

/// Guards against acknowledged approvals that are lost with the leader, resent requests that are
/// applied twice, and daemons that return to an older version after a change of leader.
#[test]
fn approvals_leader_killed() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(7)?;
        let first = approve_everywhere(&mesh, 1).await?;
        let watch = VersionWatch::start(&mesh);
        let operator = mesh.operator();
        let approved_count = Arc::new(AtomicUsize::new(0));
        let stream = approve_sequentially(
            operator.clone(),
            ConfigVersion(first),
            approved_count.clone(),
        );
        let stream = task::spawn(stream);
        for kill_after in [6, 14] {
            let approved_count = &approved_count;
            wait_for("approvals before the kill", || async {
                approved_count.load(Ordering::SeqCst) >= kill_after
            })
            .await?;
            let leader = operator.status(LIMIT).await?.leader;
            let leader = leader.ok_or_else(|| eyre!("the status names no leader"))?;
            let index = mesh.position(leader.as_str());
            let index = index.ok_or_else(|| eyre!("{leader} is not a host of the mesh"))?;
            mesh.kill(index);
            // Wait until approvals succeed without this replica, so that the next kill leaves a
            // quorum.
            let before = approved_count.load(Ordering::SeqCst);
            wait_for("an approval without the old leader", || async {
                approved_count.load(Ordering::SeqCst) > before
            })
            .await?;
            mesh.spawn(index)?;
            let operator = &operator;
            wait_for("the old leader in the group", || async move {
                let status = operator.status(LIMIT).await;
                status.is_ok_and(|status| status.replicas.iter().all(|r| r.voter && r.reachable))
            })
            .await?;
        }
        let acknowledged = stream.await?;
        let newest = acknowledged.iter().map(|a| a.version).max();
        let newest = newest.ok_or_else(|| eyre!("no approval was acknowledged"))?;

        let config = operator.config(LIMIT).await?;
        ensure!(config.version == newest, "{} is in force", config.version);
        ensure!(
            config.answers == answers(APPROVALS + 1),
            "different answers are in force"
        );
        let history = operator.history(LIMIT).await?;
        let history = format!("{history:?}");
        for approval in &acknowledged {
            let Acknowledged {
                request,
                weight,
                base,
                version,
            } = approval;
            ensure!(history.contains(request), "{request} is not in the history");
            let resent = operator
                .approve_on(*base, request, &answers(*weight), LIMIT)
                .await?;
            ensure!(resent.repeated, "{request} was applied twice: {resent:?}");
            ensure!(resent.version == *version, "{request}: {resent:?}");
        }
        let all: Vec<usize> = (0..mesh.len()).collect();
        wait_for_version(&mesh, &all, newest.0).await?;
        watch.finish().await
    })
}

async fn approve_sequentially(
    operator: Operator,
    first: ConfigVersion,
    approved_count: Arc<AtomicUsize>,
) -> eyre::Result<Vec<Acknowledged>> {
    let mut acknowledged = Vec::new();
    let mut base = first;
    for weight in 2..APPROVALS + 2 {
        let request = format!("stream-{weight:02}");
        let approved = operator
            .approve_on(base, &request, &answers(weight), LIMIT)
            .await?;
        ensure!(approved.version > base, "{approved:?} on {base}");
        acknowledged.push(Acknowledged {
            request,
            weight,
            base,
            version: approved.version,
        });
        base = approved.version;
        approved_count.fetch_add(1, Ordering::SeqCst);
        // Spreads the approvals over the time of the failures.
        task::sleep(std::time::Duration::from_millis(50)).await;
    }
    Ok(acknowledged)
}

/// Guards against two accepted approvals on one base version, rounds in which all fail with a
/// conflict, and an operator whose approvals are never accepted.
#[test]
fn approvals_two_sides_on_one_base() -> eyre::Result<()> {
    const SIDES: [&str; 2] = ["left", "right"];
    const PER_SIDE: usize = 3;
    const WINS: usize = 2;
    const MAX_ROUNDS: usize = 40;
    run(async {
        let mesh = mesh(4)?;
        approve_everywhere(&mesh, 1).await?;
        let operator = mesh.operator();
        let mut wins = [0; 2];
        let mut rounds = 0;
        while wins.iter().any(|wins| *wins < WINS) {
            ensure!(rounds < MAX_ROUNDS, "a side is starved: {wins:?}");
            rounds += 1;
            let base = operator.config(LIMIT).await?.version;
            let mut pending = Vec::new();
            for number in 0..PER_SIDE * 2 {
                // The two sides alternate in which one sends first.
                let side = (number + rounds) % 2;
                let request = format!("{}-{rounds}-{number}", SIDES[side]);
                let answers = answers(rounds * 10 + number);
                let operator = operator.clone();
                pending.push(task::spawn(async move {
                    let result = operator.approve_on(base, &request, &answers, LIMIT).await;
                    (side, result)
                }));
            }
            let mut winners = Vec::new();
            for (side, result) in join_all(pending).await {
                match result {
                    Ok(approved) => winners.push((side, approved.version)),
                    Err(error) => {
                        let text = error.to_string();
                        ensure!(text.contains("409"), "not a conflict: {text}");
                    }
                }
            }
            ensure!(winners.len() == 1, "round {rounds}: winners {winners:?}");
            let (side, version) = winners[0];
            let config = operator.config(LIMIT).await?;
            ensure!(
                config.version == version,
                "{} after {version}",
                config.version
            );
            wins[side] += 1;
        }
        Ok(())
    })
}
