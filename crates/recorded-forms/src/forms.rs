//! Recorded forms, and the checks of a build against them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use prost::Message;

use crate::failures::{Failure, Failures};
use crate::hex;

/// Marks a line that says something to a reader.
const COMMENT: char = '#';
/// Name of the form without any optional field.
const BARE: &str = "bare";

/// How a build writes and reads one kind of value.
pub struct Codec<M> {
    /// The bytes of a value.
    pub encode: fn(&M) -> Vec<u8>,
    /// The value of bytes, or why there is none.
    pub decode: fn(&[u8]) -> Result<M, String>,
}

impl<M: Message + Default> Codec<M> {
    /// Of a protocol buffer message.
    pub fn message() -> Self {
        Self {
            encode: |message| message.encode_to_vec(),
            decode: |bytes| M::decode(bytes).map_err(|error| error.to_string()),
        }
    }
}

type Key = (String, String);

/// The forms of a file, and what was found out about them.
pub struct RecordedForms {
    forms: BTreeMap<Key, Vec<u8>>,
    checked: BTreeSet<Key>,
    written: BTreeSet<Key>,
    failures: Vec<Failure>,
}

impl RecordedForms {
    /// The forms of a file's text.
    pub fn parse(text: &str) -> Self {
        let mut recorded = Self {
            forms: BTreeMap::new(),
            checked: BTreeSet::new(),
            written: BTreeSet::new(),
            failures: Vec::new(),
        };
        let lines = (1..).zip(text.lines());
        for (number, line) in lines.filter(|(_, line)| !line.is_empty() && !line.starts_with(COMMENT)) {
            let is_new =
                read_line(line).is_some_and(|(key, bytes)| recorded.forms.insert(key, bytes).is_none());
            if !is_new {
                recorded.failures.push(Failure::Line(number));
            }
        }
        recorded
    }

    /// The bytes of a form, for a reader of another build; empty where there is none, which is a failure.
    pub fn bytes(&mut self, kind: &str, form: &str) -> Vec<u8> {
        let found = self.forms.get(&key(kind, form)).cloned();
        if found.is_none() {
            self.failures.push(Failure::Unknown { kind: kind.to_owned(), form: form.to_owned() });
        }
        found.unwrap_or_default()
    }

    /// A form that an earlier build wrote is read as a value.
    pub fn reads<M: PartialEq + Debug>(&mut self, codec: &Codec<M>, kind: &str, form: &str, expected: &M) {
        let bytes = self.bytes(kind, form);
        self.checked.insert(key(kind, form));
        let read = (codec.decode)(&bytes);
        if read.as_ref() != Ok(expected) {
            self.failures.push(Failure::Read {
                kind: kind.to_owned(),
                form: form.to_owned(),
                read: format!("{read:?}"),
                expected: format!("{expected:?}"),
            });
        }
    }

    /// A form is read as a value, and the value is written as that form.
    pub fn writes<M: PartialEq + Debug>(&mut self, codec: &Codec<M>, kind: &str, form: &str, value: &M) {
        let written = (codec.encode)(value);
        let Some(recorded) = self.forms.get(&key(kind, form)) else {
            let (kind, form) = key(kind, form);
            self.failures.push(Failure::Missing { kind, form, written: hex::to_text(&written) });
            return;
        };
        self.written.insert(key(kind, form));
        if *recorded != written {
            self.failures.push(Failure::Written {
                kind: kind.to_owned(),
                form: form.to_owned(),
                written: hex::to_text(&written),
                recorded: hex::to_text(recorded),
            });
        }
        self.reads(codec, kind, form, value);
    }

    /// The form without any optional field is read as a value, and the value is written as that form.
    pub fn writes_bare<M: PartialEq + Debug>(&mut self, codec: &Codec<M>, kind: &str, value: &M) {
        self.writes(codec, kind, BARE, value);
    }

    /// A form is of a kind that is written no more, and is not misread: today's build reads nothing of it.
    pub fn refuses<M: Debug>(&mut self, codec: &Codec<M>, kind: &str, form: &str) {
        let bytes = self.bytes(kind, form);
        self.checked.insert(key(kind, form));
        if let Ok(read) = (codec.decode)(&bytes) {
            self.failures.push(Failure::Read {
                kind: kind.to_owned(),
                form: form.to_owned(),
                read: format!("{read:?}"),
                expected: "nothing".to_owned(),
            });
        }
    }

    /// Ends the checks: each recorded form was checked, and of each of these kinds the highest number is the form that
    /// today's build writes.
    pub fn finish(mut self, kinds: &[&str]) -> Result<(), Failures> {
        for (kind, form) in self.forms.keys().filter(|key| !self.checked.contains(*key)) {
            self.failures.push(Failure::NotChecked { kind: kind.clone(), form: form.clone() });
        }
        let without_newest = kinds.iter().filter(|kind| !self.writes_newest_of(kind));
        let without_newest = without_newest.map(|kind| Failure::NoNewest((*kind).to_owned()));
        let without_newest: Vec<Failure> = without_newest.collect();
        self.failures.extend(without_newest);
        if self.failures.is_empty() { Ok(()) } else { Err(Failures(self.failures)) }
    }

    /// Whether the newest form of a kind, and the bare one, are those that are written.
    fn writes_newest_of(&self, kind: &str) -> bool {
        let forms = self.forms.keys().filter(|(of, _)| of == kind);
        let newest = forms.filter_map(|(_, form)| form.parse::<u32>().ok()).max();
        let written = |form: &str| self.written.contains(&key(kind, form));
        newest.is_some_and(|number| written(&number.to_string())) && written(BARE)
    }
}

fn key(kind: &str, form: &str) -> Key {
    (kind.to_owned(), form.to_owned())
}

fn read_line(line: &str) -> Option<(Key, Vec<u8>)> {
    let mut words = line.split_whitespace();
    let (kind, form, bytes) = (words.next()?, words.next()?, words.next()?);
    let is_form = form == BARE || form.parse::<u32>().is_ok();
    let bytes = hex::from_text(bytes).filter(|_| is_form && words.next().is_none())?;
    Some((key(kind, form), bytes))
}
