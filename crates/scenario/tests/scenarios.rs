//! Tests every file of the scenarios folder against the real binaries.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Write;
use std::path::Path;

use guavaspread_scenario::{Script, run};
use test_case::test_case;

#[test_case("owner-killed")]
#[test_case("owner-killed-under-load")]
#[test_case("owner-frozen")]
#[test_case("platform-down")]
#[test_case("platform-down-owner-killed")]
#[test_case("answers-lost")]
#[test_case("fenced-engine")]
#[test_case("loads-fail")]
#[test_case("slow-store")]
#[test_case("stopped-while-platform-down")]
#[test_case("zone-cut")]
#[test_case("owner-frozen-evicting")]
#[test_case("cut-zone-full")]
#[test_case("operators-race")]
#[test_case("engine-restarts-empty")]
#[test_case("crashing-request")]
#[test_case("silent-stream")]
#[test_case("server-leaves")]
#[test_case("rolling-restart")]
#[test_case("gateway-stops")]
#[test_case("zone-cut-owner-frozen")]
fn scenario(name: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let text = std::fs::read_to_string(dir.join(format!("{name}.scenario"))).unwrap();
    if let Err(e) = run(&Script::parse(&text).unwrap()) {
        // Beside the daemons' lines, with their time; the test's own output comes at the end.
        let _ = writeln!(std::io::stderr(), "scenario {name} failed: {e:#}");
        unreachable!("{name}: {e:#}");
    }
}

#[test]
fn parse_error_names_the_line() {
    let error = Script::parse("zone sapporo hosts 1 engines 1\n\nkil gateway").unwrap_err();
    assert!(error.to_string().starts_with("line 3: `kil`"), "{error}");
}
