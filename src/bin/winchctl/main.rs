//! Entry point of `winchctl`.

fn main() {}
