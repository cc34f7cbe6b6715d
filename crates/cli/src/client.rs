//! Client of the operator interface, which tries several daemons in turn until one responds.
//!
//! Retries are safe because every request of the interface is idempotent: reads have no effect, an
//! approval or an evacuation carries a request id, and draining a daemon twice has the same effect as
//! once.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_std::task::sleep;
use bpaf::{Parser, construct, env, long};
use eyre::WrapErr;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamoreflow_state::operator::{ErrorCode, ErrorResponse};

use crate::exit::{Exit, Failure, Result};
use crate::http;

/// Pause after all addresses have been tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum length of the operator token in bytes.
const MAX_TOKEN_BYTES: usize = 4096;

/// Error message for status 401 without an error of the operator interface.
const TOKEN_REFUSED: &str = "the daemon refused the operator token; use the one in the file \
     that its setting operator-token-file names";
/// Error message for status 404 without an error of the operator interface.
const NOT_OPERATOR_INTERFACE: &str = "the address serves no operator interface; use the \
     address listen.operator of a control replica";

/// Options for connecting to the operator interface.
#[derive(Clone, Debug)]
pub struct Options {
    /// Operator addresses of daemons, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// File that contains the operator token. Takes precedence over `token`.
    pub token_file: Option<PathBuf>,
    /// Operator token from the environment.
    pub token: Option<String>,
    /// How long requests are retried while no daemon responds.
    pub wait: Duration,
}

/// Returns the command-line parser of the connection options.
pub fn options() -> impl Parser<Options> {
    let addresses = long("address")
        .env("SYCAMOREFLOW_ADDRESS")
        .help("Operator addresses of daemons, tried in turn")
        .argument::<String>("IP:PORT,...")
        .parse(|text| parse_addresses(&text));
    let token_file = long("token-file")
        .env("SYCAMOREFLOW_TOKEN_FILE")
        .help("File with the operator token (default: the variable SYCAMOREFLOW_TOKEN)")
        .argument::<PathBuf>("FILE")
        .optional();
    let token = env("SYCAMOREFLOW_TOKEN")
        .help("Operator token, if there is no file")
        .argument::<String>("TOKEN")
        .optional();
    let wait = long("wait")
        .help("Time to go on trying when no daemon answers (default 5)")
        .argument::<u32>("SECONDS")
        .fallback(5)
        .map(|seconds| Duration::from_secs(seconds.into()));
    construct!(Options {
        addresses,
        token_file,
        token,
        wait
    })
}

fn parse_addresses(text: &str) -> std::result::Result<Vec<SocketAddr>, String> {
    text.split(',')
        .map(|item| {
            let item = item.trim();
            item.parse()
                .map_err(|_| format!("{item:?} is not an address such as 10.0.0.1:7900"))
        })
        .collect()
}

/// A client of the operator interface.
pub struct Client {
    addresses: Vec<SocketAddr>,
    token: String,
    wait: Duration,
}

impl Client {
    /// Creates a client and reads the token. Fails with [`Exit::Usage`] if the token is missing or
    /// malformed.
    pub fn new(options: &Options) -> Result<Self> {
        Ok(Self {
            addresses: options.addresses.clone(),
            token: read_token(options)?,
            wait: options.wait,
        })
    }

    /// Sends a GET request and decodes the response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call("GET", path, Vec::new()).await
    }

    /// Sends a POST request with a JSON body and decodes the response.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let body = serde_json::to_vec(body).wrap_err("cannot encode the request")?;
        self.call("POST", path, body).await
    }

    /// Sends a request without a body and decodes the response.
    pub async fn send<T: DeserializeOwned>(&self, method: &str, path: &str) -> Result<T> {
        self.call(method, path, Vec::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T> {
        let start = Instant::now();
        loop {
            let mut failures = Vec::new();
            for &address in &self.addresses {
                match http::send(address, method, path, &self.token, body.clone()).await {
                    Ok((status, body)) => match classify_response(status, &body) {
                        Outcome::Success(response) => return Ok(response),
                        Outcome::Final(failure) => return Err(failure),
                        Outcome::TryNext(reason) => failures.push(format!("{address}: {reason}")),
                    },
                    Err(e) => failures.push(format!("{address}: {e}")),
                }
            }
            if start.elapsed() + RETRY_INTERVAL > self.wait {
                let message = format!(
                    "no daemon gave an answer: {}\nCheck that a majority of the control replicas \
                     is running and that --address lists their listen.operator",
                    failures.join("; ")
                );
                return Err(Failure::new(Exit::Unreachable, message));
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Result of a request to one daemon.
enum Outcome<T> {
    Success(T),
    /// Every daemon would respond with this failure.
    Final(Failure),
    /// Another daemon, or this one at a later time, may succeed.
    TryNext(String),
}

fn classify_response<T: DeserializeOwned>(status: u16, body: &[u8]) -> Outcome<T> {
    if (200..300).contains(&status) {
        return match serde_json::from_slice(body) {
            Ok(response) => Outcome::Success(response),
            Err(e) => Outcome::TryNext(format!("cannot read the response: {e}")),
        };
    }
    let Ok(error) = serde_json::from_slice::<ErrorResponse>(body) else {
        let message = match status {
            401 => TOKEN_REFUSED.to_owned(),
            404 => NOT_OPERATOR_INTERFACE.to_owned(),
            _ => format!("status {status}"),
        };
        return match status {
            500.. => Outcome::TryNext(message),
            _ => Outcome::Final(Failure::new(Exit::Failure, message)),
        };
    };
    match error.code {
        ErrorCode::Unavailable => Outcome::TryNext(error.message),
        ErrorCode::Conflict => Outcome::Final(Failure::new(Exit::Conflict, conflict_text(&error))),
        ErrorCode::Invalid => Outcome::Final(Failure::new(Exit::Invalid, invalid_text(&error))),
        ErrorCode::BadRequest
        | ErrorCode::Unauthorized
        | ErrorCode::NotFound
        | ErrorCode::RequestIdReused => Outcome::Final(Failure::new(Exit::Failure, error.message)),
    }
}

fn conflict_text(error: &ErrorResponse) -> String {
    match error.current {
        Some(current) => format!(
            "{}; version {current} is in force, run `sycamoreflow plan` again",
            error.message
        ),
        None => error.message.clone(),
    }
}

fn invalid_text(error: &ErrorResponse) -> String {
    let mut message = error.message.clone();
    for problem in &error.problems {
        message += &format!("\n{problem}");
    }
    message
}

fn read_token(options: &Options) -> Result<String> {
    let token = match (&options.token_file, &options.token) {
        (Some(file), _) => std::fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read the token file {}", file.display()))?,
        (None, Some(token)) => token.clone(),
        (None, None) => {
            let message = "set the operator token with --token-file or SYCAMOREFLOW_TOKEN";
            return Err(Failure::new(Exit::Usage, message));
        }
    };
    let token = token.trim();
    let printable = token.bytes().all(|b| b.is_ascii_graphic());
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES || !printable {
        let message =
            "the operator token must be 1 to 4096 printable ASCII characters without spaces";
        return Err(Failure::new(Exit::Usage, message));
    }
    Ok(token.to_owned())
}

/// Percent-encodes a text for use as a value in a query string or as a segment of a path.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded += &format!("%{byte:02X}");
        }
    }
    encoded
}
