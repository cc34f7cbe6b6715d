#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

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
    let settings = Settings::parse(VALID)?;
    let mut control = settings.control.clone().unwrap();
    control.data = folder.join("data");
    let identity = Identity {
        mesh: settings.mesh.clone(),
        daemon: settings.daemon.clone(),
        key: MeshKey::new([7; 32])?,
    };
    let is_faulty = is_faulty.clone();
    let files = move || {
        let is_faulty = is_faulty.clone();
        Files::with_hook(Box::new(move |_: Operation, _: &Path| {
            match is_faulty.load(Ordering::SeqCst) {
                true => fault,
                false => InjectedFault::None,
            }
        }))
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
