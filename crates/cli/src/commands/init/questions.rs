//! Interactive questionnaire of `init`. Each answer is validated immediately, and an invalid one is
//! asked for again. Settings that are not asked for keep their defaults.

use sycamoreflow_state::answers::units;
use sycamoreflow_state::generate::names;

use crate::Io;
use crate::exit::{Exit, Failure, Result};

/// Validates an answer. Returns a message for the operator if it is invalid.
type Check<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Asks all questions and returns the text of the answers file.
pub(super) fn ask(io: &mut Io<'_>) -> Result<String> {
    let mesh = ask_value(io, "Name of the mesh", None, &check_name)?;
    let mut text = format!("mesh = {}\n", quoted(&mesh));
    let tenants = ask_list(io, "Tenants: who calls? (names, with commas between)", &[])?;
    for tenant in &tenants {
        let weight = ask_value(io, &format!("Weight of {tenant}"), Some("1"), &check_weight)?;
        text += &format!(
            "\n[[tenants]]\nname = {}\nweight = {weight}\n",
            quoted(tenant)
        );
    }
    let services = ask_list(
        io,
        "Services: what is called? (names, with commas between)",
        &[],
    )?;
    for name in &services {
        text += &ask_service(io, name, &services)?;
    }
    for name in &services {
        text += &ask_route(io, name)?;
    }
    Ok(text)
}

fn ask_service(io: &mut Io<'_>, name: &str, services: &[String]) -> Result<String> {
    let version = ask_value(
        io,
        &format!("Version of {name}"),
        Some("v1"),
        &check_version,
    )?;
    let callers = ask_list(io, &format!("Services that call {name}"), services)?;
    let finish = ask_value(
        io,
        &format!("Time in which a new version of {name} is to get all traffic"),
        Some("30m"),
        &check_duration,
    )?;
    let failures = ask_value(
        io,
        &format!("Percentage of extra failures that makes a new version of {name} bad"),
        Some("1"),
        &check_percent,
    )?;
    let callers: Vec<_> = callers.iter().map(|caller| quoted(caller)).collect();
    Ok(format!(
        "\n[[services]]\nname = {}\nversion = {}\ncallers = [{}]\n\n\
         [services.rollout]\nfinish-within = {}\nmax-extra-failures = {failures}\n",
        quoted(name),
        quoted(&version),
        callers.join(", "),
        quoted(&finish),
    ))
}

fn ask_route(io: &mut Io<'_>, service: &str) -> Result<String> {
    let default = format!("/{service}");
    let prefix = ask_value(
        io,
        &format!("Path prefix of {service}"),
        Some(&default),
        &check_prefix,
    )?;
    let timeout = ask_value(
        io,
        &format!("Time limit of a call to {service}"),
        Some("5s"),
        &check_duration,
    )?;
    Ok(format!(
        "\n[[routes]]\nname = {name}\nservice = {name}\nprefix = {}\ntimeout = {}\n",
        quoted(&prefix),
        quoted(&timeout),
        name = quoted(service),
    ))
}

/// Repeats a question until the answer passes the check. An empty answer selects the default.
fn ask_value(
    io: &mut Io<'_>,
    prompt: &str,
    default: Option<&str>,
    check: Check<'_>,
) -> Result<String> {
    loop {
        match default {
            Some(default) => write!(io.out, "{prompt} [{default}]: ")?,
            None => write!(io.out, "{prompt}: ")?,
        }
        io.out.flush()?;
        let mut line = String::new();
        if io.input.read_line(&mut line)? == 0 {
            return Err(Failure::new(
                Exit::Failure,
                "standard input ended before the last question; no file was written",
            ));
        }
        let answer = match line.trim() {
            "" => default.unwrap_or_default(),
            answer => answer,
        };
        match check(answer) {
            None => return Ok(answer.to_owned()),
            Some(problem) => writeln!(io.out, "{problem}")?,
        }
    }
}

/// Asks for a comma-separated list of names. If `known` is not empty, the list may be empty and may
/// only contain names from `known`; otherwise it needs at least one name.
fn ask_list(io: &mut Io<'_>, prompt: &str, known: &[String]) -> Result<Vec<String>> {
    let check = |answer: &str| {
        let items = split_list(answer);
        let unknown = items
            .iter()
            .find(|item| !known.is_empty() && !known.contains(item));
        let repeated = (1..items.len()).find(|&at| items[..at].contains(&items[at]));
        if let Some(item) = unknown {
            return Some(format!("there is no service {item:?}"));
        }
        if let Some(at) = repeated {
            return Some(format!("{:?} is given twice", items[at]));
        }
        if items.is_empty() && known.is_empty() {
            return Some("at least one is needed".to_owned());
        }
        items.iter().find_map(|item| check_name(item))
    };
    let default = (!known.is_empty()).then_some("");
    let answer = ask_value(io, prompt, default, &check)?;
    Ok(split_list(&answer))
}

fn split_list(answer: &str) -> Vec<String> {
    answer
        .split(',')
        .map(|item| item.trim().to_owned())
        .filter(|item| !item.is_empty())
        .collect()
}

fn check_name(answer: &str) -> Option<String> {
    names::check_name("", answer).map(|problem| problem.to_string())
}

fn check_version(answer: &str) -> Option<String> {
    names::check_version("", answer).map(|problem| problem.to_string())
}

fn check_prefix(answer: &str) -> Option<String> {
    names::check_prefix("", answer).map(|problem| problem.to_string())
}

fn check_weight(answer: &str) -> Option<String> {
    let valid = answer
        .parse()
        .is_ok_and(|weight: u32| (1..=10_000).contains(&weight));
    (!valid).then(|| "use a whole number from 1 to 10000".to_owned())
}

fn check_duration(answer: &str) -> Option<String> {
    let valid = units::parse_duration(answer).is_some_and(|duration| duration.0 > 0);
    (!valid).then(|| "use a number with a unit of ms, s, m, h or d, for example 30s".to_owned())
}

fn check_percent(answer: &str) -> Option<String> {
    let valid = units::parse_percent(answer).is_some_and(|share| share.0 > 0);
    (!valid).then(|| "use a percentage above 0 and up to 100, for example 0.5".to_owned())
}

/// Returns a text as a TOML string. JSON strings use only escapes that TOML also accepts.
fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
