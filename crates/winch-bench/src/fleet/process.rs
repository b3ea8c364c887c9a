//! Starts, signals, measures and kills one child process.

use std::ffi::OsString;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;

/// Clock ticks of `/proc/PID/stat` in a second.
const TICKS_PER_SECOND: f64 = 100.0;

const BYTES_PER_PAGE: u64 = 4_096;

const EXIT_POLL: Duration = Duration::from_millis(10);

/// A signal that an experiment sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends the process at once (`SIGKILL`).
    Kill,
    /// Asks the process to shut down (`SIGTERM`).
    Terminate,
    /// Asks the process to reload its settings (`SIGHUP`).
    Hangup,
    /// Suspends the process (`SIGSTOP`).
    Stop,
    /// Resumes a suspended process (`SIGCONT`).
    Continue,
}

impl ProcessSignal {
    fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Terminate => "-TERM",
            Self::Hangup => "-HUP",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// Command line and output of a process.
#[derive(Debug, Clone)]
pub struct ProcessCommand {
    /// Name in errors, and of the output files `NAME-START.log`.
    pub name: Box<str>,
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments of the program.
    pub arguments: Vec<OsString>,
    /// Directory of the output files.
    pub output_directory: PathBuf,
}

/// CPU time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// User and system CPU time since the start, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    command: ProcessCommand,
    child: Child,
    starts: u32,
}

impl ChildProcess {
    /// Starts a process.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(command: ProcessCommand) -> eyre::Result<Self> {
        let child = spawn(&command, 0)?;
        Ok(Self {
            command,
            child,
            starts: 1,
        })
    }

    /// Restarts the process, with a new output file. Kills it first if it still
    /// runs.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn restart(&mut self) -> eyre::Result<()> {
        self.end();
        self.child = spawn(&self.command, self.starts)?;
        self.starts += 1;
        Ok(())
    }

    /// Returns the command, to change it for the next restart.
    pub fn command_mut(&mut self) -> &mut ProcessCommand {
        &mut self.command
    }

    /// Returns the process id; it changes with a restart.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended; a suspended one has not.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// When the process has ended or `/bin/kill` fails.
    pub fn signal(&mut self, signal: ProcessSignal) -> eyre::Result<()> {
        if !self.is_running() {
            bail!("{} has ended", self.command.name);
        }
        let status = Command::new("/bin/kill")
            .arg(signal.flag())
            .arg(self.child.id().to_string())
            .status()
            .wrap_err("cannot run /bin/kill")?;
        if !status.success() {
            bail!("cannot signal {}", self.command.name);
        }
        Ok(())
    }

    /// Kills the process and waits until it has ended.
    pub fn end(&mut self) {
        // Both calls fail only if the process has already ended.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits at most `limit` for the process to end.
    ///
    /// # Errors
    ///
    /// When it still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= deadline {
                bail!("{} still runs after {limit:?}", self.command.name);
            }
            tokio::time::sleep(EXIT_POLL).await;
        }
    }

    /// Returns the CPU time and memory of the process.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn usage(&self) -> eyre::Result<ProcessUsage> {
        read_usage(Path::new(&format!("/proc/{}/stat", self.child.id())))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(command: &ProcessCommand, starts: u32) -> eyre::Result<Child> {
    let file_name = format!("{}-{starts}.log", command.name);
    let path = command.output_directory.join(file_name);
    let output =
        File::create(&path).wrap_err_with(|| format!("cannot create {}", path.display()))?;
    Command::new(&command.program)
        .args(&command.arguments)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
        .wrap_err_with(|| format!("cannot start {}", command.program.display()))
}

fn read_usage(path: &Path) -> eyre::Result<ProcessUsage> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    // The second field is the program's name in parentheses, and may hold
    // spaces; the third field follows its last parenthesis.
    let (_, rest) = text
        .rsplit_once(')')
        .ok_or_else(|| eyre!("{} has no program name", path.display()))?;
    let fields: Vec<u64> = rest
        .split_whitespace()
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    let field = |number: usize| fields.get(number - 3).copied().unwrap_or_default();
    let ticks = field(14) + field(15);
    Ok(ProcessUsage {
        cpu_seconds: ticks as f64 / TICKS_PER_SECOND,
        resident_bytes: field(24) * BYTES_PER_PAGE,
    })
}

/// Returns the path of a program in the directory of the running executable.
///
/// # Errors
///
/// When it does not exist; `cargo build --release --workspace` builds it.
pub fn sibling_program(name: &str) -> eyre::Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("cannot find the path of the running executable")?;
    let path = own.with_file_name(name);
    if !path.exists() {
        bail!(
            "{} does not exist; build it with `cargo build --release --workspace`",
            path.display()
        );
    }
    Ok(path)
}
