//! A small JSON reader and writer, so that the stand-ins need no library.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Table(table) = self {
            table.insert(name.to_owned(), value);
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                let _ = write!(out, "{}", *number as i64);
            }
            Json::Number(number) => {
                let _ = write!(out, "{number}");
            }
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Table(table) => {
                out.push('{');
                for (index, (name, value)) in table.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut out = String::new();
        self.write(&mut out);
        formatter.write_str(&out)
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            sign if (sign as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", sign as u32);
            }
            sign => out.push(sign),
        }
    }
    out.push('"');
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

    fn take(&mut self, expected: &[u8]) -> Option<()> {
        self.bytes[self.at..].starts_with(expected).then(|| self.at += expected.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.take(b"null").map(|()| Json::Null),
            b't' => self.take(b"true").map(|()| Json::Bool(true)),
            b'f' => self.take(b"false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.numeral(),
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.space();
            if self.take(b"]").is_some() {
                return Some(Json::List(items));
            }
            if !items.is_empty() {
                self.take(b",")?;
            }
            items.push(self.value()?);
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut table = BTreeMap::new();
        loop {
            self.space();
            if self.take(b"}").is_some() {
                return Some(Json::Table(table));
            }
            if !table.is_empty() {
                self.take(b",")?;
                self.space();
            }
            let name = self.string()?;
            self.space();
            self.take(b":")?;
            table.insert(name, self.value()?);
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b"\"")?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let code = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let sign = char::from_u32(u32::from_str_radix(code, 16).ok()?).unwrap_or('?');
                            self.at += 4;
                            out.extend(sign.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }
}

/// Builds a table.
pub fn table<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Table(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

pub fn text(text: impl Into<String>) -> Json {
    Json::Text(text.into())
}

pub fn number(number: impl Into<f64>) -> Json {
    Json::Number(number.into())
}

pub fn list(items: impl IntoIterator<Item = Json>) -> Json {
    Json::List(items.into_iter().collect())
}
