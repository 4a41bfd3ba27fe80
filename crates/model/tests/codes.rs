//! docs/CODES.md lists the same codes as the crate.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;
use std::path::Path;

use guavaspread_model::Code;

const HEAD: &str = "# Result codes

Callers and operators get them in `application/problem+json` bodies, with what is
known of whether the request ran (`ran`: `no`, `maybe` or `yes`) and, where it
helps, when to come back (`Retry-After` and `retry_after_ms`).

This table is checked against the code by `crates/model/tests/codes.rs`; set
`UPDATE_CODES=1` to write it anew.

| code | HTTP status | meaning |
|---|---|---|
";

#[test]
fn codes_page_matches_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CODES.md");
    let rows = Code::ALL
        .iter()
        .map(|code| format!("| {} | {} | {} |\n", code.number(), code.status(), code.title()));
    let expected = format!("{HEAD}{}", rows.collect::<String>());
    if std::env::var_os("UPDATE_CODES").is_some() {
        std::fs::write(&path, &expected).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), expected);
}

#[test]
fn code_numbers_are_unique() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
}
