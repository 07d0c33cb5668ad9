//! Clients.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

/// Host of all routes.
pub const HOST: &str = "hall.example";
/// Time that a client allows a connection to be established.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A request of a client, which opens a connection for it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: &'static str,
    /// Id of the client attempt.
    pub id: String,
    /// How long the client waits.
    pub deadline: Duration,
    /// Session, if the request belongs to one.
    pub session: Option<String>,
    /// When the client leaves, if it does so before its deadline.
    pub leaves_after: Option<Duration>,
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer with its status, the replica's stamp and its body, complete as HTTP tells.
    Answered(u16, String, String),
    /// The answer with this status broke off.
    Cut(u16),
    /// No answer.
    None,
    /// The client left.
    Left,
}

impl Request {
    /// Sends the request to the VM at `address` and waits for its answer.
    pub fn send(&self, address: SocketAddr) -> Outcome {
        self.exchange(address).unwrap_or(Outcome::None)
    }

    fn exchange(&self, address: SocketAddr) -> Option<Outcome> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIME).ok()?;
        let _ = stream.set_nodelay(true);
        let session = self
            .session
            .as_ref()
            .map(|session| format!("Session: {session}\r\n"));
        let length = if self.method == "GET" {
            ""
        } else {
            "Content-Length: 2\r\n"
        };
        let body = if self.method == "GET" { "" } else { "{}" };
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nCloverpost-Attempt-Id: {}\r\nCloverpost-Deadline-Ms: {}\r\n{}{length}\r\n{body}",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            session.unwrap_or_default(),
        );
        stream.write_all(text.as_bytes()).ok()?;
        let wait = self
            .leaves_after
            .unwrap_or(self.deadline + Duration::from_secs(1));
        stream.set_read_timeout(Some(wait)).ok()?;
        let mut reader = BufReader::new(stream);
        if self.leaves_after.is_some() && reader.fill_buf().is_err() {
            return Some(Outcome::Left);
        }
        let head = http::read_head(&mut reader).ok()??;
        let stamp = head
            .field("cloverpost-server-stamp")
            .unwrap_or_default()
            .to_owned();
        let body = http::read_body(&mut reader, &head, false);
        let Ok(body) = body else {
            return Some(Outcome::Cut(head.status()));
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(Outcome::Answered(head.status(), stamp, body))
    }
}
