//! Failed checks of recorded forms.

use std::fmt;

/// One failed check. Bytes are given in hex.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum Failure {
    /// The line with this number, counted from 1, is malformed or repeats an earlier form.
    #[error("line {0} is not a valid form or repeats an earlier one")]
    InvalidLine(usize),
    /// A form written by the current build is not recorded.
    #[error("not recorded; the line to append is:\n{kind} {form} {encoded}")]
    NewFormNotRecorded { kind: String, form: String, encoded: String },
    /// A form expected from an earlier build is not recorded.
    #[error("{kind} {form} is not recorded")]
    EarlierFormNotRecorded { kind: String, form: String },
    /// The recorded bytes decode to another value than expected, or fail to decode.
    #[error("{kind} {form} decodes to {decoded}, expected {expected}")]
    DecodedDifferently { kind: String, form: String, decoded: String, expected: String },
    /// The value encodes to other bytes than recorded, so other builds may not be able to read it.
    #[error("{kind} {form} encodes to {encoded}, but {recorded} is recorded")]
    EncodedDifferently { kind: String, form: String, encoded: String, recorded: String },
    #[error("{kind} {form} is recorded but no test checks it")]
    NotChecked { kind: String, form: String },
    /// No test encodes the kind's newest numbered form and its `bare` form.
    #[error("{0}: no test encodes both the newest form and the bare form")]
    NewestNotEncoded(String),
}

/// All failed checks; displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Failures(pub Vec<Failure>);

impl fmt::Display for Failures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|failure| writeln!(formatter, "{failure}"))
    }
}
