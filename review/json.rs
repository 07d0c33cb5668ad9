//! A small JSON parser, and base64 as the store uses it.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses `text`; `None` if it is not JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        at: 0,
    };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == parser.bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.skip_space();
        let is_next = self.bytes[self.at..].starts_with(text.as_bytes());
        is_next.then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            b't' => self.take("true").map(|()| Value::Bool(true)),
            b'f' => self.take("false").map(|()| Value::Bool(false)),
            b'n' => self.take("null").map(|()| Value::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut result = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(result).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => result.push(b'\n'),
                        b't' => result.push(b'\t'),
                        b'r' => result.push(b'\r'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            result.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => result.push(other),
                    }
                }
                other => result.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take("[")?;
        let mut values = Vec::new();
        if self.take("]").is_some() {
            return Some(Value::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(",").is_none() {
                self.take("]")?;
                return Some(Value::List(values));
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        if self.take("}").is_some() {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.take(":")?;
            fields.insert(name, self.value()?);
            if self.take(",").is_none() {
                self.take("}")?;
                return Some(Value::Object(fields));
            }
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let letter = LETTERS[(group >> (18 - 6 * index) & 63) as usize];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let (mut group, mut bits) = (0_u32, 0);
    let mut bytes = Vec::new();
    for letter in text.bytes() {
        let Some(value) = LETTERS.iter().position(|one| *one == letter) else {
            continue;
        };
        group = group << 6 | u32::try_from(value).unwrap_or_default();
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push(u8::try_from(group >> bits & 255).unwrap_or_default());
        }
    }
    bytes
}
