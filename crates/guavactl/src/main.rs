//! The operators' command-line client.
//!
//! Statements come from `-e`, a file, standard input or a prompt, and go to any
//! gateway. docs/QUERY.md describes the language.

mod client;
mod keys;
mod output;
mod session;

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};
use eyre::Result;

use crate::client::Client;
use crate::session::Session;

/// Asks and commands a guavaspread deployment.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run statements of the query language.
    Query(QueryArgs),
    /// Make keys and certificates.
    #[command(subcommand)]
    Keys(KeysCommand),
}

#[derive(Args)]
struct QueryArgs {
    /// A gateway's address.
    #[arg(long, env = "GUAVACTL_GATEWAY", default_value = "127.0.0.1:8080")]
    gateway: SocketAddr,
    /// The operator's bearer key.
    #[arg(long, env = "GUAVACTL_KEY", hide_env_values = true)]
    key: String,
    /// How rows are shown.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// A statement; may be given several times.
    #[arg(short = 'e', long = "execute", conflicts_with = "file")]
    execute: Vec<String>,
    /// A file with a statement on each line; `-` for standard input.
    file: Option<PathBuf>,
}

/// How rows are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// As a table for people.
    Table,
    /// As JSON, a line for each statement.
    Json,
}

#[derive(Subcommand)]
enum KeysCommand {
    /// Make an authority and a certificate for each entry host, for development.
    Init {
        /// The folder to write to; it must not hold an authority yet.
        #[arg(long)]
        dir: PathBuf,
        /// The entry hosts.
        #[arg(required = true)]
        hosts: Vec<String>,
    },
    /// Make a bearer key and show it with its hash.
    Bearer {
        /// The start of the key, such as the organisation's name.
        prefix: String,
    },
    /// Show the hash of a bearer key read from standard input.
    Hash,
}

fn main() -> Result<ExitCode> {
    match Cli::parse().command {
        Command::Query(args) => query(args),
        Command::Keys(KeysCommand::Init { dir, hosts }) => keys::init(&dir, &hosts),
        Command::Keys(KeysCommand::Bearer { prefix }) => keys::bearer(&prefix),
        Command::Keys(KeysCommand::Hash) => keys::hash(),
    }
}

fn query(args: QueryArgs) -> Result<ExitCode> {
    let system = ntex::rt::System::new("guavactl", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = Client::new(args.gateway, &args.key).await?;
        let mut session = Session::new(client, args.format);
        match args.file {
            Some(path) if path.as_os_str() == "-" => session.run_stdin().await,
            Some(path) => session.run_file(&path).await,
            None if !args.execute.is_empty() => session.run_all(&args.execute).await,
            None if std::io::stdin().is_terminal() => session.run_prompt().await,
            None => session.run_stdin().await,
        }
    })
}
