//! Checks that the tables in the documents agree with the code and the measured data.

use wasabi_core::errors::Code;
use wasabi_standin::slopes::{self, Measurement};

const CAPACITY: &str = include_str!("../docs/CAPACITY.md");
const CAPACITY_DATA: &str = include_str!("../docs/capacity.json");
const ERRORS: &str = include_str!("../docs/ERRORS.md");

fn error_row(code: Code) -> String {
    format!("| {} | {:?} | {} | {} |", code.number(), code, code.status(), code.message())
}

#[test]
fn documented_errors_match_the_source() {
    let expected: Vec<String> = Code::ALL.iter().map(|code| error_row(*code)).collect();
    let found: Vec<&str> = ERRORS.lines().filter(|line| line.starts_with("| ")).skip(2).collect();
    assert_eq!(found, expected, "the table should be:\n{}", expected.join("\n"));
}

#[test]
fn the_capacity_table_matches_the_measurements() -> anyhow::Result<()> {
    let measured: Vec<Measurement> = serde_json::from_str(CAPACITY_DATA)?;
    assert!(!measured.is_empty());
    assert!(
        CAPACITY.contains(&slopes::table(&measured)),
        "the table is out of date; run examples/slopes"
    );
    Ok(())
}

#[test]
fn error_numbers_are_unique_and_in_ascending_order() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}
