//! Parsing of statements, positions of parse errors, and execution of queries.

#![allow(clippy::unwrap_used, clippy::panic, reason = "a test fails by panicking")]

use guavaspread_model::{Change, Priority};
use guavaspread_query::{Cell, Statement, Table, parse};
use test_case::test_case;

#[test_case("show organisations")]
#[test_case("show loaded where adapter like 'kita' and demand >= 0.5 order by demand desc limit 3")]
#[test_case("create organisation kita-shigoto")]
#[test_case(
    "create organisation a; add key 'secret' to a; register adapter a/b on base class chat"
)]
#[test_case("register version a/b@3;")]
#[test_case("dry run drain sapporo-0")]
#[test_case("declare route booking /confirm class confirm")]
#[test_case("  remove key 'secret' from a  ")]
fn valid_statement_parses(text: &str) {
    parse(text).unwrap();
}

#[test_case("shw loaded", 0, "show, create"; "first word")]
#[test_case("show loded", 5, "organisations, adapters"; "source")]
#[test_case("show loaded where demand ~ 3", 25, "`=`"; "comparison")]
#[test_case("show loaded limit ten", 18, "a whole number"; "limit")]
#[test_case("show loaded sideways", 12, "the end"; "trailing word")]
#[test_case("create organization a", 7, "`organisation`"; "spelling")]
#[test_case("register version a/b", 17, "organisation/adapter@version"; "no version")]
#[test_case("declare class chat repeatable worth 1 deadline 5h priority draft", 47, "500ms"; "unit")]
#[test_case("declare class chat repeatable worth 1 deadline 5s priority soon", 59, "`interactive`"; "priority")]
#[test_case("drain Sapporo", 6, "a name"; "bad name")]
#[test_case("add key secret to a", 8, "single quotes"; "unquoted key")]
fn parse_error_marks_the_invalid_word(text: &str, offset: usize, expected: &str) {
    let error = parse(text).unwrap_err();
    assert_eq!(error.offset(), offset, "{error}");
    assert!(error.to_string().contains(expected), "{error}");
    let message = error.with_context(text);
    let mark = message.lines().last().unwrap();
    assert_eq!(mark.find('^'), Some(offset + 2), "{message}");
}

#[test]
fn all_fields_of_a_class_declaration_are_parsed() {
    let text = "declare class confirm not repeatable worth 40 deadline 2min priority overnight";
    let Statement::Change(changes) = parse(text).unwrap() else { panic!("no change") };
    let [Change::DeclareClass { policy, .. }] = changes.as_slice() else { panic!("no class") };
    assert!(!policy.repeatable);
    assert_eq!(
        (policy.worth, policy.deadline_ms, policy.priority),
        (40, 120_000, Priority::Overnight)
    );
}

#[test]
fn query_filters_sorts_and_limits_rows() {
    let mut table = Table::new(&["name", "demand"]);
    for (name, demand) in [("a", 1.0), ("b", 3.0), ("c", 2.0), ("d", 0.5)] {
        table.push(vec![Cell::from(name), Cell::from(demand)]);
    }
    let text = "show loaded where demand > 0.5 order by demand desc limit 2";
    let Statement::Show(query) = parse(text).unwrap() else { panic!("no query") };
    let names: Vec<String> =
        query.select(table.clone()).unwrap().rows.iter().map(|row| row[0].to_string()).collect();
    assert_eq!(names, ["b", "c"]);

    let Statement::Show(query) = parse("show loaded where deman > 1").unwrap() else {
        panic!("no query")
    };
    let error = query.select(table).unwrap_err();
    assert_eq!(error.offset(), 18);
    assert!(error.to_string().contains("the columns are name, demand"), "{error}");
}
