//! Stand-ins for clients, endpoints and the platform, and the cases that use them.
//!
//! `standins CASE FOLDER TROUBLE` plays a case and writes `record.txt` into the folder. With 0 as
//! `TROUBLE` it leaves the disruption out, with 1 it doesn't. The exit code is 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run.

mod client;
mod deployment;
mod endpoint;
#[path = "4/first_start.rs"]
mod first_start;
#[path = "3/frozen_replica.rs"]
mod frozen_replica;
mod http;
#[path = "5/late_beat.rs"]
mod late_beat;
#[path = "1/late_refusal.rs"]
mod late_refusal;
mod record;
#[path = "2/stuck_drain.rs"]
mod stuck_drain;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use late_refusal::Variant;
use record::Record;

/// Result of a case: whether the rule held. The error says why the case could not run.
pub type Result = std::result::Result<bool, String>;

pub struct Context {
    pub record: Arc<Record>,
    /// Temporary folder for settings, data and logs.
    pub dir: PathBuf,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = &args[..] else {
        eprintln!("usage: standins CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = match trouble.as_str() {
        "0" => false,
        "1" => true,
        _ => {
            eprintln!("TROUBLE is 0 or 1");
            return ExitCode::from(2);
        }
    };
    let dir = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&dir).is_err() {
        return ExitCode::from(2);
    }
    let context = Context {
        record: Arc::new(Record::new(&PathBuf::from(folder).join("record.txt"))),
        dir: dir.clone(),
        trouble,
    };
    let run = std::panic::AssertUnwindSafe(|| match case.as_str() {
        "late-refusal-2" => {
            let variant = Variant {
                max_attempts: 2,
                shed_thousandths: 450,
            };
            late_refusal::run(&context, &variant)
        }
        "late-refusal-3" => {
            let variant = Variant {
                max_attempts: 3,
                shed_thousandths: 100,
            };
            late_refusal::run(&context, &variant)
        }
        "frozen-replica" => frozen_replica::run(&context),
        "stuck-drain" => stuck_drain::run(&context),
        "late-beat" => late_beat::run(&context),
        "first-start" => first_start::run(&context),
        _ => Err("no such case".to_owned()),
    });
    let result = std::panic::catch_unwind(run);
    let result = result.unwrap_or_else(|_| Err("the case ended with an error".to_owned()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let (code, text) = match result {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    context.record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
