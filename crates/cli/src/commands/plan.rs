//! `plan`: shows what the approval of an answers file would change, and saves the plan for
//! `approve`.

use std::path::PathBuf;

use bpaf::{Parser, construct};
use serde_json::json;
use sycamoreflow_state::operator::{CONFIG_PATH, ConfigResponse};
use sycamoreflow_state::plan::diff;

use crate::answers_file::{self, SavedPlan};
use crate::client::{self, Client};
use crate::exit::Result;
use crate::{Io, output};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    json: bool,
    file: PathBuf,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let json = super::json();
    let file = super::file();
    construct!(Options { client, json, file })
}

/// Prints the changes and saves the plan. A plan that cannot be saved causes only a warning, since
/// `approve --base` works without it.
pub async fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let file = answers_file::read_valid(&options.file, io.err)?;
    let client = Client::new(&options.client)?;
    let current: ConfigResponse = client.get(CONFIG_PATH).await?;
    answers_file::check_mesh(&file, &current.mesh)?;
    let changes = diff(&current.config, &file.config);
    let plan = SavedPlan {
        base: current.version,
        request_id: answers_file::new_request_id()?,
        answers: file.text,
    };
    if let Err(failure) = plan.store(&options.file) {
        let base = current.version;
        writeln!(io.err, "warning: {failure}; approve with --base {base}")?;
    }
    if options.json {
        let plan = json!({ "mesh": current.mesh, "base": current.version, "changes": changes });
        return output::json(io.out, &plan);
    }
    writeln!(io.out, "mesh {}, version {}", current.mesh, current.version)?;
    for change in &changes {
        writeln!(io.out, "{change}")?;
    }
    if changes.is_empty() {
        writeln!(io.out, "no changes")?;
    }
    Ok(())
}
