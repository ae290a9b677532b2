//! A small JSON reader and writer; numbers and strings are kept as they were written.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true`, `false` or a number, as written.
    Plain(String),
    /// A string as written, without its quotes and with its escapes.
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) | Json::Plain(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Plain(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Plain(text) => text.clone(),
            Json::Text(text) => format!("\"{text}\""),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::write).collect();
                format!("[{}]", items.join(","))
            }
            Json::Table(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(key, v)| format!("\"{key}\":{}", v.write())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let begin = *at;
    while *bytes.get(*at)? != b'"' {
        *at += if bytes[*at] == b'\\' { 2 } else { 1 };
    }
    let text = String::from_utf8_lossy(&bytes[begin..*at]).into_owned();
    *at += 1;
    Some(text)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'"' => string(bytes, at).map(Json::Text),
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    b'"' => {
                        let key = string(bytes, at)?;
                        skip(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(bytes, at)?));
                    }
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        _ => {
            let begin = *at;
            while bytes.get(*at).is_some_and(|b| !b",]}".contains(b) && !b.is_ascii_whitespace()) {
                *at += 1;
            }
            (*at > begin).then(|| Json::Plain(String::from_utf8_lossy(&bytes[begin..*at]).into_owned()))
        }
    }
}
