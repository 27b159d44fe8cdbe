//! TOML reader that keeps positions and collects all errors instead of stopping at the first.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// An error at one place in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// File name as given by the caller of the parser.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the key, such as `pool[0].engine[2].address`.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// All errors of a configuration file, by line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ConfigError::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ConfigErrors(pub Vec<ConfigError>);

/// Collects the errors of one file.
pub(crate) struct ErrorCollector<'a> {
    file: &'a str,
    text: &'a str,
    errors: RefCell<Vec<ConfigError>>,
}

impl<'a> ErrorCollector<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, errors: RefCell::new(Vec::new()) }
    }

    pub(crate) fn add(&self, span: Range<usize>, key: &str, message: impl Into<String>) {
        let start = span.start.min(self.text.len());
        let line = self.text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count() + 1;
        let error =
            ConfigError { file: self.file.to_owned(), line, key: key.to_owned(), message: message.into() };
        self.errors.borrow_mut().push(error);
    }

    /// Returns the value, or the errors if there are any.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, ConfigErrors> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        match value {
            Some(value) if errors.is_empty() => Ok(value),
            _ => Err(ConfigErrors(errors)),
        }
    }

    /// Parses the text and passes its root table to `read`.
    pub(crate) fn read<T>(self, read: impl FnOnce(&mut Table<'_>) -> T) -> Result<T, ConfigErrors> {
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

/// A TOML table that records which keys are read; `finish` reports the others as unknown.
pub(crate) struct Table<'a> {
    table: &'a DeTable<'a>,
    span: Range<usize>,
    path: String,
    collector: &'a ErrorCollector<'a>,
    known_keys: BTreeSet<&'static str>,
}

impl<'a> Table<'a> {
    fn new(
        table: &'a DeTable<'a>,
        span: Range<usize>,
        path: String,
        collector: &'a ErrorCollector<'a>,
    ) -> Self {
        Self { table, span, path, collector, known_keys: BTreeSet::new() }
    }

    pub(crate) fn finish(self) {
        for key in self.table.keys() {
            if !self.known_keys.contains(key.get_ref().as_ref()) {
                let expected: Vec<&str> = self.known_keys.iter().copied().collect();
                let message = format!("unknown key; expected one of: {}", expected.join(", "));
                self.collector.add(key.span(), &self.path_of(key.get_ref()), message);
            }
        }
    }

    /// Reports an error at a key, or at the table if the key is missing.
    pub(crate) fn report_error(&self, key: &str, message: impl Into<String>) {
        let span = self.table.get(key).map_or(self.span.clone(), Spanned::span);
        self.collector.add(span, &self.path_of(key), message);
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_keys.insert(key);
        self.table.get(key)
    }

    /// A required string; empty, with the error reported, if missing or of another type.
    pub(crate) fn string(&mut self, key: &'static str) -> String {
        self.optional_string(key).unwrap_or_else(|| {
            if self.table.get(key).is_none() {
                self.report_error(key, "missing; expected a string");
            }
            String::new()
        })
    }

    pub(crate) fn optional_string(&mut self, key: &'static str) -> Option<String> {
        let value = self.get(key)?.get_ref();
        let text = value.as_str().map(str::to_owned);
        if text.is_none() {
            self.report_error(key, format!("expected a string, found {}", value.type_str()));
        }
        text
    }

    /// A required string parsed as `T`; `None`, with the error reported, if that fails. `expected` describes `T`.
    pub(crate) fn parsed<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        let text = self.string(key);
        if text.is_empty() {
            return None;
        }
        self.parse(key, &text, expected)
    }

    /// Like [`Table::parsed`], but a missing key is no error.
    pub(crate) fn optional_parsed<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        let text = self.optional_string(key)?;
        self.parse(key, &text, expected)
    }

    fn parse<T: FromStr>(&self, key: &str, text: &str, expected: &str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report_error(key, format!("expected {expected}, found \"{text}\""));
        }
        parsed
    }

    /// A required IP address with port.
    pub(crate) fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.parsed(key, "an IP address with port, such as 127.0.0.1:8080")
    }

    /// A required name; `None`, with the error reported, if it is missing or invalid.
    pub(crate) fn name<T: TryFrom<String>>(&mut self, key: &'static str) -> Option<T>
    where
        T::Error: fmt::Display,
    {
        let text = self.string(key);
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
                self.report_error(key, error.to_string());
                None
            }
        }
    }

    /// An array of names; empty if missing. Invalid names are reported and left out.
    pub(crate) fn names<T: TryFrom<String>>(&mut self, key: &'static str) -> Vec<T>
    where
        T::Error: fmt::Display,
    {
        let strings = self.strings(key);
        strings.into_iter().filter_map(|text| self.to_name(key, text)).collect()
    }

    /// An array of strings; empty if missing. Other items are reported and left out.
    pub(crate) fn strings(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.report_error(key, "expected an array of strings");
            return Vec::new();
        };
        let mut strings = Vec::new();
        for item in items.iter() {
            match item.get_ref().as_str() {
                Some(text) => strings.push(text.to_owned()),
                None => self.collector.add(item.span(), &self.path_of(key), "expected a string"),
            }
        }
        strings
    }

    /// An array of integers; empty if missing. Other items are reported and left out.
    pub(crate) fn integers(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Vec<u64> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.report_error(key, "expected an array of integers");
            return Vec::new();
        };
        items.iter().filter_map(|item| self.to_integer(key, item, &range)).collect()
    }

    /// A required integer; the start of the range, with the error reported, if missing or invalid.
    pub(crate) fn integer(&mut self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        let start = *range.start();
        match self.get(key) {
            Some(value) => self.to_integer(key, value, &range).unwrap_or(start),
            None => {
                self.report_error(key, "missing; expected an integer");
                start
            }
        }
    }

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
            let message = format!("expected an integer from {} to {}", range.start(), range.end());
            self.collector.add(value.span(), &self.path_of(key), message);
        }
        in_range
    }

    /// A float or an integer; `default` if missing or invalid.
    pub(crate) fn float_or(&mut self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(value) = self.get(key) else { return default };
        let value = value.get_ref();
        let digits = value.as_float().map(|float| float.as_str().to_owned());
        let digits = digits.or_else(|| value.as_integer().map(|integer| integer.as_str().to_owned()));
        let number = digits.and_then(|digits| digits.parse::<f64>().ok());
        number.filter(|number| range.contains(number)).unwrap_or_else(|| {
            self.report_error(key, format!("expected a number from {} to {}", range.start(), range.end()));
            default
        })
    }

    /// A duration in seconds; `default` if missing or invalid.
    pub(crate) fn duration_or(&mut self, key: &'static str, default: Duration) -> Duration {
        let seconds = self.float_or(key, 0.001..=10_000_000.0, default.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    pub(crate) fn bool_or(&mut self, key: &'static str, default: bool) -> bool {
        let Some(value) = self.get(key) else { return default };
        value.get_ref().as_bool().unwrap_or_else(|| {
            self.report_error(key, "expected a boolean");
            default
        })
    }

    /// Passes a sub-table to `read`; a missing one is read as an empty table.
    pub(crate) fn table<T>(&mut self, key: &'static str, read: impl FnOnce(&mut Table<'_>) -> T) -> T {
        let empty = DeTable::new();
        let (table, span) = match self.get(key) {
            None => (&empty, self.span.clone()),
            Some(value) => match value.get_ref().as_table() {
                Some(table) => (table, value.span()),
                None => {
                    self.report_error(key, "expected a table");
                    (&empty, value.span())
                }
            },
        };
        let mut table = Table::new(table, span, self.path_of(key), self.collector);
        let value = read(&mut table);
        table.finish();
        value
    }

    /// Passes each table of an array to `read` and keeps the values that it returns.
    pub(crate) fn tables<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut Table<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.report_error(key, "expected an array of tables");
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(key));
            match item.get_ref().as_table() {
                Some(table) => {
                    let mut table = Table::new(table, item.span(), path, self.collector);
                    values.extend(read(&mut table));
                    table.finish();
                }
                None => self.collector.add(item.span(), &path, "expected a table"),
            }
        }
        values
    }
}
