//! A stand-in for the operator interface that sends predefined replies.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use tempfile::TempDir;

use crate::{CommandOutput, run_without_terminal};

/// Reply to one request.
#[derive(Clone)]
pub(crate) enum Reply {
    /// Status and JSON body.
    Json(u16, Value),
    /// Bytes to send as they are, which need not be valid HTTP.
    Raw(Vec<u8>),
    /// Close the connection without a response.
    Close,
    /// Keep the connection open without a response.
    Silent,
}

impl Reply {
    pub(crate) fn ok(body: &impl Serialize) -> Self {
        Self::Json(200, serde_json::to_value(body).unwrap())
    }
}

#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: String,
    pub(crate) body: Value,
}

/// A server that sends its replies in order and then repeats the last one.
pub(crate) struct StandIn {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl StandIn {
    pub(crate) fn start(replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let requests = received.clone();
        thread::spawn(move || {
            for (at, stream) in listener.incoming().enumerate() {
                let reply = replies[at.min(replies.len() - 1)].clone();
                respond(stream.unwrap(), reply, &requests);
            }
        });
        Self { address, received }
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

fn respond(stream: TcpStream, reply: Reply, requests: &Mutex<Vec<ReceivedRequest>>) {
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
        head += &line;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    requests
        .lock()
        .unwrap()
        .push(ReceivedRequest { head, body });
    let mut stream = reader.into_inner();
    match reply {
        Reply::Json(status, body) => {
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream
                .write_all(format!("{head}{body}").as_bytes())
                .unwrap();
        }
        // The client may close the connection before it has received all bytes.
        Reply::Raw(bytes) => drop(stream.write_all(&bytes)),
        Reply::Close => {}
        Reply::Silent => {
            thread::spawn(move || {
                thread::sleep(Duration::from_secs(30));
                drop(stream);
            });
        }
    }
}

/// A temporary directory with an answers file and a token file.
pub(crate) struct Files {
    dir: TempDir,
}

impl Files {
    pub(crate) fn new(answers: &str) -> Self {
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("answers.toml"), answers).unwrap();
        std::fs::write(dir.path().join("token"), "secret\n").unwrap();
        Self { dir }
    }

    pub(crate) fn answers(&self) -> PathBuf {
        self.dir.path().join("answers.toml")
    }

    /// Runs a command with the path of the answers file as its last argument.
    pub(crate) fn run(
        &self,
        command: &str,
        addresses: &[SocketAddr],
        args: &[&str],
    ) -> CommandOutput {
        let file = self.answers();
        let args = [args, &[file.to_str().unwrap()]].concat();
        self.run_without_file(command, addresses, &args)
    }

    /// Runs a command without the path of the answers file.
    pub(crate) fn run_without_file(
        &self,
        command: &str,
        addresses: &[SocketAddr],
        args: &[&str],
    ) -> CommandOutput {
        let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        let addresses = addresses.join(",");
        let token = self.dir.path().join("token");
        let connection = [
            "--address",
            &addresses,
            "--token-file",
            token.to_str().unwrap(),
        ];
        let wait = ["--wait", "0"];
        run_without_terminal(&[&[command], &connection[..], &wait[..], args].concat())
    }
}

/// Returns an address on which no server listens.
pub(crate) fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}
