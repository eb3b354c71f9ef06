//! stand-in for the weight store, which is rate limited.

mod standin;

pub use standin::WeightsOptions;
pub use standin::WeightsStandin;
