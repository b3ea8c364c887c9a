//! Prints a result as a table.

use comfy_table::Table;

use super::BoundKind;
use super::ExperimentResult;
use super::RunVerdict;

/// Prints the verdict, figures, bounds, baseline and notes of a result to
/// standard output.
pub fn print_result(result: &ExperimentResult) {
    let mut table = Table::new();
    table.set_header(["figure", "value", "bound", "met", "baseline"]);
    for (name, value) in &result.figures {
        let bound = result.bounds.iter().find(|bound| bound.figure == *name);
        let limit = bound.map_or_else(String::new, |bound| match bound.kind {
            BoundKind::AtMost => format!("<= {}", number(bound.limit)),
            BoundKind::AtLeast => format!(">= {}", number(bound.limit)),
        });
        let met = bound.map_or("", |bound| if bound.met { "yes" } else { "NO" });
        let baseline = result.baseline.get(name).copied().map(number);
        table.add_row([
            name.to_string(),
            number(*value),
            limit,
            met.to_owned(),
            baseline.unwrap_or_default(),
        ]);
    }
    let verdict = match result.verdict {
        RunVerdict::Pass => "pass",
        RunVerdict::Fail => "fail",
    };
    println!(
        "{} (seed {}): {verdict}\n{table}",
        result.experiment, result.seed
    );
    for note in &result.notes {
        println!("  {note}");
    }
}

fn number(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
