use futures::future::join_all;

use super::*;

/// Guards against timers that fire early, late or never, including timers that are registered after
/// one with a later deadline.
#[async_std::test]
async fn sleep_many() {
    let started = Instant::now();
    let sleeps = (0..200_u64).map(|number| {
        let duration = Duration::from_millis(200 - number);
        task::spawn(async move {
            sleep(duration).await;
            (duration, started.elapsed())
        })
    });
    for (duration, elapsed) in join_all(sleeps).await {
        assert!(elapsed >= duration);
        assert!(
            elapsed < duration + Duration::from_millis(100),
            "{elapsed:?}"
        );
    }
}

/// Guards against a timer that never fires because its future was polled with another waker first.
#[async_std::test]
async fn sleep_other_waker() {
    let mut sleep = sleep(Duration::from_millis(50));
    let mut cx = Context::from_waker(Waker::noop());
    assert!(Pin::new(&mut sleep).poll(&mut cx).is_pending());
    task::spawn(sleep).await;
}

/// Guards against dropping a future before its deadline or waiting for it beyond the deadline.
#[async_std::test]
async fn timeout_at_deadline() {
    let deadline = Instant::now() + Duration::from_millis(30);
    assert_eq!(
        timeout_at(deadline, std::future::pending::<()>()).await,
        None
    );
    let late_deadline = Instant::now() + Duration::from_secs(60);
    let ready = timeout_at(late_deadline, sleep(Duration::from_millis(10))).await;
    assert_eq!(ready, Some(()));
}
