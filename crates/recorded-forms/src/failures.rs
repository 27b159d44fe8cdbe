//! What is wrong with recorded forms.

use std::fmt;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// A line of the file is not a kind, a form and bytes, or names a form that another line names.
    #[error("line {0} is no form, or one that is there already")]
    Line(usize),
    /// A form that today's build writes was not recorded.
    #[error("not recorded; the line to append is:\n{kind} {form} {written}")]
    Missing {
        /// The kind.
        kind: String,
        /// The form.
        form: String,
        /// Its bytes in hex.
        written: String,
    },
    /// A form that an earlier build wrote was not recorded.
    #[error("{kind} {form} is not recorded")]
    Unknown {
        /// The kind.
        kind: String,
        /// The form.
        form: String,
    },
    /// Today's build reads something else, or nothing.
    #[error("{kind} {form} is read as {read}, not as {expected}")]
    Read {
        /// The kind.
        kind: String,
        /// The form.
        form: String,
        /// What is read, or why nothing is.
        read: String,
        /// What should be read.
        expected: String,
    },
    /// Today's build writes other bytes: builds that run beside it, or before it on the same disk, know the recorded ones.
    #[error("{kind} {form} is written as {written}, not as {recorded}")]
    Written {
        /// The kind.
        kind: String,
        /// The form.
        form: String,
        /// What is written, in hex.
        written: String,
        /// What was recorded, in hex.
        recorded: String,
    },
    /// No test reads a form that is recorded.
    #[error("{kind} {form} is recorded, and not checked")]
    NotChecked {
        /// The kind.
        kind: String,
        /// The form.
        form: String,
    },
    /// No form of a kind is known to be the one that today's build writes.
    #[error("{0} has no newest form that is written")]
    NoNewest(String),
}

/// Everything that is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Failures(pub Vec<Failure>);

impl fmt::Display for Failures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|failure| writeln!(formatter, "{failure}"))
    }
}
