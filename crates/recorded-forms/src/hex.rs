//! Bytes as text.

/// Stands for no bytes at all.
const NOTHING: &str = "-";
const DIGITS_A_BYTE: usize = 2;

pub(crate) fn to_text(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return NOTHING.to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of a text; `None` where it is not hex.
pub(crate) fn from_text(text: &str) -> Option<Vec<u8>> {
    if text == NOTHING {
        return Some(Vec::new());
    }
    let digits = text.as_bytes().chunks(DIGITS_A_BYTE);
    digits.map(byte_of).collect()
}

fn byte_of(digits: &[u8]) -> Option<u8> {
    let [high, low] = digits else { return None };
    let digit = |digit: &u8| char::from(*digit).to_digit(16);
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}
