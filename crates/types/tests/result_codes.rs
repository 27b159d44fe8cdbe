//! The documented table of result codes must be the code's.

use std::collections::BTreeSet;

use sumacdrift_types::ResultCode;

const DOCUMENTED: &str = include_str!("../../../docs/RESULT_CODES.md");

#[test]
fn numbers_are_unique_and_lead_back_to_their_code() {
    let numbers: BTreeSet<u32> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}

#[test]
fn the_documented_table_is_complete_and_true() {
    let rows: Vec<&str> = DOCUMENTED.lines().filter(|line| line.starts_with("| ")).skip(1).collect();
    assert_eq!(rows.len(), ResultCode::ALL.len(), "docs/RESULT_CODES.md has another number of rows");
    for (row, code) in rows.iter().zip(ResultCode::ALL) {
        let beginning = format!("| {} | {} | {} |", code.number(), code.http_status(), code.title());
        assert!(row.starts_with(&beginning), "expected a row that begins with {beginning}, found {row}");
    }
}
