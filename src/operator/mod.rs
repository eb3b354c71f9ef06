//! the operators' door: the administration API and the metrics. Owns the operators' connections.

mod release_routes;
mod routes;

pub use routes::handle;
