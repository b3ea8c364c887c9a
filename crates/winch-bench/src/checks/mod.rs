//! Checks the router's guarantees against the upstreams' ledgers.

mod ledger;

pub use ledger::GuaranteeReport;
pub use ledger::check_guarantees;
