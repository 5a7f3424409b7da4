//! Command line.
fn main() {}
