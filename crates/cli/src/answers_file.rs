//! Reading of the answers file, and the plan that `plan` saves beside it for `approve`.

use std::fs;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::WrapErr;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::answers::{Answers, Problem};
use sycamoreflow_state::config::MeshConfig;
use sycamoreflow_state::generate::generate;
use sycamoreflow_state::ids::{ConfigVersion, Millis, RequestId};

use crate::exit::{Exit, Failure, Result};

/// The content of a valid answers file.
pub struct AnswersFile {
    /// Name of the mesh.
    pub mesh: String,
    /// Text of the file.
    pub text: String,
    /// Configuration that is generated from the answers.
    pub config: MeshConfig,
}

/// A plan that `plan` saves beside the answers file. It ensures that `approve` is based on the
/// version that the operator has reviewed, and that a resend uses the same request id even from
/// another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SavedPlan {
    /// Version of the accepted configuration that the plan was made against.
    pub base: ConfigVersion,
    /// Request id with which the approval is sent.
    pub request_id: RequestId,
    /// Text of the answers file when the plan was made.
    pub answers: String,
}

/// Reads an answers file and generates its configuration. The inner error lists the problems of
/// the answers; the outer one means that the file cannot be read.
pub fn read(path: &Path) -> Result<std::result::Result<AnswersFile, Vec<Problem>>> {
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read the answers {}", path.display()))?;
    let name = path.display().to_string();
    let checked = Answers::parse(&name, &text)
        .and_then(|answers| Ok((generate(&answers, now())?, answers.mesh)));
    Ok(checked.map(|(config, mesh)| AnswersFile { mesh, text, config }))
}

/// Reads an answers file. If it has problems, writes them to `err` and fails with
/// [`Exit::Invalid`].
pub fn read_valid(path: &Path, err: &mut dyn Write) -> Result<AnswersFile> {
    match read(path)? {
        Ok(file) => Ok(file),
        Err(problems) => {
            for problem in &problems {
                writeln!(err, "{problem}")?;
            }
            Err(invalid_answers(&problems))
        }
    }
}

/// Returns the failure of a command whose answers file has these problems.
pub fn invalid_answers(problems: &[Problem]) -> Failure {
    let message = match problems.len() {
        1 => "the answers have a problem".to_owned(),
        count => format!("the answers have {count} problems"),
    };
    Failure::new(Exit::Invalid, message)
}

/// Fails if the answers are for another mesh than `mesh`, to which the daemon belongs.
pub fn check_mesh(file: &AnswersFile, mesh: &str) -> Result {
    if file.mesh == mesh {
        return Ok(());
    }
    let message = format!(
        "the answers are for mesh {}, the daemon belongs to {mesh}",
        file.mesh
    );
    Err(Failure::new(Exit::Failure, message))
}

/// Generates a random request id of 128 bits.
pub fn new_request_id() -> Result<RequestId> {
    let mut random = [0; 16];
    getrandom::fill(&mut random)
        .map_err(|e| eyre::eyre!("cannot generate a random request id: {e}"))?;
    Ok(format!("{:032x}", u128::from_be_bytes(random)).into())
}

impl SavedPlan {
    /// Loads the plan that is saved beside an answers file, if there is one.
    pub fn load(answers: &Path) -> Result<Option<Self>> {
        let path = plan_path(answers);
        let text = match fs::read(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => {
                let context = format!("cannot read the plan {}", path.display());
                return Err(eyre::Report::new(e).wrap_err(context).into());
            }
        };
        let plan = serde_json::from_slice(&text)
            .wrap_err_with(|| format!("{} is not a valid plan; run plan again", path.display()))?;
        Ok(Some(plan))
    }

    /// Saves the plan beside the answers file. The file is replaced atomically, so that an
    /// interrupted write does not destroy an earlier plan.
    pub fn store(&self, answers: &Path) -> Result {
        let path = plan_path(answers);
        let text = serde_json::to_vec(self).wrap_err("cannot encode the plan")?;
        let mut temporary = path.clone().into_os_string();
        temporary.push(".new");
        fs::write(&temporary, text)
            .and_then(|()| fs::rename(&temporary, &path))
            .wrap_err_with(|| format!("cannot write the plan {}", path.display()))?;
        Ok(())
    }

    /// Removes the plan that is saved beside an answers file. Succeeds if there is none.
    pub fn remove(answers: &Path) -> Result {
        match fs::remove_file(plan_path(answers)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e.into()),
            _ => Ok(()),
        }
    }
}

fn plan_path(answers: &Path) -> PathBuf {
    let mut path = answers.as_os_str().to_owned();
    path.push(".plan");
    path.into()
}

/// Returns the time since the Unix epoch, or zero if the clock is set to an earlier time.
pub fn now() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
