//! Operators' changes of declared objects, from the call to the verdict.
//!
//! Each object has versions, and a change names the one that it is based on:
//! of racing operators, the first in the log's order wins and the others are
//! told who did. A change is told accepted or refused only after the fold here
//! has judged it. [`submitter`] submits changes and [`settle`] finds the verdict
//! on one whose answer was lost.
//!
//! A lost answer is settled by the change's id. Submitting the same change
//! again, at any process, is harmless: the fold repeats its first verdict, and
//! once that is forgotten the change is based on an old version for good.

pub mod settle;
pub mod submitter;
