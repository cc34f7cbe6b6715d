//! All daemons but the control replicas return at once.

use std::time::Instant;

use eyre::{ensure, eyre};

use crate::support::{VersionWatch, approve_everywhere, mesh, run, wait_for_version};

/// Control bytes that a daemon may spend on its return. The full view of this mesh has about
/// 1 KiB, and a daemon stages and subscribes at a few others.
const MAX_CONTROL_BYTES: f64 = 64.0 * 1024.0;

/// Guards against a return that overloads the control group, or that costs each daemon many full
/// views.
#[test]
fn herd_all_proxies_restart() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(18)?;
        let version = approve_everywhere(&mesh, 1).await?;
        let watch = VersionWatch::start(&mesh);
        for index in mesh.proxies() {
            mesh.kill(index);
        }
        let started = Instant::now();
        for index in mesh.proxies() {
            mesh.spawn(index)?;
        }
        let proxies: Vec<usize> = mesh.proxies().collect();
        wait_for_version(&mesh, &proxies, version).await?;
        println!("all in force again after {:?}", started.elapsed());
        let mut max_bytes: f64 = 0.0;
        for index in mesh.proxies() {
            let bytes = mesh.metric(index, "sycamoreflow_link_bytes_total").await;
            let bytes = bytes.ok_or_else(|| eyre!("daemon {index} counts no control bytes"))?;
            max_bytes = max_bytes.max(bytes);
        }
        println!("at most {max_bytes} control bytes per daemon");
        ensure!(max_bytes > 0.0, "control bytes are not counted");
        ensure!(
            max_bytes <= MAX_CONTROL_BYTES,
            "{max_bytes} control bytes at a daemon"
        );
        watch.finish().await
    })
}
