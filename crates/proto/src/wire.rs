//! Traits and helpers that convert typed values to protocol buffer messages and back.

use bytes::Bytes;
use prost::Message;

/// Why bytes could not be decoded. `Missing` and `Invalid` carry the field name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum DecodeError {
    #[error("not a protocol buffer message: {0}")]
    Malformed(#[from] prost::DecodeError),
    #[error("required field {0} is missing")]
    Missing(&'static str),
    #[error("field {0} has an invalid value")]
    Invalid(&'static str),
}

/// A type with a protocol buffer representation.
pub trait Wire: Sized {
    /// The `prost` message that represents the type.
    type Message: Message + Default;

    /// Converts to the `prost` message.
    fn to_wire(&self) -> Self::Message;

    /// Converts from the `prost` message; fails if a required field is missing or a value is out of range.
    fn from_wire(message: Self::Message) -> Result<Self, DecodeError>;

    /// Serializes to protocol buffer bytes.
    fn encode(&self) -> Bytes {
        Bytes::from(self.to_wire().encode_to_vec())
    }

    /// Deserializes from protocol buffer bytes.
    fn decode(bytes: Bytes) -> Result<Self, DecodeError> {
        Self::from_wire(Self::Message::decode(bytes)?)
    }
}

pub(crate) fn require_field<T>(field: Option<T>, name: &'static str) -> Result<T, DecodeError> {
    field.ok_or(DecodeError::Missing(name))
}

pub(crate) fn decode_required<T: Wire>(
    field: Option<T::Message>,
    name: &'static str,
) -> Result<T, DecodeError> {
    T::from_wire(require_field(field, name)?)
}

pub(crate) fn decode_optional<T: Wire>(field: Option<T::Message>) -> Result<Option<T>, DecodeError> {
    field.map(T::from_wire).transpose()
}

pub(crate) fn decode_list<T: Wire>(messages: Vec<T::Message>) -> Result<Vec<T>, DecodeError> {
    messages.into_iter().map(T::from_wire).collect()
}

pub(crate) fn encode_list<'a, T: Wire + 'a>(values: impl IntoIterator<Item = &'a T>) -> Vec<T::Message> {
    values.into_iter().map(T::to_wire).collect()
}

pub(crate) fn parse_name<T: TryFrom<String>>(text: String, field: &'static str) -> Result<T, DecodeError> {
    T::try_from(text).map_err(|_| DecodeError::Invalid(field))
}

/// An empty string stands for `None`.
pub(crate) fn parse_optional_name<T: TryFrom<String>>(
    text: String,
    field: &'static str,
) -> Result<Option<T>, DecodeError> {
    if text.is_empty() { Ok(None) } else { parse_name(text, field).map(Some) }
}

pub(crate) fn parse_names<T: TryFrom<String>>(
    texts: Vec<String>,
    field: &'static str,
) -> Result<Vec<T>, DecodeError> {
    texts.into_iter().map(|text| parse_name(text, field)).collect()
}

pub(crate) fn to_strings<'a, T: ToString + 'a>(names: impl IntoIterator<Item = &'a T>) -> Vec<String> {
    names.into_iter().map(T::to_string).collect()
}

/// `None` becomes an empty string.
pub(crate) fn to_string_or_empty<T: ToString>(name: &Option<T>) -> String {
    name.as_ref().map(T::to_string).unwrap_or_default()
}

/// Fails if the length is not `N`.
pub(crate) fn to_array<const N: usize>(bytes: &[u8], field: &'static str) -> Result<[u8; N], DecodeError> {
    bytes.try_into().map_err(|_| DecodeError::Invalid(field))
}
