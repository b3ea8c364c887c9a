//! `winch-bench list`.

use std::process::ExitCode;

use clap::Args;
use winch_bench::experiments::ExperimentName;

/// Arguments of `list`.
#[derive(Debug)]
#[derive(Args)]
pub struct ListArgs;

/// Prints the name and description of each experiment.
pub fn exec(_args: &ListArgs) -> ExitCode {
    for name in ExperimentName::ALL {
        println!("{:20} {}", name.as_str(), name.summary());
    }
    ExitCode::SUCCESS
}
