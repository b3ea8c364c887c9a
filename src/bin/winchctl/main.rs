//! Entry point of `winchctl`, the operators' command-line tool.

mod cli;
mod commands;
mod shared_args;

use std::process::ExitCode;

use buckthornwinch::operator::client::ExitKind;
use clap::Parser;

use crate::cli::Cli;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let kind = match commands::exec(&cli.shared, cli.command).await {
        Ok(kind) => kind,
        Err(error) => {
            eprintln!("{error:#}");
            ExitKind::Failed
        }
    };
    ExitCode::from(kind as u8)
}
