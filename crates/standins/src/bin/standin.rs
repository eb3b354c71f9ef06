//! thin.
fn main() {}
