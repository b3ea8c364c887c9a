//! `winch-soak run`.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use comfy_table::Table;
use eyre::WrapErr;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use winch_bench::fleet::process::sibling_program;
use winch_soak::run::SoakReport;
use winch_soak::run::SoakSettings;
use winch_soak::run::run_soak;

/// Maximum number of violations of a seed that are printed. The file
/// `violations.txt` has all of them.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Arguments of `run`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct RunArgs {
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of machines
    #[arg(long, default_value_t = 5)]
    machines: u8,
    /// Number of series of faults
    #[arg(long, default_value_t = 3)]
    series: usize,
    /// Number of callers per machine
    #[arg(long, default_value_t = 3)]
    callers: u32,
    /// Grant keys in the answers to the upstreams' heartbeats instead of by calls
    #[arg(long)]
    heartbeat_grants: bool,
    /// Program of the sidecar; by default the one in the directory of this program
    #[arg(long)]
    sidecar: Option<PathBuf>,
    /// Directory for the plans, logs and violations of failed seeds
    #[arg(long, default_value = "soak-results")]
    keep: PathBuf,
}

/// Runs seeds one after the other. Returns a failure code if there were violations.
pub(crate) async fn exec(args: RunArgs) -> eyre::Result<ExitCode> {
    let sidecar = match &args.sidecar {
        Some(program) => program.clone(),
        None => sibling_program("winch-sidecar")?,
    };
    let mut table = Table::new();
    table.set_header([
        "seed",
        "served",
        "refused",
        "failed",
        "unanswered",
        "longest recovery",
        "violations",
    ]);
    let mut code = ExitCode::SUCCESS;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let directory = tempfile::tempdir().wrap_err("cannot create a temporary directory")?;
        let settings = SoakSettings::builder()
            .seed(seed)
            .machines(args.machines)
            .series(args.series)
            .callers(args.callers)
            .sidecar(sidecar.clone())
            .directory(directory.path().into())
            .grants_by_heartbeat(args.heartbeat_grants)
            .build();
        // An early return drops the fleet, which ends its processes.
        let report = tokio::select! {
            report = run_soak(&settings) => report?,
            () = interrupted() => eyre::bail!("seed {seed}: interrupted"),
        };
        add_row(&mut table, seed, &report);
        if !report.violations.is_empty() {
            code = ExitCode::FAILURE;
            let saved = args.keep.join(format!("seed-{seed}"));
            save_failure(directory.path(), &saved, &report)?;
            eprintln!(
                "seed {seed}: {} violations, saved in {}",
                report.violations.len(),
                saved.display()
            );
            for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
                eprintln!("  {violation}");
            }
        }
    }
    println!("{table}");
    Ok(code)
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() {
    let terminated = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminations) => drop(terminations.recv().await),
            Err(_unsupported) => std::future::pending().await,
        }
    };
    tokio::select! {
        _signal = tokio::signal::ctrl_c() => {}
        () = terminated => {}
    }
}

fn add_row(table: &mut Table, seed: u64, report: &SoakReport) {
    let counts = report.counts;
    table.add_row([
        seed.to_string(),
        counts.served.to_string(),
        counts.refused.to_string(),
        counts.failed.to_string(),
        counts.unanswered.to_string(),
        format!("{:.1} s", report.longest_recovery.as_secs_f64()),
        report.violations.len().to_string(),
    ]);
}

/// Copies the files of a run to a directory and writes its violations there.
fn save_failure(directory: &Path, saved: &Path, report: &SoakReport) -> eyre::Result<()> {
    std::fs::create_dir_all(saved)
        .wrap_err_with(|| format!("cannot create {}", saved.display()))?;
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        if let Some(name) = path.file_name() {
            std::fs::copy(&path, saved.join(name)).wrap_err("cannot copy a file of the run")?;
        }
    }
    let text = report.violations.join("\n");
    std::fs::write(saved.join("violations.txt"), text).wrap_err("cannot write the violations")
}
