//! Tests of the `keys` subcommands.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::os::unix::fs::PermissionsExt;

use assert_cmd::Command;

fn guavactl() -> Command {
    Command::new(env!("CARGO_BIN_EXE_guavactl"))
}

#[test]
fn init_creates_private_files_and_does_not_overwrite_them() {
    let dir = tempfile::tempdir().unwrap();
    let init = || {
        let mut command = guavactl();
        command.args(["keys", "init", "--dir"]).arg(dir.path()).args(["sapporo-0", "kushiro-0"]);
        command
    };
    init().assert().success();
    for name in ["authority.pem", "authority.key", "sapporo-0.pem", "kushiro-0.key"] {
        let mode = std::fs::metadata(dir.path().join(name)).unwrap().permissions().mode();
        assert_eq!(mode & 0o077, 0, "{name}");
    }
    let before = std::fs::read(dir.path().join("authority.key")).unwrap();
    init().assert().failure();
    assert_eq!(std::fs::read(dir.path().join("authority.key")).unwrap(), before);
}

#[test]
fn hash_command_prints_the_hash_that_bearer_prints() {
    let generated = guavactl().args(["keys", "bearer", "kita"]).assert().success();
    let text = String::from_utf8(generated.get_output().stdout.clone()).unwrap();
    let mut words = text.split_whitespace();
    let (key, hash) = (words.nth(1).unwrap(), words.nth(1).unwrap());
    let hashed = guavactl().args(["keys", "hash"]).write_stdin(key).assert().success();
    assert_eq!(String::from_utf8_lossy(&hashed.get_output().stdout).trim(), hash);
}
