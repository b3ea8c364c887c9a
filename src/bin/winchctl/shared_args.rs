//! The arguments that every subcommand shares.

use std::time::Duration;

use buckthornwinch::operator::client::ClientContext;
use buckthornwinch::operator::client::ConnectOptions;
use buckthornwinch::operator::client::ExitKind;
use buckthornwinch::operator::client::OperationReport;
use clap::Args;
use clap::ValueEnum;

/// Arguments of every subcommand: which servers to call, as whom, and how to
/// print the result.
#[derive(Debug)]
#[derive(Args)]
pub struct SharedArgs {
    /// Operators' address of a winchd as IP:PORT; repeat it to name others
    /// that are tried when the first does not answer
    #[arg(
        long = "server",
        value_name = "IP:PORT",
        global = true,
        default_value = "127.0.0.1:7002"
    )]
    pub servers: Vec<Box<str>>,
    /// Who operates, as written in the log; the user's name when left out
    #[arg(long, value_name = "NAME", global = true)]
    pub operator: Option<Box<str>>,
    /// How long one call may take, in milliseconds
    #[arg(
        long,
        value_name = "MILLISECONDS",
        global = true,
        default_value_t = 10_000
    )]
    pub timeout_ms: u64,
    /// Form of the output
    #[arg(long, value_enum, global = true, default_value_t = OutputFormat::Table)]
    pub output: OutputFormat,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(ValueEnum)]
pub enum OutputFormat {
    /// Tables and lines for people.
    Table,
    /// JSON for programs.
    Json,
}

impl SharedArgs {
    /// Connects to the first server that answers.
    pub async fn connect(&self) -> eyre::Result<ClientContext> {
        let operator = self
            .operator
            .clone()
            .or_else(|| std::env::var("USER").ok().map(Into::into))
            .unwrap_or_else(|| "operator".into());
        let options = ConnectOptions::builder()
            .servers(self.servers.clone())
            .operator(operator)
            .timeout(Duration::from_millis(self.timeout_ms))
            .build();
        ClientContext::connect(&options).await
    }

    /// Prints a report and returns its exit code.
    pub fn print(&self, report: &impl OperationReport) -> ExitKind {
        match self.output {
            OutputFormat::Table => println!("{}", report.text()),
            OutputFormat::Json => println!("{:#}", report.json()),
        }
        report.exit_kind()
    }
}
