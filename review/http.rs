//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of `name` in the query, with percent escapes resolved.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = { pairs }.find(|(key, _)| *key == name);
        found.map(|(_, value)| unescape(value))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self
            .line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok());
        status.unwrap_or_default()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut result = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten();
        let escaped = escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        result.push(escaped.unwrap_or(bytes[index]));
        index += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&result).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    line.trim_end().clone_into(&mut message.line);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a message whose body has a length.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Sends a request on a new connection and returns the response, whose body has a length.
pub fn call(address: &str, method: &str, target: &str, body: &[u8]) -> io::Result<Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(
        stream,
        "{method} {target} HTTP/1.1\r\nHost: standin\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
