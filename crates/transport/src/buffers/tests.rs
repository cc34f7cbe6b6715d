use std::task::Waker;

use super::*;

const MIB: u64 = 1024 * 1024;

fn grow(holder: &Holder, bytes: u64) -> Poll<Growth> {
    holder.poll_grow(bytes, &mut Context::from_waker(Waker::noop()))
}

fn is_leaving(holder: &Holder) -> bool {
    holder.is_leaving(&Context::from_waker(Waker::noop()))
}

/// Guards against memory that stays counted after a connection has ended.
#[test]
fn hold_and_release() {
    let buffers = Buffers::new(8 * MIB);
    let holder = buffers.open(buffers.new_group());
    assert_eq!(grow(&holder, MIB), Poll::Ready(Growth::Granted));
    assert_eq!(buffers.held(), CONNECTION_BYTES + 2 * (MIB - COVERED_BYTES));
    holder.set_bytes(0);
    assert_eq!(buffers.held(), CONNECTION_BYTES);
    let reservation = buffers.reserve(MIB);
    assert_eq!(buffers.held(), CONNECTION_BYTES + 2 * MIB);
    drop((holder, reservation));
    assert_eq!(buffers.held(), 0);
}

/// Answers more bodies than fit: a larger one gives way, and the waiting one continues once it has
/// closed.
#[test]
fn poll_grow_beyond_budget() {
    let buffers = Buffers::new(4 * MIB);
    let group = buffers.new_group();
    let [mut large, mut small] = [buffers.open(group), buffers.open(group)];
    large.set_activity(Activity::Receiving);
    small.set_activity(Activity::Receiving);
    assert_eq!(grow(&large, 3 * MIB / 2), Poll::Ready(Growth::Granted));
    assert_eq!(grow(&small, MIB), Poll::Pending);
    assert!(is_leaving(&large) && !is_leaving(&small));
    drop(large);
    assert_eq!(grow(&small, MIB), Poll::Ready(Growth::Granted));
}

/// Answers bodies that don't fit beside requests that run: the new one is refused, and a small one
/// uses the reserved part.
#[test]
fn poll_grow_beside_running() {
    let buffers = Buffers::new(4 * MIB);
    let group = buffers.new_group();
    let [mut running, mut new, small] = [
        buffers.open(group),
        buffers.open(group),
        buffers.open(group),
    ];
    assert_eq!(grow(&running, 3 * MIB / 2), Poll::Ready(Growth::Granted));
    running.set_activity(Activity::Running);
    new.set_activity(Activity::Receiving);
    assert_eq!(grow(&new, MIB), Poll::Ready(Growth::Refused));
    assert!(is_leaving(&new) && !is_leaving(&running));
    assert_eq!(grow(&small, 30 * 1024), Poll::Ready(Growth::Granted));
    assert!(buffers.reserve(MIB).is_none());
}

/// Answers responses that nobody reads: memory that is taken already closes its holder.
#[test]
fn set_bytes_beyond_budget() {
    let buffers = Buffers::new(MIB);
    let mut holder = buffers.open(buffers.new_group());
    holder.set_activity(Activity::Sending);
    holder.set_bytes(2 * MIB);
    assert!(is_leaving(&holder));
    drop(holder);
    assert_eq!(buffers.held(), 0);
}
