#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use parking_lot::Mutex;
use rstest::rstest;
use sycamoreflow_protocol::handshake::MeshKey;
use sycamoreflow_transport::storage::{InjectedFault, Operation};

use super::*;
use crate::settings::tests::VALID;

const MAX_WAIT: Duration = Duration::from_secs(30);

/// Starts a replica whose file operations fail as `fault` while `is_faulty` is set.
fn start(
    folder: &Path,
    is_faulty: &Arc<AtomicBool>,
    fault: InjectedFault,
) -> eyre::Result<Control> {
    let is_faulty = is_faulty.clone();
    start_with_hook(folder, move || match is_faulty.load(Ordering::SeqCst) {
        true => fault,
        false => InjectedFault::None,
    })
}

/// Starts a replica that calls `hook` before each file operation.
fn start_with_hook(
    folder: &Path,
    hook: impl Fn() -> InjectedFault + Clone + Send + 'static,
) -> eyre::Result<Control> {
    let settings = Settings::parse(VALID)?;
    let mut control = settings.control.clone().unwrap();
    control.data = folder.join("data");
    let identity = Identity {
        mesh: settings.mesh.clone(),
        daemon: settings.daemon.clone(),
        key: MeshKey::new([7; 32])?,
    };
    let files = move || {
        let hook = hook.clone();
        Files::with_hook(Box::new(move |_: Operation, _: &Path| hook()))
    };
    let limits = link::Limits::default();
    Control::start_with(&settings, &control, &identity, &limits, 7, files)
}

/// Guards against a replica whose process exits because its disk is full at the start, or that
/// stays unavailable after the disk has room again.
#[test]
fn start_disk_full() {
    let folder = tempfile::tempdir().unwrap();
    let is_full = Arc::new(AtomicBool::new(true));
    let control = start(folder.path(), &is_full, InjectedFault::DiskFull).unwrap();
    task::block_on(async {
        assert_eq!(control.hub().confirm_version().await, None);
        is_full.store(false, Ordering::SeqCst);
        let started = Instant::now();
        while control.hub().confirm_version().await.is_none() {
            assert!(started.elapsed() < MAX_WAIT, "the replica is unavailable");
            task::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a replica that runs without storage although only an operator can correct the
/// fault.
#[rstest]
#[case::broken_disk(InjectedFault::Fail)]
#[case::short_write(InjectedFault::ShortWrite(1))]
fn start_other_fault(#[case] fault: InjectedFault) {
    let folder = tempfile::tempdir().unwrap();
    let is_faulty = Arc::new(AtomicBool::new(true));
    assert!(start(folder.path(), &is_faulty, fault).is_err());
}

/// Guards against a stop that waits for a disk that does not respond, so that the process outlives
/// its grace period and is killed.
#[test]
fn stop_stalled_disk() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Arc::new(Mutex::new(()));
    let stalled = disk.lock();
    let (tx, replica_waits) = mpsc::channel();
    let hook_disk = disk.clone();
    let hook = move || {
        // The test itself opens the data folder.
        if thread::current().name() == Some(THREAD_NAME) {
            let _ = tx.send(());
            drop(hook_disk.lock());
        }
        InjectedFault::None
    };
    let mut control = start_with_hook(folder.path(), hook).unwrap();
    replica_waits.recv_timeout(MAX_WAIT).unwrap();
    let (tx, stopped) = mpsc::channel();
    let stop = thread::spawn(move || {
        control.stop(Duration::from_millis(100));
        let _ = tx.send(());
    });
    let is_stopped = stopped.recv_timeout(MAX_WAIT / 6).is_ok();
    drop(stalled);
    stop.join().unwrap();
    assert!(is_stopped, "the stop waits for the disk");
}
