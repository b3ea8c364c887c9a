//! Operators' changes of declared objects, from the call to the verdict.
//!
//! Each object has versions, and a change names the version that it is based
//! on: of concurrent changes, the first in log order wins, and the others are
//! reported as conflicts that name the winner. A change is reported as accepted
//! or in conflict only after this process has folded it. [`submitter`] submits
//! changes, and [`settle`] finds the verdict on a change whose response was lost.
//!
//! If a response was lost, the verdict is looked up by the change's id.
//! Submitting the same change again, through any process, is harmless: the fold
//! repeats its first verdict, and once that verdict is dropped, the change is
//! based on an old version and never takes effect again.

pub mod settle;
pub mod submitter;
