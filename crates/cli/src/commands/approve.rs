//! `approve`: puts an answers file in force.
//!
//! The approval is based on the version that `plan` has shown rather than on the latest one, so
//! that an operator does not overwrite a change that was approved since the plan was made.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use serde_json::json;
use sycamoreflow_state::ids::{ConfigVersion, RequestId};
use sycamoreflow_state::operator::{
    APPROVE_PATH, ApproveRequest, ApproveResponse, CONFIG_PATH, ConfigResponse,
};

use crate::answers_file::{self, AnswersFile, SavedPlan};
use crate::client::{self, Client};
use crate::exit::{Exit, Failure, Result};
use crate::{Io, output};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    base: Option<u64>,
    request_id: Option<String>,
    operator: Option<String>,
    json: bool,
    file: PathBuf,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let base = long("base")
        .help("Version that the approval is based on (default: the one that plan saw)")
        .argument::<u64>("VERSION")
        .optional();
    let request_id = long("request-id")
        .help("Identifier of the request, to resend an earlier one")
        .argument::<String>("ID")
        .guard(
            |id| is_request_id(id),
            "use 1 to 64 letters, digits and dashes",
        )
        .optional();
    let operator = long("operator")
        .help("Your name, shown to other operators (default: $USER)")
        .argument::<String>("NAME")
        .optional();
    let json = super::json();
    let file = super::file();
    construct!(Options {
        client,
        base,
        request_id,
        operator,
        json,
        file
    })
}

/// Sends the approval and prints the new version.
pub async fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let file = answers_file::read_valid(&options.file, io.err)?;
    let client = Client::new(&options.client)?;
    let (base, request_id) = match options.base {
        Some(base) => explicit_base(options, &client, &file, base).await?,
        None => planned_base(options, &file)?,
    };
    let request = ApproveRequest {
        request_id: request_id.clone(),
        base,
        operator: operator_name(options),
        answers: file.text,
        config: file.config,
    };
    let response: ApproveResponse = match client.post(APPROVE_PATH, &request).await {
        Ok(response) => response,
        Err(failure) if failure.exit == Exit::Unreachable => {
            return Err(unknown_outcome(failure, base, &request_id));
        }
        Err(failure) => return Err(failure),
    };
    SavedPlan::remove(&options.file)?;
    if options.json {
        let response = json!({
            "request-id": request_id,
            "version": response.version,
            "repeated": response.repeated,
            "rollouts": response.rollouts,
        });
        return output::json(io.out, &response);
    }
    writeln!(io.out, "approved as version {}", response.version)?;
    if response.repeated {
        writeln!(
            io.out,
            "it had been approved by an earlier request with the same id"
        )?;
    }
    for service in &response.rollouts {
        writeln!(io.out, "rollout started: {service}")?;
    }
    Ok(())
}

/// Returns the operator name to record with the approval.
fn operator_name(options: &Options) -> String {
    let from_environment = || std::env::var("USER").ok();
    let name = options.operator.clone().or_else(from_environment);
    name.unwrap_or_else(|| "unknown".to_owned())
}

/// Returns the base version and the request id of an approval with `--base`. Checks that the
/// answers are for the daemon's mesh; without `--base`, `plan` has checked that.
async fn explicit_base(
    options: &Options,
    client: &Client,
    file: &AnswersFile,
    base: u64,
) -> Result<(ConfigVersion, RequestId)> {
    let current: ConfigResponse = client.get(CONFIG_PATH).await?;
    answers_file::check_mesh(file, &current.mesh)?;
    let request_id = match &options.request_id {
        Some(id) => id.as_str().into(),
        None => answers_file::new_request_id()?,
    };
    Ok((ConfigVersion(base), request_id))
}

/// Returns the base version and the request id from the saved plan. Fails if the answers have
/// changed since.
fn planned_base(options: &Options, file: &AnswersFile) -> Result<(ConfigVersion, RequestId)> {
    let Some(plan) = SavedPlan::load(&options.file)? else {
        let message = "there is no plan of these answers; run `sycamoreflow plan` or give --base";
        return Err(Failure::new(Exit::Usage, message));
    };
    if plan.answers != file.text {
        let message = "the answers have changed since the plan; run `sycamoreflow plan` again";
        return Err(Failure::new(Exit::Usage, message));
    }
    let request_id = options.request_id.as_deref().map(RequestId::from);
    Ok((plan.base, request_id.unwrap_or(plan.request_id)))
}

/// Returns the failure of an approval that received no response, with the command line that finds
/// out whether it was accepted.
fn unknown_outcome(failure: Failure, base: ConfigVersion, request_id: &RequestId) -> Failure {
    let message = format!(
        "{failure}\nIt may have been accepted. To find out, send it again with the options \
         --base {base} --request-id {request_id}"
    );
    Failure::new(Exit::Unreachable, message)
}

fn is_request_id(id: &str) -> bool {
    (1..=64).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
}
