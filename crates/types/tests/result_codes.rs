//! Guards against reused numbers, and against documentation that differs from the code.

use std::collections::BTreeSet;

use sumacdrift_types::ResultCode;

const DOCUMENTED: &str = include_str!("../../../docs/RESULT_CODES.md");

#[test]
fn numbers_are_unique_and_map_back_to_their_codes() {
    let numbers: BTreeSet<u32> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}

#[test]
fn the_documented_table_matches_the_codes() {
    let rows: Vec<&str> = DOCUMENTED.lines().filter(|line| line.starts_with("| ")).skip(1).collect();
    assert_eq!(rows.len(), ResultCode::ALL.len(), "docs/RESULT_CODES.md has the wrong number of rows");
    for (row, code) in rows.iter().zip(ResultCode::ALL) {
        let prefix = format!("| {} | {} | {} |", code.number(), code.http_status(), code.title());
        assert!(row.starts_with(&prefix), "expected a row that starts with {prefix}, found {row}");
    }
}
