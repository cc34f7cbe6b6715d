//! `check`: lists all problems of an answers file, without contacting a daemon.

use std::path::PathBuf;

use bpaf::{Parser, construct};
use serde_json::json;

use crate::answers_file;
use crate::exit::Result;
use crate::{Io, output};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    json: bool,
    file: PathBuf,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let json = super::json();
    let file = super::file();
    construct!(Options { json, file })
}

/// Prints the problems, or a summary of a valid file. Fails with
/// [`Exit::Invalid`](crate::exit::Exit::Invalid) if there are problems.
pub fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let checked = answers_file::read(&options.file)?;
    match checked {
        Ok(file) if options.json => {
            output::json(io.out, &json!({ "problems": [], "config": file.config }))
        }
        Ok(file) => {
            let cfg = &file.config;
            writeln!(
                io.out,
                "mesh {}: tenants {}, services {}, routes {}, no problems",
                file.mesh,
                cfg.tenants.len(),
                cfg.services.len(),
                cfg.routes.len()
            )?;
            Ok(())
        }
        Err(problems) => {
            if options.json {
                output::json(io.out, &json!({ "problems": problems }))?;
            } else {
                for problem in &problems {
                    writeln!(io.out, "{problem}")?;
                }
            }
            Err(answers_file::invalid_answers(&problems))
        }
    }
}
