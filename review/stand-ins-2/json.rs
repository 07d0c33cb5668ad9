//! JSON as far as the store's calls need it.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `null`, `true`, `false` or a number.
    Plain(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object.
    Table(BTreeMap<String, Value>),
}

impl Value {
    /// The field `name` of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    /// The text of a string; empty for other values.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// The value of a whole number; 0 for other values.
    pub fn number(&self) -> u64 {
        match self {
            Self::Plain(text) => text.parse().unwrap_or_default(),
            _ => 0,
        }
    }

    /// The entries of an array.
    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(entries) => entries,
            _ => &[],
        }
    }
}

/// Parses `text`; `None` if it is no JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut rest = text.as_bytes();
    value(&mut rest)
}

fn skip_blanks(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], byte: u8) -> Option<()> {
    skip_blanks(rest);
    (rest.first() == Some(&byte)).then(|| *rest = &rest[1..])
}

fn value(rest: &mut &[u8]) -> Option<Value> {
    skip_blanks(rest);
    match rest.first()? {
        b'{' => table(rest),
        b'[' => list(rest),
        b'"' => string(rest).map(Value::Text),
        _ => {
            let end = rest.iter().position(|byte| b",]} \n\r\t".contains(byte));
            let (word, after) = rest.split_at(end.unwrap_or(rest.len()));
            *rest = after;
            Some(Value::Plain(String::from_utf8_lossy(word).into_owned()))
        }
    }
}

fn table(rest: &mut &[u8]) -> Option<Value> {
    take(rest, b'{')?;
    let mut fields = BTreeMap::new();
    while take(rest, b'}').is_none() {
        skip_blanks(rest);
        let name = string(rest)?;
        take(rest, b':')?;
        fields.insert(name, value(rest)?);
        let _ = take(rest, b',');
    }
    Some(Value::Table(fields))
}

fn list(rest: &mut &[u8]) -> Option<Value> {
    take(rest, b'[')?;
    let mut entries = Vec::new();
    while take(rest, b']').is_none() {
        entries.push(value(rest)?);
        let _ = take(rest, b',');
    }
    Some(Value::List(entries))
}

fn string(rest: &mut &[u8]) -> Option<String> {
    take(rest, b'"')?;
    let mut bytes = Vec::new();
    loop {
        let (byte, after) = rest.split_first()?;
        *rest = after;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let (escaped, after) = rest.split_first()?;
                *rest = after;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let (digits, after) = rest.split_at_checked(4)?;
                        *rest = after;
                        let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                        let letter = char::from_u32(code.ok()?)?;
                        bytes.extend(letter.to_string().bytes());
                    }
                    other => bytes.push(*other),
                }
            }
            other => bytes.push(*other),
        }
    }
}
