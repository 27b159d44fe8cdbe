//! Bytes as builds wrote them, for tests that today's build still reads them and still writes the newest of them.
//!
//! A crate whose messages or files two builds share records them in a text file beside its tests: one line for each form,
//! with the kind's name, the form's number and the bytes in hex (`-` where there are none). A form is never changed or
//! taken away, as builds that write it may still run.
//!
//! To give a kind a new form: extend the message by an optional field, set it in the test's fullest value, give that value
//! the next number, and keep the value of the form before as what is read from it. The test then fails and prints the line
//! to append. A form named `bare` has no optional field set; it stays as it is.

mod failures;
mod forms;
mod hex;
mod kinds;

pub use failures::{Failure, Failures};
pub use forms::{Codec, RecordedForms};
