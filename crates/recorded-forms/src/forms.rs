//! Recorded forms and the checks against them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use prost::Message;

use crate::failures::{Failure, Failures};
use crate::hex;

const COMMENT_PREFIX: char = '#';
/// Name of the form with no optional field set.
const BARE: &str = "bare";

/// Functions that encode and decode one kind of value.
pub struct Codec<M> {
    /// Serializes a value.
    pub encode: fn(&M) -> Vec<u8>,
    /// Deserializes a value; the error says why the bytes are invalid.
    pub decode: fn(&[u8]) -> Result<M, String>,
}

impl<M: Message + Default> Codec<M> {
    /// The codec of a protocol buffer message.
    pub fn message() -> Self {
        Self {
            encode: |message| message.encode_to_vec(),
            decode: |bytes| M::decode(bytes).map_err(|error| error.to_string()),
        }
    }
}

type Key = (String, String);

/// The recorded forms of a file, the checks made so far and their failures.
pub struct RecordedForms {
    forms: BTreeMap<Key, Vec<u8>>,
    checked: BTreeSet<Key>,
    encoded: BTreeSet<Key>,
    failures: Vec<Failure>,
}

impl RecordedForms {
    /// Parses the text of a file. Empty lines and lines that start with `#` are skipped; invalid lines become failures.
    pub fn parse(text: &str) -> Self {
        let mut recorded = Self {
            forms: BTreeMap::new(),
            checked: BTreeSet::new(),
            encoded: BTreeSet::new(),
            failures: Vec::new(),
        };
        let lines = (1..).zip(text.lines());
        for (number, line) in lines.filter(|(_, line)| !line.is_empty() && !line.starts_with(COMMENT_PREFIX))
        {
            let is_added =
                parse_line(line).is_some_and(|(key, bytes)| recorded.forms.insert(key, bytes).is_none());
            if !is_added {
                recorded.failures.push(Failure::InvalidLine(number));
            }
        }
        recorded
    }

    /// Returns the bytes of a form, to test decoders of other builds. A form that is not recorded is a failure and yields
    /// empty bytes.
    pub fn bytes(&mut self, kind: &str, form: &str) -> Vec<u8> {
        let found = self.forms.get(&form_key(kind, form)).cloned();
        if found.is_none() {
            self.failures
                .push(Failure::EarlierFormNotRecorded { kind: kind.to_owned(), form: form.to_owned() });
        }
        found.unwrap_or_default()
    }

    /// Checks that a form written by an earlier build decodes to a value.
    pub fn reads<M: PartialEq + Debug>(&mut self, codec: &Codec<M>, kind: &str, form: &str, expected: &M) {
        let bytes = self.bytes(kind, form);
        self.checked.insert(form_key(kind, form));
        let decoded = (codec.decode)(&bytes);
        if decoded.as_ref() != Ok(expected) {
            self.failures.push(Failure::DecodedDifferently {
                kind: kind.to_owned(),
                form: form.to_owned(),
                decoded: format!("{decoded:?}"),
                expected: format!("{expected:?}"),
            });
        }
    }

    /// Checks that a form decodes to a value and that the value encodes to the form.
    pub fn writes<M: PartialEq + Debug>(&mut self, codec: &Codec<M>, kind: &str, form: &str, value: &M) {
        let encoded = (codec.encode)(value);
        let Some(recorded) = self.forms.get(&form_key(kind, form)) else {
            let (kind, form) = form_key(kind, form);
            self.failures.push(Failure::NewFormNotRecorded { kind, form, encoded: hex::encode(&encoded) });
            return;
        };
        self.encoded.insert(form_key(kind, form));
        if *recorded != encoded {
            self.failures.push(Failure::EncodedDifferently {
                kind: kind.to_owned(),
                form: form.to_owned(),
                encoded: hex::encode(&encoded),
                recorded: hex::encode(recorded),
            });
        }
        self.reads(codec, kind, form, value);
    }

    /// Like [`writes`](Self::writes), for the `bare` form.
    pub fn writes_bare<M: PartialEq + Debug>(&mut self, codec: &Codec<M>, kind: &str, value: &M) {
        self.writes(codec, kind, BARE, value);
    }

    /// Checks that a form of a withdrawn kind fails to decode instead of being misread.
    pub fn refuses<M: Debug>(&mut self, codec: &Codec<M>, kind: &str, form: &str) {
        let bytes = self.bytes(kind, form);
        self.checked.insert(form_key(kind, form));
        if let Ok(decoded) = (codec.decode)(&bytes) {
            self.failures.push(Failure::DecodedDifferently {
                kind: kind.to_owned(),
                form: form.to_owned(),
                decoded: format!("{decoded:?}"),
                expected: "a decoding error".to_owned(),
            });
        }
    }

    /// Reports all failures, including recorded forms that were not checked and kinds whose newest numbered form or bare
    /// form was not checked by [`writes`](Self::writes).
    pub fn finish(mut self, kinds: &[&str]) -> Result<(), Failures> {
        for (kind, form) in self.forms.keys().filter(|key| !self.checked.contains(*key)) {
            self.failures.push(Failure::NotChecked { kind: kind.clone(), form: form.clone() });
        }
        let unencoded_kinds = kinds.iter().filter(|kind| !self.has_encoded_newest(kind));
        let newest_failures = unencoded_kinds.map(|kind| Failure::NewestNotEncoded((*kind).to_owned()));
        let newest_failures: Vec<Failure> = newest_failures.collect();
        self.failures.extend(newest_failures);
        if self.failures.is_empty() { Ok(()) } else { Err(Failures(self.failures)) }
    }

    fn has_encoded_newest(&self, kind: &str) -> bool {
        let forms = self.forms.keys().filter(|(form_kind, _)| form_kind == kind);
        let newest = forms.filter_map(|(_, form)| form.parse::<u32>().ok()).max();
        let is_encoded = |form: &str| self.encoded.contains(&form_key(kind, form));
        newest.is_some_and(|number| is_encoded(&number.to_string())) && is_encoded(BARE)
    }
}

fn form_key(kind: &str, form: &str) -> Key {
    (kind.to_owned(), form.to_owned())
}

fn parse_line(line: &str) -> Option<(Key, Vec<u8>)> {
    let mut words = line.split_whitespace();
    let (kind, form, bytes) = (words.next()?, words.next()?, words.next()?);
    let is_valid_form = form == BARE || form.parse::<u32>().is_ok();
    let bytes = hex::decode(bytes).filter(|_| is_valid_form && words.next().is_none())?;
    Some((form_key(kind, form), bytes))
}
