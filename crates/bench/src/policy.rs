//! the policies that are compared.

use strum::Display;
use strum::EnumIter;

/// how turns reach engines.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// router and dispatchers of flamingostand.
    Ours,
    /// each replica in turn, first come first served inside the engine.
    RoundRobin,
    /// the replica with the fewest requests inside, seen without any lag.
    LeastLoaded,
    /// a program stays at one replica by hash, its sub-agents with it.
    PrefixAffinity,
}
