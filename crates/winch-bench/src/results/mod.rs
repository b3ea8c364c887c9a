//! Figures, bounds, and the files and tables that show them.

mod table;

use std::collections::BTreeMap;
use std::path::Path;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;

pub use table::print_result;

/// Whether every bound was met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunVerdict {
    /// Every bound was met.
    Pass,
    /// A bound was missed.
    Fail,
}

/// How a figure relates to its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoundKind {
    /// The figure is at most the limit.
    AtMost,
    /// The figure is at least the limit.
    AtLeast,
}

/// A stated target for a figure.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FigureBound {
    /// Name of the figure.
    pub figure: Box<str>,
    /// How the figure relates to the limit.
    pub kind: BoundKind,
    /// The limit, in the figure's unit.
    pub limit: f64,
    /// Whether the figure met it.
    pub met: bool,
}

/// What one run of an experiment measured. Names of figures end in their unit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentResult {
    /// Name of the experiment.
    pub experiment: Box<str>,
    /// Seed of the run.
    pub seed: u64,
    /// Whether every bound was met.
    pub verdict: RunVerdict,
    /// What was measured.
    pub figures: BTreeMap<Box<str>, f64>,
    /// Stated targets.
    pub bounds: Vec<FigureBound>,
    /// The same figures for the naive baseline.
    pub baseline: BTreeMap<Box<str>, f64>,
    /// Points over time, for plots: seconds since the start and value.
    pub series: BTreeMap<Box<str>, Vec<(f64, f64)>>,
    /// Sentences that explain a figure.
    pub notes: Vec<Box<str>>,
}

impl ExperimentResult {
    /// Creates a result without figures.
    pub fn new(experiment: &str, seed: u64) -> Self {
        Self {
            experiment: experiment.into(),
            seed,
            verdict: RunVerdict::Pass,
            figures: BTreeMap::new(),
            bounds: Vec::new(),
            baseline: BTreeMap::new(),
            series: BTreeMap::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn figure(&mut self, name: impl Into<Box<str>>, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// Adds a figure of the baseline.
    pub fn baseline_figure(&mut self, name: impl Into<Box<str>>, value: f64) {
        self.baseline.insert(name.into(), value);
    }

    /// Adds a figure that is at most `limit`.
    pub fn at_most(&mut self, name: impl Into<Box<str>>, value: f64, limit: f64) {
        self.bound(name.into(), value, BoundKind::AtMost, limit);
    }

    /// Adds a figure that is at least `limit`.
    pub fn at_least(&mut self, name: impl Into<Box<str>>, value: f64, limit: f64) {
        self.bound(name.into(), value, BoundKind::AtLeast, limit);
    }

    /// Adds a sentence that explains a figure.
    pub fn note(&mut self, text: impl Into<Box<str>>) {
        self.notes.push(text.into());
    }

    fn bound(&mut self, name: Box<str>, value: f64, kind: BoundKind, limit: f64) {
        // A figure that could not be measured (NaN) meets no bound.
        let met = match kind {
            BoundKind::AtMost => value <= limit,
            BoundKind::AtLeast => value >= limit,
        };
        if !met {
            self.verdict = RunVerdict::Fail;
        }
        self.bounds.push(FigureBound {
            figure: name.clone(),
            kind,
            limit,
            met,
        });
        self.figures.insert(name, value);
    }

    /// Writes the result to `directory/NAME.json`, and to `NAME-SEED.json`
    /// beside it, so that runs with other seeds are kept.
    ///
    /// # Errors
    ///
    /// When a file cannot be written.
    pub fn write(&self, directory: &Path) -> eyre::Result<()> {
        let text = serde_json::to_string_pretty(self).wrap_err("cannot encode the result")?;
        let names = [
            format!("{}.json", self.experiment),
            format!("{}-{}.json", self.experiment, self.seed),
        ];
        for name in names {
            let path = directory.join(name);
            std::fs::write(&path, &text)
                .wrap_err_with(|| format!("cannot write {}", path.display()))?;
        }
        Ok(())
    }
}
