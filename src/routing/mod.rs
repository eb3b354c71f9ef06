//! request routing: the routes of the operators' configuration and the choice of a replica behind them.
//!
//! Owns a front door's view of the replicas. Pure logic without I/O; the time is passed in as an argument.

mod attempt_timeouts;
mod leaving;
mod pick;
mod rate_limits;
mod replica_table;
mod route;
mod route_table;
mod service;
mod software;
mod zone_plan;
mod zone_spill;

pub use attempt_timeouts::AttemptTimeouts;
pub use pick::Affinity;
pub use pick::PickCriteria;
pub use rate_limits::LimitChange;
pub use rate_limits::RateNotice;
pub use replica_table::Crossing;
pub use replica_table::NoPick;
pub use replica_table::Outcome;
pub use replica_table::ReplicaEntry;
pub use replica_table::ReplicaId;
pub use replica_table::ReplicaPick;
pub use replica_table::ReplicaTable;
pub use route::Backend;
pub use route::RequestKind;
pub use route::Route;
pub use route_table::CallerLimits;
pub use route_table::RETENTION_MARGIN_MS;
pub use route_table::RouteTable;
pub use service::EngineSpec;
pub use service::ServiceSpec;
pub use software::Software;
pub use zone_spill::SpillChange;
pub use zone_spill::ZoneLoad;
pub use zone_spill::ZoneSpill;
