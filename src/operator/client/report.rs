//! What an operation reports, and how it is written.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use eyre::WrapErr;
use serde_json::Value;
use winch_operator_api::Verdict;

use crate::base::ids::Incarnation;

/// Exit code of `winchctl`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitKind {
    /// Done.
    Success = 0,
    /// Failed; nothing was changed.
    Failed = 1,
    /// The command line cannot be understood.
    Usage = 2,
    /// At least one change lost against another.
    Conflict = 3,
    /// At least one change may or may not have been accepted.
    Unknown = 4,
}

impl ExitKind {
    /// Every kind with its meaning, in the order of the operators' page.
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

    /// Returns the exit code that a verdict leads to.
    pub fn of_verdict(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted => Self::Success,
            Verdict::Conflict => Self::Conflict,
            Verdict::Unknown | Verdict::Unspecified => Self::Unknown,
        }
    }
}

/// What an operation reports.
pub trait OperationReport {
    /// Writes the report for people.
    fn text(&self) -> String;

    /// Writes the report for programs.
    fn json(&self) -> Value;

    /// Returns the exit code.
    fn exit(&self) -> ExitKind {
        ExitKind::Success
    }
}

/// Writes an incarnation as the logs do, in hexadecimal digits. A number of
/// its size is no exact number of JSON either.
pub fn write_incarnation(incarnation: Incarnation) -> String {
    format!("{incarnation:x}")
}

/// Reads an incarnation as it is written.
///
/// Fails with what is allowed.
pub fn read_incarnation(text: &str) -> eyre::Result<Incarnation> {
    Incarnation::from_str_radix(text, 16)
        .wrap_err("name up to 16 hexadecimal digits, as `status` shows them")
}

/// Returns a verdict's word.
pub fn verdict_word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted => "accepted",
        Verdict::Conflict => "conflict",
        Verdict::Unknown | Verdict::Unspecified => "unknown",
    }
}

/// Writes rows as a table without borders.
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
