//! Binaries of the workspace.

use std::path::PathBuf;

use eyre::{Result, eyre};

/// Finds a binary of the workspace beside the program that runs.
///
/// # Errors
///
/// Fails when it is not built.
pub fn built_binary(name: &str) -> Result<PathBuf> {
    let beside = std::env::current_exe()?;
    let target = beside.ancestors().find(|dir| dir.join(name).is_file());
    let target = target.ok_or_else(|| eyre!("{name} is not built; run `cargo build` first"))?;
    Ok(target.join(name))
}
