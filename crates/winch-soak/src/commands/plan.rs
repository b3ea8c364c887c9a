//! `winch-soak plan`.

use clap::Args;
use winch_soak::plan::FaultPlan;

/// Arguments of `plan`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct PlanArgs {
    /// Seed of the plan
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of machines
    #[arg(long, default_value_t = 5)]
    machines: u8,
    /// Number of series of faults
    #[arg(long, default_value_t = 3)]
    series: usize,
}

/// Prints the faults that a seed generates.
pub(crate) fn exec(args: &PlanArgs) {
    let plan = FaultPlan::draw(args.seed, usize::from(args.machines), args.series);
    for (number, series) in plan.series.iter().enumerate() {
        for fault in series {
            println!("series {number}: {fault}");
        }
    }
}
