//! The settings of a process.
//!
//! A process reads one YAML file at its start. Identity, addresses and the
//! log's address have no defaults, because a wrong guess would make a process
//! act under another's name. Everything else has one. A file with any fault is
//! refused whole, and every fault is listed with file, field path, wrong value
//! and what is allowed, so that an operator mends a file in one round.
//!
//! [`sections`] holds the types, [`fields`] the table that the checks, the
//! printed defaults and the operators' page follow. The table stands beside
//! the types in place of a derive: it also carries meaning and range, and a
//! test holds the two together.

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
    /// Name of the node, constant over restarts.
    #[builder(into)]
    pub node: NodeName,
    /// Region of the VM.
    #[builder(into)]
    pub region: RegionName,
    /// Failure domain of the VM.
    #[builder(into)]
    pub failure_domain: FailureDomainName,
    /// Where the process listens.
    pub addresses: AddressSettings,
    /// Processes to ask for the folded state while the log is down.
    #[serde(default)]
    #[builder(default)]
    pub peers: Vec<SocketAddr>,
    /// How the platform's log is reached.
    pub log: LogSettings,
    /// Bounds of what callers may ask for and of what is kept for them.
    #[serde(default)]
    #[builder(default)]
    pub limits: LimitSettings,
    /// Times of the lease.
    #[serde(default)]
    #[builder(default)]
    pub lease: LeaseSettings,
    /// How the process logs.
    #[serde(default)]
    #[builder(default)]
    pub logging: LoggingSettings,
    /// How the process leaves.
    #[serde(default)]
    #[builder(default)]
    pub drain: DrainSettings,
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// Fails with every fault listed, one a line, when the file cannot be read
    /// or has any fault.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let place = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("{place}: cannot be read; name a settings file"))?;
        Self::parse(&place, &text).map_err(|faults| report_faults(&faults))
    }

    /// Reads settings from text; `place` names the file in the faults.
    ///
    /// Fails with every fault.
    pub fn parse(place: &str, text: &str) -> Result<Self, Vec<DocumentFault>> {
        let value: Value = serde_norway::from_str(text)
            .map_err(|error| vec![DocumentFault::whole(place, error.to_string())])?;
        let mut faults = Vec::new();
        let settings =
            read_document::<Self>(place, value, &required_fields(SETTING_FIELDS), &mut faults);
        if let Some(settings) = &settings {
            check_settings(place, settings, &mut faults);
        }
        fill_in_allowed(SETTING_FIELDS, &mut faults);
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}
