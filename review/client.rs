//! A client: sends one request on a new connection and reads the answer.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::site::HOST;

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub deadline_ms: u64,
    pub key: &'static str,
    /// Further headers, each with its end of line.
    pub headers: String,
    pub body: String,
}

/// What the client has got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Unix time of the request, in milliseconds.
    pub sent_ms: u128,
    pub took: Duration,
    /// Status; 0 if there is no answer.
    pub status: u16,
    pub stamp: String,
    pub body: String,
    /// Whether the framing says that the body is complete.
    pub is_complete: bool,
}

/// Sends `request` to `address`.
pub fn send(address: &str, request: &Request) -> Answer {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = Instant::now();
    let mut answer = Answer {
        sent_ms: now.unwrap_or_default().as_millis(),
        ..Answer::default()
    };
    // What was read before an error stays in the answer.
    let _ = exchange(address, request, &mut answer);
    answer.took = started.elapsed();
    answer
}

fn exchange(address: &str, request: &Request, answer: &mut Answer) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms)))?;
    let mut reader = BufReader::new(stream);
    exchange_on(&mut reader, request, answer)
}

/// Sends `request` on an open connection and reads the answer.
pub fn exchange_on(
    reader: &mut BufReader<TcpStream>,
    request: &Request,
    answer: &mut Answer,
) -> io::Result<()> {
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nCloverpost-Attempt-Id: {}\r\nCloverpost-Deadline-Ms: {}\r\n\
         Authorization: Token {}\r\n{}Content-Length: {}\r\n\r\n{}",
        request.path,
        request.id,
        request.deadline_ms,
        request.key,
        request.headers,
        request.body.len(),
        request.body
    );
    reader.get_mut().write_all(head.as_bytes())?;
    let response = http::read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = response.status();
    let stamp = response.header("cloverpost-server-stamp");
    stamp.unwrap_or_default().clone_into(&mut answer.stamp);
    let length = response
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        answer.body = String::from_utf8_lossy(&body).into_owned();
        answer.is_complete = true;
        return Ok(());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            answer.is_complete = true;
            return Ok(());
        }
        answer
            .body
            .push_str(&String::from_utf8_lossy(&chunk[..length]));
    }
}

/// Ids of the events in a stream's body.
pub fn event_ids(body: &str) -> Vec<usize> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
