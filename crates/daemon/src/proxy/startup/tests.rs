use async_std::task;
use futures::join;
use rstest::rstest;

use super::*;

const DEADLINE: Millis = Millis(2_000);

fn registered(waiters: &ViewWaiters) -> usize {
    waiters.wakers.lock().len()
}

/// Guards against requests that wait longer than until the view arrives.
#[test]
fn wait_until_view() {
    task::block_on(async {
        let waiters = ViewWaiters::new(clock::now());
        let wait = waiters.wait(clock::now(), Some(DEADLINE), 0, || false);
        let activate = async {
            task::sleep(clock::duration(Millis(50))).await;
            waiters.wake();
        };
        let started = clock::now();
        let (waited, ()) = join!(wait, activate);
        assert_eq!(waited, Ok(()));
        assert!(clock::now().since(started) < DEADLINE);
        assert_eq!(registered(&waiters), 0);
    });
}

/// Guards against requests that miss a view which arrives while they are registered.
#[test]
fn wait_view_already_there() {
    task::block_on(async {
        let waiters = ViewWaiters::new(clock::now());
        let waited = waiters.wait(clock::now(), Some(DEADLINE), 0, || true).await;
        assert_eq!(waited, Ok(()));
    });
}

/// Guards against requests that wait until their deadline: the caller needs time for a retry.
#[rstest]
#[case::no_view(Millis(0))]
#[case::daemon_started_long_ago(Millis(60_000))]
fn wait_without_view(#[case] since_start: Millis) {
    task::block_on(async {
        let started = clock::now();
        let waiters = ViewWaiters::new(Millis(started.0.saturating_sub(since_start.0)));
        let now = started.max(since_start);
        let waited = waiters.wait(now, Some(DEADLINE), 0, || false).await;
        assert!(waited.is_err());
        assert!(clock::now().since(started) < DEADLINE);
    });
}
