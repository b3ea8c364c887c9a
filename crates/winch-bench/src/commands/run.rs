//! `winch-bench run`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use eyre::WrapErr;
use winch_bench::experiments::ExperimentName;
use winch_bench::experiments::RunContext;
use winch_bench::results::RunVerdict;
use winch_bench::results::print_result;

const ALL: &str = "all";

/// Arguments of `run`.
#[derive(Debug)]
#[derive(Args)]
pub struct RunArgs {
    /// Name of the experiment, or "all".
    name: Box<str>,
    /// Seed; given several times, the experiment runs once with each.
    #[arg(long, default_values_t = [1])]
    seed: Vec<u64>,
    /// Directory of the result files.
    #[arg(long, default_value = "bench-results")]
    out: PathBuf,
    /// Directory of the deployments' declarations.
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
    /// Keeps the processes' logs and ledgers, and says where.
    #[arg(long)]
    keep: bool,
}

/// Runs experiments. Exits with a failure code if a bound was missed or an
/// experiment could not be carried out.
pub async fn exec(args: RunArgs) -> eyre::Result<ExitCode> {
    std::fs::create_dir_all(&args.out)
        .wrap_err_with(|| format!("cannot create {}", args.out.display()))?;
    let names = if &*args.name == ALL {
        ExperimentName::ALL.to_vec()
    } else {
        vec![ExperimentName::find(&args.name)?]
    };
    let mut code = ExitCode::SUCCESS;
    for name in names {
        for seed in &args.seed {
            if !run_once(name, *seed, &args).await? {
                code = ExitCode::FAILURE;
            }
        }
    }
    Ok(code)
}

/// Runs an experiment once and writes its result. Returns whether every bound was
/// met.
async fn run_once(name: ExperimentName, seed: u64, args: &RunArgs) -> eyre::Result<bool> {
    let context = RunContext {
        seed,
        examples: args.examples.clone(),
        keep: args.keep,
    };
    eprintln!("{}: runs with seed {seed}", name.as_str());
    match name.run(&context).await {
        Ok(result) => {
            print_result(&result);
            result.write(&args.out)?;
            Ok(result.verdict == RunVerdict::Pass)
        }
        Err(error) => {
            // The remaining experiments still run; this one counts as failed.
            eprintln!("{}: not carried out: {error:#}", name.as_str());
            Ok(false)
        }
    }
}
