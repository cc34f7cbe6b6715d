use async_std::future::timeout;
use async_std::task;

use super::*;

const TIMEOUT: std::time::Duration = std::time::Duration::from_millis(100);

fn grant(credits: u64) -> SessionCommand {
    SessionCommand::Grant(Grant {
        term: 1,
        incarnation: 1,
        rollout: 1,
        share: 10_000,
        credits,
        valid_for: sycamoreflow_state::ids::Millis(1_000),
    })
}

fn next(mailbox: &Mailbox) -> Option<SessionCommand> {
    task::block_on(timeout(TIMEOUT, mailbox.take())).ok()
}

/// Guards against a subscriber that keeps an old view, or a replica without a quorum, because the
/// notice found the queue of its session full.
#[test]
fn put_notices_behind_grants() {
    let mailbox = Mailbox::default();
    for credits in 0..2 * MAX_GRANTS as u64 {
        mailbox.put(grant(credits));
    }
    let notices = [
        SessionCommand::NoQuorum,
        SessionCommand::ViewChanged,
        SessionCommand::MembersChanged,
    ];
    for notice in notices.iter().rev().chain(&notices) {
        mailbox.put(notice.clone());
    }
    for notice in notices {
        assert_eq!(next(&mailbox), Some(notice));
    }
    for credits in 0..MAX_GRANTS as u64 {
        assert_eq!(next(&mailbox), Some(grant(credits)));
    }
    assert_eq!(next(&mailbox), None);
}
