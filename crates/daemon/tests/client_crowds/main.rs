//! Crowds of clients that hold memory and descriptors of a daemon, which runs as a process of its
//! own. Each test checks that the process lives, that its memory and its descriptors stay under a
//! bound that follows from its settings, and that an ordinary request is answered afterwards.
//!
//! One crowd runs at a time.

use std::time::Duration;

use async_std::task;
use eyre::ensure;
use rstest::rstest;

use crate::crowd::{Crowd, bodies_ahead, chunked_body, requests_ahead, sized_body};
use crate::daemon::{CONNECTIONS, DESCRIPTOR_BOUND, MEMORY_BOUND_KIB, Target};

mod crowd;
mod daemon;

/// Size in bytes of a body within the limit, most of which is sent.
const BODY: usize = 900_000;

/// Returns what the clients of a crowd send.
fn payloads(kind: &str) -> Vec<Vec<u8>> {
    let repeat = |payload: Vec<u8>, count| vec![payload; count];
    let half = CONNECTIONS / 2;
    match kind {
        // More clients than connections are allowed.
        "large-chunks" => repeat(chunked_body(&[64 * 1024], BODY), CONNECTIONS + half),
        "announced" => repeat(sized_body(BODY, BODY - 1), CONNECTIONS + half),
        // 10,000 chunks of one byte and small ones after them.
        "small-chunks" => {
            let mut sizes = vec![1; 10_000];
            sizes.extend([256; 2_000]);
            repeat(chunked_body(&sizes, 500_000), CONNECTIONS)
        }
        "far-over-announced" => repeat(sized_body(1 << 40, 8 << 20), half),
        "far-over-sent" => repeat(chunked_body(&[256 * 1024], 8 << 20), half),
        "requests-ahead" => repeat(requests_ahead(64), 32),
        "bodies-ahead" => repeat(bodies_ahead(BODY, 16), 32),
        other => unreachable!("no crowd {other}"),
    }
}

/// Guards against clients that end a daemon by making it hold their bodies or its answers.
#[rstest]
#[case::large_chunks(&["large-chunks"])]
#[case::small_chunks(&["small-chunks"])]
#[case::announced(&["announced"])]
#[case::far_over_announced(&["far-over-announced"])]
#[case::far_over_sent(&["far-over-sent"])]
#[case::requests_ahead(&["requests-ahead"])]
#[case::bodies_ahead(&["bodies-ahead"])]
#[case::mixture(&["large-chunks", "small-chunks", "announced", "requests-ahead", "far-over-sent"])]
fn crowd_bounded(#[case] kinds: &[&str]) -> eyre::Result<()> {
    daemon::run(async {
        let target = Target::start().await?;
        let descriptors_before = target.open_descriptors()?;
        let memory_before = target.resident_memory()?;
        let mut crowd = Crowd::connect(target.address())?;
        for kind in kinds {
            crowd.add(payloads(kind));
        }
        crowd.send()?;
        // The answers of the last requests may still be on their way to the daemon.
        task::sleep(Duration::from_secs(1)).await;
        let descriptors = target.open_descriptors()?;
        let grown = target.peak_memory()?.saturating_sub(memory_before);
        println!(
            "{kinds:?}: {} clients, memory grown by {grown} KiB of {MEMORY_BOUND_KIB}, \
             descriptors from {descriptors_before} to {descriptors}",
            crowd.len()
        );
        let answered = target.request().await;
        let grown = target.peak_memory()?.saturating_sub(memory_before);
        ensure!(
            grown <= MEMORY_BOUND_KIB,
            "memory grew by {grown} KiB, more than {MEMORY_BOUND_KIB}"
        );
        let opened = descriptors.saturating_sub(descriptors_before);
        ensure!(
            opened <= DESCRIPTOR_BOUND,
            "{opened} descriptors were opened, more than {DESCRIPTOR_BOUND}"
        );
        ensure!(answered? == 200);
        drop(crowd);
        ensure!(target.request().await? == 200);
        Ok(())
    })
}
