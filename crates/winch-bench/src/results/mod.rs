//! Results of experiments: figures, bounds, result files and tables.

mod table;

use std::collections::BTreeMap;
use std::path::Path;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;

pub use table::print_result;

/// Overall result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunVerdict {
    /// Every bound was met.
    Pass,
    /// At least one bound was missed.
    Fail,
}

/// Direction of a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoundKind {
    /// The figure must be at most the limit.
    AtMost,
    /// The figure must be at least the limit.
    AtLeast,
}

/// A limit that a figure has to meet for the run to pass.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FigureBound {
    /// Name of the figure; a key of [`ExperimentResult::figures`].
    pub figure: Box<str>,
    /// Direction of the bound.
    pub kind: BoundKind,
    /// The limit, in the figure's unit.
    pub limit: f64,
    /// Whether the figure met the limit; NaN never does.
    pub met: bool,
}

/// Result of one run of an experiment. The names of figures end in their unit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentResult {
    /// Name of the experiment.
    pub experiment: Box<str>,
    /// Seed of the run.
    pub seed: u64,
    /// Whether every bound was met.
    pub verdict: RunVerdict,
    /// Measured values by name.
    pub figures: BTreeMap<Box<str>, f64>,
    /// Limits, in the order in which they were checked.
    pub bounds: Vec<FigureBound>,
    /// Figures of the naive router under the same load; empty in most
    /// experiments.
    pub baseline: BTreeMap<Box<str>, f64>,
    /// Time series for plots: pairs of seconds since the start and value.
    pub series: BTreeMap<Box<str>, Vec<(f64, f64)>>,
    /// Remarks on the figures, such as descriptions of violations.
    pub notes: Vec<Box<str>>,
}

impl ExperimentResult {
    /// Creates a passing result without figures.
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

    /// Adds a figure without a bound.
    pub fn figure(&mut self, name: impl Into<Box<str>>, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// Adds a figure of the naive router.
    pub fn baseline_figure(&mut self, name: impl Into<Box<str>>, value: f64) {
        self.baseline.insert(name.into(), value);
    }

    /// Adds a figure with an upper bound; the run fails if it is exceeded.
    pub fn at_most(&mut self, name: impl Into<Box<str>>, value: f64, limit: f64) {
        self.bound(name.into(), value, BoundKind::AtMost, limit);
    }

    /// Adds a figure with a lower bound; the run fails if it is not reached.
    pub fn at_least(&mut self, name: impl Into<Box<str>>, value: f64, limit: f64) {
        self.bound(name.into(), value, BoundKind::AtLeast, limit);
    }

    /// Adds a remark on the figures.
    pub fn note(&mut self, text: impl Into<Box<str>>) {
        self.notes.push(text.into());
    }

    fn bound(&mut self, name: Box<str>, value: f64, kind: BoundKind, limit: f64) {
        // NaN marks a figure that could not be measured; it meets no bound.
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

    /// Writes the result to `NAME.json` and to `NAME-SEED.json` in `directory`.
    /// The second file keeps the results of runs with other seeds.
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
