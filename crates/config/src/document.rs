//! Reading TOML with positions, collecting every mistake instead of stopping at the first.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// The file, as it was named by whoever asked.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Path of the key, such as `pool[0].engine[2].address`.
    pub key: String,
    /// What is wrong and what would be right.
    pub message: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// All mistakes of a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(Mistake::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Mistakes(pub Vec<Mistake>);

/// Where mistakes of one file are collected.
pub(crate) struct Report<'a> {
    file: &'a str,
    text: &'a str,
    mistakes: RefCell<Vec<Mistake>>,
}

impl<'a> Report<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, mistakes: RefCell::new(Vec::new()) }
    }

    pub(crate) fn add(&self, span: Range<usize>, key: &str, message: impl Into<String>) {
        let start = span.start.min(self.text.len());
        let line = self.text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count() + 1;
        let mistake =
            Mistake { file: self.file.to_owned(), line, key: key.to_owned(), message: message.into() };
        self.mistakes.borrow_mut().push(mistake);
    }

    /// The value, unless mistakes were found.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Mistakes> {
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort_by_key(|mistake| mistake.line);
        match value {
            Some(value) if mistakes.is_empty() => Ok(value),
            _ => Err(Mistakes(mistakes)),
        }
    }

    /// Parses the text and hands its root table to `read`.
    pub(crate) fn read<T>(self, read: impl FnOnce(&mut Table<'_>) -> T) -> Result<T, Mistakes> {
        match DeTable::parse(self.text) {
            Err(error) => {
                self.add(error.span().unwrap_or(0..0), "(syntax)", error.message().to_owned());
                self.finish(None)
            }
            Ok(root) => {
                let mut table = Table::new(root.get_ref(), root.span(), String::new(), &self);
                let value = read(&mut table);
                table.finish();
                self.finish(Some(value))
            }
        }
    }
}

/// A table whose keys are asked for one by one; what was never asked for is unknown.
pub(crate) struct Table<'a> {
    table: &'a DeTable<'a>,
    span: Range<usize>,
    path: String,
    report: &'a Report<'a>,
    known: BTreeSet<&'static str>,
}

impl<'a> Table<'a> {
    fn new(table: &'a DeTable<'a>, span: Range<usize>, path: String, report: &'a Report<'a>) -> Self {
        Self { table, span, path, report, known: BTreeSet::new() }
    }

    /// Reports keys that nobody asked for.
    pub(crate) fn finish(self) {
        for key in self.table.keys() {
            if !self.known.contains(key.get_ref().as_ref()) {
                let known: Vec<&str> = self.known.iter().copied().collect();
                let message = format!("unknown key; known here: {}", known.join(", "));
                self.report.add(key.span(), &self.path_of(key.get_ref()), message);
            }
        }
    }

    /// Reports a mistake at a key.
    pub(crate) fn mistake(&self, key: &str, message: impl Into<String>) {
        let span = self.table.get(key).map_or(self.span.clone(), Spanned::span);
        self.report.add(span, &self.path_of(key), message);
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.insert(key);
        self.table.get(key)
    }

    /// Text that must be there; an empty text stands in where it is not.
    pub(crate) fn text(&mut self, key: &'static str) -> String {
        self.optional_text(key).unwrap_or_else(|| {
            if self.table.get(key).is_none() {
                self.mistake(key, "missing; a text is needed");
            }
            String::new()
        })
    }

    /// Text that may be missing.
    pub(crate) fn optional_text(&mut self, key: &'static str) -> Option<String> {
        let value = self.get(key)?.get_ref();
        let text = value.as_str().map(str::to_owned);
        if text.is_none() {
            self.mistake(key, format!("a text is needed, not {}", value.type_str()));
        }
        text
    }

    /// A text that a type can be read from; `None`, with the mistake reported, where it can't.
    pub(crate) fn parsed<T: FromStr>(&mut self, key: &'static str, needed: &str) -> Option<T> {
        let text = self.text(key);
        if text.is_empty() {
            return None;
        }
        self.parse(key, &text, needed)
    }

    /// Like `parsed`, for a key that may be missing.
    pub(crate) fn optional_parsed<T: FromStr>(&mut self, key: &'static str, needed: &str) -> Option<T> {
        let text = self.optional_text(key)?;
        self.parse(key, &text, needed)
    }

