//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead};

/// The first line and the fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Names in lowercase, with their values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of the first field `name`, which is in lowercase.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter().filter(|(other, _)| other == name);
        fields.next().map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` if the connection ends before the first byte.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return if head.line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end();
        if head.line.is_empty() {
            line.clone_into(&mut head.line);
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            head.fields.push(field);
        }
    }
}

/// Reads the body of a message with `head` to its end. A response without a length ends with its
/// connection if `may_end_with_connection`.
pub fn read_body(
    stream: &mut impl BufRead,
    head: &Head,
    may_end_with_connection: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let is_chunked = head
        .field("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let digits = line.trim().split(';').next().unwrap_or_default();
            let length = u64::from_str_radix(digits, 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; usize::try_from(length).unwrap_or_default() + 2];
            stream.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..chunk.len() - 2]);
        }
    }
    match head.field("content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            body.resize(length, 0);
            stream.read_exact(&mut body)?;
        }
        Some(Err(_)) => return Err(io::ErrorKind::InvalidData.into()),
        None if may_end_with_connection => {
            stream.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}
