//! the commands of `flamingoctl`, run against the administration API.

mod api_client;
mod api_error;
mod explain;
mod key;
mod note;
mod render;
mod run;
mod table;

pub use api_client::ApiClient;
pub use api_error::ApiError;
pub use key::hash_key;
pub use key::read_key;
pub use run::run;
pub use table::Table;
