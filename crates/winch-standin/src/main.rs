//! Runs one stand-in of the platform's services.

fn main() {}
