//! faults that a run may contain.

use strum::Display;
use strum::EnumIter;

/// a fault, in force for a minute from the middle of a run.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// one replica dies and comes back with an empty cache.
    ReplicaDies,
    /// one replica becomes ten times slower.
    ReplicaSlow,
    /// the replicas of one zone die and come back.
    ZoneGoes,
    /// no cache event arrives for 30 s.
    CacheEventsStop,
    /// one instance dies with its queues; others serve its replicas after a takeover.
    DispatcherDies,
}

/// when the fault of a run begins.
pub const FAULT_AT_US: u64 = 240_000_000;

/// how long it stays in force.
pub const FAULT_US: u64 = 60_000_000;

/// how long cache events stop.
pub const CACHE_EVENTS_STOP_US: u64 = 30_000_000;

/// time until other instances serve the replicas of a dead one.
pub const TAKEOVER_US: u64 = 1_500_000;

/// time until the platform's list shows a dead replica as gone, or as back.
pub const LIST_LAG_US: u64 = 5_000_000;
