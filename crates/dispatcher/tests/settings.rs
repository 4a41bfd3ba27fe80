//! The dispatcher rejects invalid settings with an error that names the fault.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use assert_cmd::Command;
use test_case::test_case;

const VALID_SETTINGS: &str = r#"
listen = "127.0.0.1:7000"
metrics = "127.0.0.1:7001"

[process]
host = "sapporo-0"
zone = "sapporo"
platform = "127.0.0.1:9000"

[tls]
authority = "authority.pem"
certificate = "sapporo-0.pem"
key = "sapporo-0.key"
"#;

#[test_case("metrics", "metric", "unknown field `metric`"; "unknown key")]
#[test_case("127.0.0.1:7001", "127.0.0.1:9000", "the same address"; "address used twice")]
#[test_case("[tls]", "[engine]\nbatch = 0\n[tls]", "`engine.batch`"; "empty batch")]
#[test_case("[tls]", "[policy]\nchoices = 0\n[tls]", "`policy.choices`"; "no choice")]
fn rejects_invalid_settings(from: &str, to: &str, expected: &str) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("dispatcher.toml");
    std::fs::write(&path, VALID_SETTINGS.replace(from, to)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_guavaspread-dispatcher"));
    let assert = command.arg("--check").arg("--settings").arg(&path).assert().code(2);
    let stderr = String::from_utf8_lossy(&assert.get_output().stderr).into_owned();
    assert!(stderr.contains(expected), "{stderr}");
}
