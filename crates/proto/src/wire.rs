//! Conversion between typed values and protocol buffer messages.

use bytes::Bytes;
use prost::Message;

/// Bytes were not a message of the internal protocol, or held a value that its type does not allow.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Not a protocol buffer message.
    #[error("not a protocol buffer message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A field that must be there is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// A field has a value outside its type.
    #[error("field {0} has a value that is not allowed")]
    Invalid(&'static str),
}

/// A typed value with its protocol buffer form.
pub trait Wire: Sized {
    /// The protocol buffer message.
    type Message: Message + Default;

    /// The value as a message.
    fn to_wire(&self) -> Self::Message;

    /// The value of a message.
    fn from_wire(message: Self::Message) -> Result<Self, DecodeError>;

    /// The value as bytes.
    fn encode(&self) -> Bytes {
        Bytes::from(self.to_wire().encode_to_vec())
    }

    /// The value of bytes.
    fn decode(bytes: Bytes) -> Result<Self, DecodeError> {
        Self::from_wire(Self::Message::decode(bytes)?)
    }
}

/// A field that must be there.
pub(crate) fn required<T>(field: Option<T>, name: &'static str) -> Result<T, DecodeError> {
    field.ok_or(DecodeError::Missing(name))
}

/// A message field that must be there, as its value.
pub(crate) fn required_value<T: Wire>(
    field: Option<T::Message>,
    name: &'static str,
) -> Result<T, DecodeError> {
    T::from_wire(required(field, name)?)
}

/// A message field that may be missing, as its value.
pub(crate) fn optional_value<T: Wire>(field: Option<T::Message>) -> Result<Option<T>, DecodeError> {
    field.map(T::from_wire).transpose()
}

/// A list of messages as values.
pub(crate) fn values<T: Wire>(messages: Vec<T::Message>) -> Result<Vec<T>, DecodeError> {
    messages.into_iter().map(T::from_wire).collect()
}

/// A list of values as messages.
pub(crate) fn messages<'a, T: Wire + 'a>(values: impl IntoIterator<Item = &'a T>) -> Vec<T::Message> {
    values.into_iter().map(T::to_wire).collect()
}

/// A text field as a name.
pub(crate) fn name<T: TryFrom<String>>(text: String, field: &'static str) -> Result<T, DecodeError> {
    T::try_from(text).map_err(|_| DecodeError::Invalid(field))
}

/// A text field that is empty where there is no name.
pub(crate) fn optional_name<T: TryFrom<String>>(
    text: String,
    field: &'static str,
) -> Result<Option<T>, DecodeError> {
    if text.is_empty() { Ok(None) } else { name(text, field).map(Some) }
}

/// Text fields as names.
pub(crate) fn names<T: TryFrom<String>>(
    texts: Vec<String>,
    field: &'static str,
) -> Result<Vec<T>, DecodeError> {
    texts.into_iter().map(|text| name(text, field)).collect()
}

/// Names as text fields.
pub(crate) fn texts<'a, T: ToString + 'a>(names: impl IntoIterator<Item = &'a T>) -> Vec<String> {
    names.into_iter().map(T::to_string).collect()
}

/// A name that may be missing as a text field.
pub(crate) fn text_or_empty<T: ToString>(name: &Option<T>) -> String {
    name.as_ref().map(T::to_string).unwrap_or_default()
}

/// A bytes field of fixed length.
pub(crate) fn fixed<const N: usize>(bytes: &[u8], field: &'static str) -> Result<[u8; N], DecodeError> {
    bytes.try_into().map_err(|_| DecodeError::Invalid(field))
}
