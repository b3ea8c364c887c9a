//! The promises, checked against the upstreams' ledgers.

mod ledger;

pub use ledger::PromiseReport;
pub use ledger::check_promises;
