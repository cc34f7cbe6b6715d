use rstest::rstest;

use super::*;

const START: Millis = Millis(10_000);

/// Time that a request needs from when a daemon with a view has it until its answer.
const SERVICE_TIME: Millis = Millis(300);

/// Interval between the requests of the callers.
const ARRIVAL_INTERVAL: u64 = 10;

/// Decides on a request that arrives at the given time with the given time left.
type Offer = fn(&mut StartupQueue, Millis, Millis) -> StartupDecision;

fn at(after_start: u64) -> Millis {
    START.after(Millis(after_start))
}

fn offer(queue: &mut StartupQueue, now: Millis, left: Millis) -> StartupDecision {
    queue.offer(now, Some(left), 0)
}

/// The policy without waiting: every request is refused until the daemon has a view.
fn refuse_all(queue: &mut StartupQueue, now: Millis, _: Millis) -> StartupDecision {
    StartupDecision::Refuse(queue.retry_after(now))
}

/// Returns whether a caller gets an answer from a daemon whose view arrives at `view`. It retries
/// one refused request once, after the delay that the daemon asks for or a third of its time,
/// whichever is shorter.
fn is_served(
    queue: &mut StartupQueue,
    arrival: Millis,
    time: Millis,
    view: Millis,
    f: Offer,
) -> bool {
    let deadline = arrival.after(time);
    let mut now = arrival;
    for _ in 0..2 {
        let starts_at = match view <= now {
            true => Ok(now),
            false => match f(queue, now, deadline.since(now)) {
                StartupDecision::Wait(until) if view <= until => Ok(view),
                StartupDecision::Wait(until) => Err((until, queue.retry_after(until))),
                StartupDecision::Refuse(wait) => Err((now, wait)),
            },
        };
        match starts_at {
            Ok(start) => return start.after(SERVICE_TIME) <= deadline,
            Err((refused, wait)) => now = refused.after(wait.min(Millis(time.0 / 3))),
        }
    }
    false
}

/// Returns the number of requests that are served, and the number of all requests that arrive
/// between the start of the daemon and its view.
fn served_until_view(view_after: u64, time: u64, f: Offer) -> (usize, usize) {
    let mut queue = StartupQueue::new(START);
    let arrivals = (0..view_after).step_by(ARRIVAL_INTERVAL as usize);
    let total = arrivals.clone().count();
    let served = arrivals
        .filter(|arrival| is_served(&mut queue, at(*arrival), Millis(time), at(view_after), f))
        .count();
    (served, total)
}

/// Guards against lost requests after a power loss of all hosts: callers with 2 to 4 s that are
/// refused until the first view come back once, again too early. All requests with enough time left
/// at the arrival of the view must be served, and more than if they were refused.
#[rstest]
#[case::small_mesh_two_seconds(1_300, 2_000)]
#[case::small_mesh_four_seconds(1_300, 4_000)]
#[case::large_mesh_two_seconds(2_000, 2_000)]
#[case::large_mesh_three_seconds(2_000, 3_000)]
#[case::slow_election_two_seconds(2_400, 2_000)]
#[case::slow_election_four_seconds(2_400, 4_000)]
fn offer_power_loss_of_all_hosts(#[case] view_after: u64, #[case] time: u64) {
    let (served, total) = served_until_view(view_after, time, offer);
    let (served_without_waiting, _) = served_until_view(view_after, time, refuse_all);
    assert!(
        served > served_without_waiting,
        "{served} of {total} served, {served_without_waiting} without waiting"
    );
    let max_wait = time / 4;
    let servable = (view_after.min(max_wait) / ARRIVAL_INTERVAL) as usize;
    assert!(served >= servable, "{served} of {servable} served");
}

/// Guards against requests that wait although they cannot be served: their deadline passes before
/// the view is expected, or the daemon has waited for it for too long. Guards also against waits
/// that leave no time for the answer.
#[rstest]
#[case::waits(0, Some(2_000), StartupDecision::Wait(at(500)))]
#[case::no_deadline(0, None, StartupDecision::Wait(at(1_000)))]
#[case::deadline_before_view(0, Some(1_200), StartupDecision::Refuse(Millis(1_200)))]
#[case::little_time_before_view(700, Some(500), StartupDecision::Refuse(Millis(500)))]
#[case::little_time_after_expected_view(1_200, Some(600), StartupDecision::Wait(at(1_350)))]
#[case::until_maximum(3_500, Some(4_000), StartupDecision::Wait(at(4_000)))]
#[case::no_view_in_sight(4_000, Some(4_000), StartupDecision::Refuse(Millis(150)))]
#[case::long_after_start(60_000, None, StartupDecision::Refuse(Millis(150)))]
fn offer_case(
    #[case] after_start: u64,
    #[case] remaining: Option<u64>,
    #[case] expected: StartupDecision,
) {
    let mut queue = StartupQueue::new(START);
    let decision = queue.offer(at(after_start), remaining.map(Millis), 100);
    assert_eq!(decision, expected);
}

/// Guards against waiting requests that exhaust the memory of the host.
#[rstest]
#[case::number(0, MAX_WAITING)]
#[case::bytes(1 << 20, 4)]
fn offer_limits(#[case] bytes: usize, #[case] limit: usize) {
    let mut queue = StartupQueue::new(START);
    let mut waits = || matches!(queue.offer(START, None, bytes), StartupDecision::Wait(_));
    for _ in 0..limit {
        assert!(waits());
    }
    assert!(!waits());
    queue.leave(bytes);
    assert!(matches!(
        queue.offer(START, None, bytes),
        StartupDecision::Wait(_)
    ));
}
