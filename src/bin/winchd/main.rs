//! Entry point of `winchd`, which runs one router process beside each upstream.

mod allocator;
mod check;
mod run;

use std::process::ExitCode;

use clap::CommandFactory;
use clap::Parser;
use clap::Subcommand;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Routes requests to the owners of their keys, beside one upstream.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "winchd", version)]
struct Cli {
    /// Print a settings file with every default and a comment, and exit.
    #[arg(long)]
    print_defaults: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug)]
#[derive(Subcommand)]
enum Command {
    /// Check a settings file and list every fault in it.
    Check(check::CheckArgs),
    /// Run beside an upstream; SIGTERM drains, a second one stops.
    Run(run::RunArgs),
}

fn main() -> ExitCode {
    allocator::purge_at_once();
    let cli = Cli::parse();
    if cli.print_defaults {
        print!("{}", buckthornwinch::settings::print_defaults());
        return ExitCode::SUCCESS;
    }
    let result = match cli.command {
        Some(Command::Check(args)) => check::exec(&args),
        Some(Command::Run(args)) => run::exec(&args),
        None => {
            eprintln!("{}", Cli::command().render_help());
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
