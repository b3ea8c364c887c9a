//! Reports of the operations, and their output formats.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use eyre::WrapErr;
use serde_json::Value;
use winch_operator_api::Verdict;

use crate::base::ids::Incarnation;

/// Exit code of `winchctl`. Of several changes, the greatest code counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitKind {
    /// The operation succeeded.
    Success = 0,
    /// The operation failed and changed nothing.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// At least one change lost against another operator's.
    Conflict = 3,
    /// At least one change may or may not have been accepted.
    Unknown = 4,
}

impl ExitKind {
    /// Every exit code with its meaning, as the operators' page lists them.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::Success, "done"),
        (Self::Failed, "failed; nothing was changed"),
        (Self::Usage, "the command line cannot be understood"),
        (Self::Conflict, "at least one change lost against another's"),
        (
            Self::Unknown,
            "at least one change may or may not have been accepted; ask by its id",
        ),
    ];

    /// Returns the exit code for a verdict.
    pub fn of_verdict(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted => Self::Success,
            Verdict::Conflict => Self::Conflict,
            Verdict::Unknown | Verdict::Unspecified => Self::Unknown,
        }
    }
}

/// Result of an operation, ready for output.
pub trait OperationReport {
    /// Renders the report as tables and lines for a terminal.
    fn text(&self) -> String;

    /// Converts the report to JSON for programs.
    fn json(&self) -> Value;

    /// Returns the exit code; success unless overridden.
    fn exit_kind(&self) -> ExitKind {
        ExitKind::Success
    }
}

/// Formats an incarnation in hexadecimal digits, as the logs do. JSON output uses
/// this text too, because 64-bit integers are not exact in many JSON parsers.
pub fn write_incarnation(incarnation: Incarnation) -> String {
    format!("{incarnation:x}")
}

/// Parses an incarnation from hexadecimal digits, the format of
/// [`write_incarnation`].
///
/// Fails with the allowed format.
pub fn read_incarnation(text: &str) -> eyre::Result<Incarnation> {
    Incarnation::from_str_radix(text, 16)
        .wrap_err("specify up to 16 hexadecimal digits, as `status` shows them")
}

/// Returns a verdict's name as it is printed.
pub fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted => "accepted",
        Verdict::Conflict => "conflict",
        Verdict::Unknown | Verdict::Unspecified => "unknown",
    }
}

/// Formats rows as a table without borders.
pub fn write_table<const N: usize>(
    header: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table
        .lines()
        .map(|line| {
            line.strip_prefix(' ')
                .unwrap_or(&line)
                .trim_end()
                .to_owned()
        })
        .collect::<Vec<String>>()
        .join("\n")
}
