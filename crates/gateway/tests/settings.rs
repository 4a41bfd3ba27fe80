//! The gateway rejects invalid settings with an error that names the fault.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use assert_cmd::Command;
use test_case::test_case;

const VALID_SETTINGS: &str = r#"
listen = "127.0.0.1:8080"

[process]
host = "sapporo-0"
zone = "sapporo"
platform = "127.0.0.1:9000"

[tls]
authority = "authority.pem"
certificate = "sapporo-0.pem"
key = "sapporo-0.key"
"#;

#[test_case("listen", "lisen", "unknown field `lisen`"; "unknown key")]
#[test_case("127.0.0.1:8080", "localhost", "line 2"; "bad address")]
#[test_case("sapporo-0", "Sapporo 0", "is not a name"; "bad name")]
#[test_case("[process]", "threads = 0\n[process]", "`threads` must be at least 1"; "no thread")]
#[test_case("[tls]", "[engine]\nslots = 2\nloads = 3\n[tls]", "`engine.loads` must not exceed"; "contradiction")]
#[test_case("listen", "listen", "authority.pem"; "missing file")]
fn rejects_invalid_settings(from: &str, to: &str, expected: &str) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("gateway.toml");
    std::fs::write(&path, VALID_SETTINGS.replace(from, to)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_guavaspread-gateway"));
    let assert = command.arg("--check").arg("--settings").arg(&path).assert().code(2);
    let stderr = String::from_utf8_lossy(&assert.get_output().stderr).into_owned();
    assert!(stderr.starts_with("error 1701: "), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}
