//! Hex encoding of bytes.

const EMPTY: &str = "-";
const DIGITS_PER_BYTE: usize = 2;

pub(crate) fn encode(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return EMPTY.to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// `None` if the text is not valid hex.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    if text == EMPTY {
        return Some(Vec::new());
    }
    let digits = text.as_bytes().chunks(DIGITS_PER_BYTE);
    digits.map(parse_byte).collect()
}

fn parse_byte(digits: &[u8]) -> Option<u8> {
    let [high, low] = digits else { return None };
    let digit_value = |digit: &u8| char::from(*digit).to_digit(16);
    u8::try_from(digit_value(high)? * 16 + digit_value(low)?).ok()
}
