//! stand-in for the platform: a revisioned object store, the lagging list of instances, and faults.

mod faults;
mod instances;
mod named_routes;
mod routes;
mod standin;
mod store;

pub use faults::LostReplies;
pub use faults::Outage;
pub use faults::PlatformFaults;
pub use faults::StaleReads;
pub use instances::InstanceRow;
pub use standin::CallCounts;
pub use standin::PlatformControl;
pub use standin::PlatformOptions;
pub use standin::PlatformStandin;
pub use store::Change;
pub use store::Object;
pub use store::Page;
pub use store::Store;
pub use store::StoreError;
