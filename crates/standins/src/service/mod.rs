//! stand-in for a plain service that counts each run of each idempotency key.

mod faults;
mod routes;
mod standin;

pub use faults::ServiceFaults;
pub use standin::ServiceControl;
pub use standin::ServiceOptions;
pub use standin::ServiceStandin;
