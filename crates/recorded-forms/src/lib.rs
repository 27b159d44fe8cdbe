//! Compatibility tests for encoded values: bytes recorded from earlier builds must still decode, and the newest form of
//! each kind must still be encoded byte for byte.
//!
//! A crate whose messages or files are exchanged between builds records them in a text file next to its tests. Each line
//! holds one form: the name of the kind, the number of the form and the bytes in hex (`-` if there are none). Lines are
//! never changed or removed, since builds that write these forms may still run.
//!
//! To add a form: add an optional field to the message, set it in the test's fullest value, check that value under the
//! next number, and keep the previous value as the expected result of decoding the previous form. The test then fails
//! and prints the line to append. The form named `bare` has no optional field set and never changes.

mod failures;
mod forms;
mod hex;
mod kinds;

pub use failures::{Failure, Failures};
pub use forms::{Codec, RecordedForms};
