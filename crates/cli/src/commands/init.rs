//! `init`: writes a new answers file, either a commented template or from the operator's answers at
//! a terminal.

use std::fs::OpenOptions;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long, positional};
use eyre::WrapErr;
use sycamoreflow_state::answers::{Answers, template};
use sycamoreflow_state::generate::generate;

use crate::Io;
use crate::answers_file::{invalid_answers, now};
use crate::exit::{Exit, Failure, Result};

mod questions;

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    template: bool,
    force: bool,
    file: PathBuf,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let template = long("template")
        .help("Write a commented file instead of asking")
        .switch();
    let force = long("force").help("Replace the file if it exists").switch();
    let file = positional::<PathBuf>("FILE")
        .help("File to write (default answers.toml)")
        .fallback("answers.toml".into());
    construct!(Options {
        template,
        force,
        file
    })
}

/// Writes the file. Fails if it exists and `--force` is not given.
pub fn run(options: &Options, io: &mut Io<'_>) -> Result {
    // Checked before the questions are asked, so that the operator's answers aren't lost.
    if !options.force && options.file.exists() {
        return Err(already_exists(&options.file));
    }
    let text = if options.template {
        template().to_owned()
    } else if io.terminal {
        questions::ask(io)?
    } else {
        let message = "standard input is not a terminal; use --template to write a file to edit";
        return Err(Failure::new(Exit::Usage, message));
    };
    check_answers(&options.file, &text, io.err)?;
    write_file(options, &text)?;
    writeln!(io.out, "wrote {}", options.file.display())?;
    Ok(())
}

fn check_answers(file: &Path, text: &str, err: &mut dyn Write) -> Result {
    let name = file.display().to_string();
    let checked = Answers::parse(&name, text).and_then(|answers| generate(&answers, now()));
    let Err(problems) = checked else {
        return Ok(());
    };
    for problem in &problems {
        writeln!(err, "{problem}")?;
    }
    Err(invalid_answers(&problems))
}

fn write_file(options: &Options, text: &str) -> Result {
    let mut open = OpenOptions::new();
    open.write(true);
    if options.force {
        open.create(true).truncate(true);
    } else {
        open.create_new(true);
    }
    let result = open
        .open(&options.file)
        .and_then(|mut file| file.write_all(text.as_bytes()));
    match result {
        Err(e) if e.kind() == ErrorKind::AlreadyExists => Err(already_exists(&options.file)),
        result => Ok(result.wrap_err_with(|| format!("cannot write {}", options.file.display()))?),
    }
}

fn already_exists(file: &Path) -> Failure {
    let message = format!(
        "{} already exists; use --force to replace it",
        file.display()
    );
    Failure::new(Exit::Failure, message)
}
