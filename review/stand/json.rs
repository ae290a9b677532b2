//! A small reader and writer of JSON.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// The digits as they were read, so that large whole numbers stay exact.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a document; `None` if it is malformed.
    pub fn read(text: &str) -> Option<Self> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns a field of a table; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Self::Table(fields) = self {
            fields.insert(name.to_string(), value);
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(digits) => digits.parse().ok(),
            _ => None,
        }
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number.to_string())
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_string())
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(digits) => f.write_str(digits),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                f.write_str("[")?;
                for (number, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if number > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Self::Table(fields) => {
                f.write_str("{")?;
                for (number, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if number > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(byte)
    }

    /// Skips space and then `byte`, if that follows.
    fn skip(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.skip(b'}') {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    if !self.skip(b':') {
                        return None;
                    }
                    fields.insert(name, self.value()?);
                    if self.skip(b'}') {
                        return Some(Json::Table(fields));
                    }
                    if !self.skip(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.skip(b']') {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.skip(b']') {
                        return Some(Json::List(items));
                    }
                    if !self.skip(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let from = self.at;
                let is_part = |b: &u8| b.is_ascii_alphanumeric() || b"+-.".contains(b);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[from..self.at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    "" => None,
                    digits => Some(Json::Number(digits.to_string())),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.next()? != b'"' {
            return None;
        }
        let mut out = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => match self.next()? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                        let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                        self.at += 4;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                },
                byte => out.push(byte),
            }
        }
    }
}
