//! `sycamoreflowd`, the daemon of sycamoreflow.

use std::path::PathBuf;
use std::process::ExitCode;

use async_std::channel;
use bpaf::{OptionParser, Parser, construct, long};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use sycamoreflow_daemon::settings::Settings;
use sycamoreflow_daemon::{Daemon, program, telemetry};

/// Help text printed after the options: local HTTP endpoints, signals and exit codes.
const HELP: &str = "The settings name the addresses, the control replicas and the files with \
the secrets. All daemons of a mesh share one mesh key; only control replicas, which have a section \
[control], need an operator token. Relative paths start from the working directory. Examples: \
examples/sfax/settings, examples/amman/settings.
 
While it runs, on the address listen.announce:
  GET /ready             200 once the daemon serves calls, else 503
  GET /metrics           metrics in the Prometheus text format
  PUT /v1/announcement   announces an upstream, see docs/upstreams.md
 
SIGTERM and SIGINT stop the daemon gracefully: it refuses new calls, completes the calls \
in flight and exits with code 0.
 
Exit codes:
  0  stopped gracefully
  1  the daemon can't start, or the arguments are invalid
  3  calls were aborted at limits.drain-timeout-ms
 
Documentation: docs/first-mesh.md";

/// Parsed command-line options.
#[derive(Clone, Debug)]
struct Options {
    config: PathBuf,
    check: bool,
}

fn options() -> OptionParser<Options> {
    let config = long("config")
        .short('c')
        .help("Settings file (TOML). See docs/settings.md")
        .argument::<PathBuf>("FILE");
    let check = program::check_switch();
    construct!(Options { config, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Runs the daemon of sycamoreflow on an upstream host")
        .footer(HELP)
}

fn main() -> ExitCode {
    let options = options().run();
    program::exit_code("sycamoreflowd", run(&options))
}

/// Runs the daemon until SIGTERM or SIGINT. Returns the number of calls that the stop aborted.
///
/// With `--check`, only validates the settings and returns 0.
fn run(options: &Options) -> eyre::Result<usize> {
    let settings = Settings::load(&options.config)?;
    if options.check {
        program::report_valid(&options.config);
        return Ok(0);
    }
    let _logs = telemetry::start_logs(&settings.log)?;
    let metrics = telemetry::start_metrics()?;
    let stop = stop_signal()?;
    async_std::task::block_on(async {
        let daemon = Daemon::start(&settings, Some(metrics)).await?;
        let addresses = daemon.addresses();
        tracing::info!(daemon = %settings.daemon, ?addresses, "started");
        let _ = stop.recv().await;
        tracing::info!("stopping");
        let cut = daemon.drain().await;
        tracing::info!(cut, "stopped");
        Ok(cut)
    })
}

/// Returns a channel that receives a message on SIGTERM or SIGINT.
fn stop_signal() -> eyre::Result<channel::Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (tx, rx) = channel::bounded(1);
    std::thread::spawn(move || {
        for _ in signals.forever() {
            let _ = tx.try_send(());
        }
    });
    Ok(rx)
}