    fn parse<T: FromStr>(&self, key: &str, text: &str, needed: &str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.mistake(key, format!("{needed} is needed, not \"{text}\""));
        }
        parsed
    }

    /// An IP address with port.
    pub(crate) fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.parsed(key, "an IP number with port, such as 127.0.0.1:8080,")
    }

    /// A name by the rules for names.
    pub(crate) fn name<T: TryFrom<String>>(&mut self, key: &'static str) -> Option<T>
    where
        T::Error: fmt::Display,
    {
        let text = self.text(key);
        if text.is_empty() {
            return None;
        }
        self.to_name(key, text)
    }

    fn to_name<T: TryFrom<String>>(&self, key: &str, text: String) -> Option<T>
    where
        T::Error: fmt::Display,
    {
        match T::try_from(text) {
            Ok(name) => Some(name),
            Err(error) => {
                self.mistake(key, error.to_string());
                None
            }
        }
    }

    /// A list of names; an empty one where the key is missing.
    pub(crate) fn names<T: TryFrom<String>>(&mut self, key: &'static str) -> Vec<T>
    where
        T::Error: fmt::Display,
    {
        let texts = self.texts(key);
        texts.into_iter().filter_map(|text| self.to_name(key, text)).collect()
    }

    /// A list of texts; an empty one where the key is missing.
    pub(crate) fn texts(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.mistake(key, "a list of texts is needed");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in items.iter() {
            match item.get_ref().as_str() {
                Some(text) => texts.push(text.to_owned()),
                None => self.report.add(item.span(), &self.path_of(key), "a text is needed"),
            }
        }
        texts
    }

    /// A list of whole numbers; an empty one where the key is missing.
    pub(crate) fn integers(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Vec<u64> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.mistake(key, "a list of whole numbers is needed");
            return Vec::new();
        };
        items.iter().filter_map(|item| self.to_integer(key, item, &range)).collect()
    }

    /// A whole number that must be there.
    pub(crate) fn integer(&mut self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        let start = *range.start();
        match self.get(key) {
            Some(value) => self.to_integer(key, value, &range).unwrap_or(start),
            None => {
                self.mistake(key, "missing; a whole number is needed");
                start
            }
        }
    }

    /// A whole number that may be missing.
    pub(crate) fn integer_or(&mut self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        match self.get(key) {
            Some(value) => self.to_integer(key, value, &range).unwrap_or(default),
            None => default,
        }
    }

    fn to_integer(
        &self,
        key: &str,
        value: &Spanned<DeValue<'_>>,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let integer = value.get_ref().as_integer();
        let number = integer.and_then(|digits| u64::from_str_radix(digits.as_str(), digits.radix()).ok());
        let in_range = number.filter(|number| range.contains(number));
        if in_range.is_none() {
            let message = format!("a whole number from {} to {} is needed", range.start(), range.end());
            self.report.add(value.span(), &self.path_of(key), message);
        }
        in_range
    }

    /// A number that may be missing.
    pub(crate) fn number_or(&mut self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(value) = self.get(key) else { return default };
        let value = value.get_ref();
        let digits = value.as_float().map(|float| float.as_str().to_owned());
        let digits = digits.or_else(|| value.as_integer().map(|integer| integer.as_str().to_owned()));
        let number = digits.and_then(|digits| digits.parse::<f64>().ok());
        number.filter(|number| range.contains(number)).unwrap_or_else(|| {
            self.mistake(key, format!("a number from {} to {} is needed", range.start(), range.end()));
            default
        })
    }

    /// A time in seconds that may be missing.
    pub(crate) fn seconds_or(&mut self, key: &'static str, default: Duration) -> Duration {
        let seconds = self.number_or(key, 0.001..=10_000_000.0, default.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    /// True or false; `default` where the key is missing.
    pub(crate) fn flag_or(&mut self, key: &'static str, default: bool) -> bool {
        let Some(value) = self.get(key) else { return default };
        value.get_ref().as_bool().unwrap_or_else(|| {
            self.mistake(key, "true or false is needed");
            default
        })
    }

    /// Hands a sub-table to `read`; a missing one is read as empty.
    pub(crate) fn table<T>(&mut self, key: &'static str, read: impl FnOnce(&mut Table<'_>) -> T) -> T {
        let empty = DeTable::new();
        let (table, span) = match self.get(key) {
            None => (&empty, self.span.clone()),
            Some(value) => match value.get_ref().as_table() {
                Some(table) => (table, value.span()),
                None => {
                    self.mistake(key, "a table is needed");
                    (&empty, value.span())
                }
            },
        };
        let mut table = Table::new(table, span, self.path_of(key), self.report);
        let value = read(&mut table);
        table.finish();
        value
    }

    /// Hands each table of a list to `read`.
    pub(crate) fn tables<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut Table<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.mistake(key, "a list of tables is needed");
            return Vec::new();
        };
        let mut values = Vec::new();
        for (position, item) in items.iter().enumerate() {
            let path = format!("{}[{position}]", self.path_of(key));
            match item.get_ref().as_table() {
                Some(table) => {
                    let mut table = Table::new(table, item.span(), path, self.report);
                    values.extend(read(&mut table));
                    table.finish();
                }
                None => self.report.add(item.span(), &path, "a table is needed"),
            }
        }
        values
    }
}
