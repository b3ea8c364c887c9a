//! Runs experiments and reports their figures.

fn main() {}
