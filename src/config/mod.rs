//! the configuration in force: what all accepted releases add up to.

mod configuration;

pub use configuration::Configuration;
