//! The settings of a process.
//!
//! A process reads one YAML file at start. Identity, addresses and the log's
//! address have no defaults, because with a wrong one a process would act under
//! the name of another. All other settings have a default. A file with any fault
//! is refused as a whole, and every fault is reported with file, field path,
//! wrong value and allowed values, so that an operator can correct the file in
//! one pass.
//!
//! [`sections`] has the types. [`fields`] has the table from which the checks,
//! the printed defaults and the operators' page are derived. The table is written
//! by hand instead of derived from the types because it also has the meaning and
//! the range of each setting; a test checks that both have the same fields.

mod check;
mod defaults;
pub mod fields;
pub mod sections;

use std::net::SocketAddr;
use std::path::Path;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;
use serde_norway::Value;

use self::check::check_settings;
pub use self::defaults::default_text;
pub use self::defaults::print_defaults;
use self::fields::SETTING_FIELDS;
pub use self::sections::AddressSettings;
pub use self::sections::DrainSettings;
pub use self::sections::LeaseSettings;
pub use self::sections::LimitSettings;
pub use self::sections::LogFormat;
pub use self::sections::LogLevel;
pub use self::sections::LogSettings;
pub use self::sections::LoggingSettings;
use crate::base::document::DocumentFault;
use crate::base::document::read_document;
use crate::base::document::report_faults;
use crate::base::fields::fill_in_allowed;
use crate::base::fields::required_fields;
use crate::base::ids::FailureDomainName;
use crate::base::ids::NodeName;
use crate::base::ids::RegionName;

/// The settings of one `winchd`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node: unique in the fleet and the same after a restart.
    #[builder(into)]
    pub node: NodeName,
    /// Region in which the VM runs.
    #[builder(into)]
    pub region: RegionName,
    /// Failure domain in which the VM runs.
    #[builder(into)]
    pub failure_domain: FailureDomainName,
    /// Addresses on which the process listens.
    pub addresses: AddressSettings,
    /// Peer addresses of processes to fetch the folded state from while the log is
    /// unavailable. Empty by default.
    #[serde(default)]
    #[builder(default)]
    pub peers: Vec<SocketAddr>,
    /// Address, time-outs and rates of access to the platform's log.
    pub log: LogSettings,
    /// Limits of callers' requests and of stored outcomes.
    #[serde(default)]
    #[builder(default)]
    pub limits: LimitSettings,
    /// Timing of the lease.
    #[serde(default)]
    #[builder(default)]
    pub lease: LeaseSettings,
    /// Format and level of the process's log lines.
    #[serde(default)]
    #[builder(default)]
    pub logging: LoggingSettings,
    /// Limits of leaving the fleet.
    #[serde(default)]
    #[builder(default)]
    pub drain: DrainSettings,
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has any fault. The error lists every
    /// fault, one per line.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let location = path.display().to_string();
        let text = std::fs::read_to_string(path).wrap_err_with(|| {
            format!("{location}: cannot be read; check the path of the settings file")
        })?;
        Self::parse(&location, &text).map_err(|faults| report_faults(&faults))
    }

    /// Parses settings; `location` names the file in the faults.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the text.
    pub fn parse(location: &str, text: &str) -> Result<Self, Vec<DocumentFault>> {
        let value: Value = serde_norway::from_str(text)
            .map_err(|error| vec![DocumentFault::whole(location, error.to_string())])?;
        let mut faults = Vec::new();
        let settings = read_document::<Self>(
            location,
            value,
            &required_fields(SETTING_FIELDS),
            &mut faults,
        );
        if let Some(settings) = &settings {
            check_settings(location, settings, &mut faults);
        }
        fill_in_allowed(SETTING_FIELDS, &mut faults);
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}
