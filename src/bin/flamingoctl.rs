//! thin program.

fn main() {}
