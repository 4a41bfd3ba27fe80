//! The operators' command-line client.
//!
//! Reads statements from `-e`, a file, standard input or a prompt, and sends them to
//! a gateway. docs/QUERY.md describes the language.

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

/// Queries and configures a guavaspread deployment.
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
    /// Generate keys and certificates.
    #[command(subcommand)]
    Keys(KeysCommand),
}

#[derive(Args)]
struct QueryArgs {
    /// The address of a gateway.
    #[arg(long, env = "GUAVACTL_GATEWAY", default_value = "127.0.0.1:8080")]
    gateway: SocketAddr,
    /// The operator's bearer key.
    #[arg(long, env = "GUAVACTL_KEY", hide_env_values = true)]
    key: String,
    /// The output format of rows.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// A statement to run; can be repeated.
    #[arg(short = 'e', long = "execute", conflicts_with = "file")]
    execute: Vec<String>,
    /// A file with one statement per line; `-` reads standard input.
    file: Option<PathBuf>,
}

/// The output format of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// An aligned table.
    Table,
    /// JSON, one line per statement.
    Json,
}

#[derive(Subcommand)]
enum KeysCommand {
    /// Generate a certificate authority and a certificate for each entry host, for development.
    Init {
        /// The directory to write to; it must not contain a certificate authority.
        #[arg(long)]
        dir: PathBuf,
        /// The names of the entry hosts.
        #[arg(required = true)]
        hosts: Vec<String>,
    },
    /// Generate a bearer key and print it with its hash.
    Bearer {
        /// The prefix of the key, such as the organisation's name.
        prefix: String,
    },
    /// Print the hash of a bearer key read from standard input.
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
