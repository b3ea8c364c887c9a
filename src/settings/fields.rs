//! The table of settings: what each allows and what it is for.
//!
//! The checks, `winchd --print-defaults` and the operators' page all follow
//! this table.

/// What a setting allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedValues {
    /// A name of lower-case letters, digits and hyphens.
    Name,
    /// An IP address and port.
    SocketAddress,
    /// A list of IP addresses with ports.
    SocketAddresses,
    /// An `http` or `https` URL.
    Url,
    /// A whole number between two bounds, both allowed.
    Number {
        /// The least.
        least: u64,
        /// The greatest.
        greatest: u64,
    },
    /// One of some words.
    Words(&'static [&'static str]),
}

impl AllowedValues {
    /// Describes what is allowed, for faults and for the operators' page.
    pub fn describe(self) -> Box<str> {
        match self {
            Self::Name => "lower-case letters, digits and hyphens, at most 63".into(),
            Self::SocketAddress => "an IP address and port, as 10.0.0.7:7000".into(),
            Self::SocketAddresses => "a list of IP addresses and ports".into(),
            Self::Url => "an http or https URL".into(),
            Self::Number { least, greatest } => format!("{least} to {greatest}").into(),
            Self::Words(words) => words.join(", ").into(),
        }
    }

    /// Returns a value that can be read, for a required field with a fault.
    pub const fn placeholder(self) -> &'static str {
        match self {
            Self::SocketAddress => "127.0.0.1:0",
            Self::Url => "http://127.0.0.1",
            _ => "placeholder",
        }
    }
}

/// One setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingField {
    /// Path of the field, its names separated by dots.
    pub path: &'static str,
    /// What it allows.
    pub allowed: AllowedValues,
    /// Whether the file must give it.
    pub required: bool,
    /// What it is for, with its unit.
    pub meaning: &'static str,
}

const fn required(
    path: &'static str,
    allowed: AllowedValues,
    meaning: &'static str,
) -> SettingField {
    SettingField {
        path,
        allowed,
        required: true,
        meaning,
    }
}

const fn optional(
    path: &'static str,
    allowed: AllowedValues,
    meaning: &'static str,
) -> SettingField {
    SettingField {
        path,
        allowed,
        required: false,
        meaning,
    }
}

const fn number(least: u64, greatest: u64) -> AllowedValues {
    AllowedValues::Number { least, greatest }
}

const FORMATS: AllowedValues = AllowedValues::Words(&["text", "json"]);
const LEVELS: AllowedValues = AllowedValues::Words(&["error", "warn", "info", "debug", "trace"]);
const GIBIBYTE: u64 = 1 << 30;

/// Every setting, in the order of the operators' page.
#[rustfmt::skip]
pub const SETTING_FIELDS: &[SettingField] = &[
    required("node", AllowedValues::Name, "name of the node, constant over restarts and unique in the fleet"),
    required("region", AllowedValues::Name, "region of the VM"),
    required("failure_domain", AllowedValues::Name, "failure domain of the VM"),
    required("addresses.callers", AllowedValues::SocketAddress, "where callers' HTTP is taken"),
    required("addresses.peers", AllowedValues::SocketAddress, "where frames (TCP) and datagrams (UDP) of other processes are taken"),
    required("addresses.operators", AllowedValues::SocketAddress, "where operators' gRPC is taken"),
    required("addresses.local", AllowedValues::SocketAddress, "where the upstream announces itself, and where health and metrics are read"),
    optional("peers", AllowedValues::SocketAddresses, "processes to ask for the folded state while the log is down"),
    required("log.address", AllowedValues::Url, "base URL of the platform's log"),
    optional("log.append_timeout_ms", number(10, 60_000), "how long one append may take, in milliseconds"),
    optional("log.read_timeout_ms", number(10, 60_000), "how long one read may take, in milliseconds"),
    optional("log.poll_interval_ms", number(10, 10_000), "pause between two reads that found nothing new, in milliseconds"),
    optional("log.longest_backoff_ms", number(100, 60_000), "longest pause between two attempts while the log fails, in milliseconds"),
    optional("log.read_entries", number(1, 100_000), "most entries of one read"),
    optional("log.appends_per_second", number(1, 1000), "most appends of this process in a second"),
    optional("limits.max_body_bytes", number(1, GIBIBYTE), "largest body of a request, in bytes; a service may allow less"),
    optional("limits.max_deadline_ms", number(1, 3_600_000), "longest deadline that a caller may ask for, in milliseconds"),
    optional("limits.max_connections", number(1, 1_000_000), "most connections of callers at once"),
    optional("limits.header_timeout_ms", number(10, 600_000), "how long a request's headers may take to arrive, in milliseconds"),
    optional("limits.body_timeout_ms", number(10, 600_000), "how long a request's body may take to arrive, in milliseconds"),
    optional("limits.outcome_memory_ms", number(1000, 86_400_000), "how long an outcome is kept for repetitions of its request, in milliseconds"),
    optional("limits.outcome_entries", number(1, 10_000_000), "most outcomes that are kept"),
    optional("limits.outcome_bytes", number(1024, 4 * GIBIBYTE), "most bytes of answers that are kept with the outcomes"),
    optional("lease.renew_interval_ms", number(10, 10_000), "pause between two renewals, in milliseconds"),
    optional("lease.lease_ms", number(50, 60_000), "how long a renewal holds, in milliseconds; the same on every node"),
    optional("lease.margin_ms", number(1, 10_000), "what a witness adds before it states that a lease has ended, in milliseconds"),
    optional("lease.tick_gap_ms", number(10, 10_000), "gap between two ticks that counts as a pause of the process, in milliseconds"),
    optional("logging.format", FORMATS, "form of a log line"),
    optional("logging.level", LEVELS, "least severe level that is logged; debug adds a line for each routing decision"),
    optional("drain.timeout_ms", number(100, 3_600_000), "how long work in flight may take to finish after SIGTERM, in milliseconds"),
];

/// Finds a setting by its path; an element of a list counts as the list.
pub fn find_field(path: &str) -> Option<&'static SettingField> {
    let list = path.split('[').next().unwrap_or(path);
    SETTING_FIELDS.iter().find(|field| field.path == list)
}
