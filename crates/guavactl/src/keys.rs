//! The subcommands that generate keys and certificates.

use std::fs::{self, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::process::ExitCode;

use eyre::{Context, Result, ensure};
use guavaspread_keys::{CertificateAuthority, Pem, bearer_key};
use guavaspread_model::{KeyHash, Name};

const PRIVATE_FILE_MODE: u32 = 0o600;

/// Generates a certificate authority and a certificate for each host.
pub(crate) fn init(dir: &Path, hosts: &[String]) -> Result<ExitCode> {
    for host in hosts {
        Name::new(host)?;
    }
    fs::create_dir_all(dir).wrap_err_with(|| dir.display().to_string())?;
    let exists = dir.join("authority.pem").exists();
    ensure!(!exists, "{} already contains a certificate authority", dir.display());
    let authority = CertificateAuthority::generate()?;
    write_pem(dir, "authority", &authority.pem())?;
    for host in hosts {
        write_pem(dir, host, &authority.issue(host)?)?;
    }
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "wrote a certificate authority and {} certificates to {}",
        hosts.len(),
        dir.display()
    )?;
    Ok(ExitCode::SUCCESS)
}

/// Generates a bearer key and prints it with its hash.
pub(crate) fn bearer(prefix: &str) -> Result<ExitCode> {
    let key = bearer_key(prefix);
    let mut out = io::stdout().lock();
    writeln!(out, "key  {key}")?;
    writeln!(out, "hash {}", KeyHash::of(&key))?;
    Ok(ExitCode::SUCCESS)
}

/// Prints the hash of a bearer key.
///
/// The key is read from standard input; as an argument it would show in the process list.
pub(crate) fn hash() -> Result<ExitCode> {
    let mut key = String::new();
    io::stdin().read_to_string(&mut key)?;
    writeln!(io::stdout().lock(), "{}", KeyHash::of(key.trim()))?;
    Ok(ExitCode::SUCCESS)
}

fn write_pem(dir: &Path, name: &str, pem: &Pem) -> Result<()> {
    write_private(&dir.join(format!("{name}.pem")), &pem.certificate)?;
    write_private(&dir.join(format!("{name}.key")), &pem.key)
}

fn write_private(path: &Path, text: &str) -> Result<()> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(PRIVATE_FILE_MODE);
    let mut file = options.open(path).wrap_err_with(|| path.display().to_string())?;
    file.write_all(text.as_bytes()).wrap_err_with(|| path.display().to_string())
}
