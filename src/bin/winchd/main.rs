//! Entry point of `winchd`.

fn main() {}
