//! load and experiment tool of flamingostand.

fn main() {}
