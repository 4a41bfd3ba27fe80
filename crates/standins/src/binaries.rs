//! Paths of the workspace's binaries.

use std::path::PathBuf;

use eyre::{Result, eyre};

/// Returns the path of a workspace binary in a parent folder of the current executable.
///
/// # Errors
///
/// Returns an error if the binary is not built.
pub fn workspace_binary(name: &str) -> Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let target = exe.ancestors().find(|dir| dir.join(name).is_file());
    let target = target.ok_or_else(|| eyre!("{name} is not built; run `cargo build` first"))?;
    Ok(target.join(name))
}
