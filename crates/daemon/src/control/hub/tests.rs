use std::time::Duration;

use futures::FutureExt;
use sycamoreflow_state::ids::{ConfigVersion, EndpointVersion};

use super::*;
use crate::control::replica::{EventReceiver, event_queue};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Answers the next read of the replica, and returns how many other reads were requested.
fn answer_read(events: &EventReceiver, confirmed: Option<u64>) -> usize {
    let confirmed = confirmed.map(|config| ViewVersion {
        config: ConfigVersion(config),
        endpoints: EndpointVersion::first(1),
    });
    let event = events.recv_timeout(TIMEOUT).expect("a read is requested");
    let Event::ConfirmVersion(tx) = event else {
        panic!("another event than a read");
    };
    tx.send(confirmed).expect("the read has not timed out");
    events
        .next_batch(Duration::ZERO)
        .map_or(0, |batch| batch.len())
}

/// Returns the number and the version of the next answer.
fn next_answer(registration: &Registration) -> (u64, u64) {
    let command = task::block_on(timeout(TIMEOUT, registration.next_command()));
    match command.expect("an answer in time") {
        SessionCommand::Confirmed { number, config } => (number, config.0),
        command => panic!("{command:?}"),
    }
}

/// Guards against one linearizable read per question when many daemons ask, against an answer that
/// reaches another daemon, and against questions that are lost while there is no leader.
#[test]
fn confirm_shared_read() {
    let (tx, events) = event_queue();
    let hub = Arc::new(Hub::new(200, tx));
    let first = hub.register(&"sfax-a-1".into());
    let second = hub.register(&"sfax-b-1".into());
    let gone = hub.register(&"sfax-c-1".into());
    task::block_on(async {
        hub.confirm(&first, 4);
        hub.confirm(&second, 9);
        hub.confirm(&gone, 2);
    });
    drop(gone);
    assert_eq!(answer_read(&events, None), 0);
    // The newest question of a session takes the place of an earlier one.
    hub.confirm(&first, 5);
    assert_eq!(answer_read(&events, Some(7)), 0);
    assert_eq!(next_answer(&first), (5, 7));
    assert_eq!(next_answer(&second), (9, 7));
    assert_eq!(first.next_command().now_or_never(), None);
    assert_eq!(second.next_command().now_or_never(), None);
}

/// Guards against a subscriber that serves dropped routes for seconds because grants have filled the
/// queue of its session when a view was published.
#[test]
fn publish_behind_grants() {
    let (tx, _events) = event_queue();
    let hub = Arc::new(Hub::new(200, tx));
    let daemon = DaemonId::from("sfax-a-1");
    let registration = hub.register(&daemon);
    for credits in 0..1_000 {
        let grant = Grant {
            term: 1,
            incarnation: 1,
            rollout: 1,
            share: 10_000,
            credits,
            valid_for: Millis(1_000),
        };
        hub.deliver_grants(vec![(daemon.clone(), grant)]);
    }
    let mut view = View::new(Interest::All);
    view.set_version(ViewVersion {
        config: ConfigVersion(3),
        endpoints: EndpointVersion::first(1),
    });
    hub.publish(view);
    let mut commands = std::iter::from_fn(|| registration.next_command().now_or_never());
    assert!(commands.any(|command| command == SessionCommand::ViewChanged));
}
