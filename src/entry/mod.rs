//! the callers' door: HTTP and JSON in front of the owners. Owns the callers' connections.

mod answers;
mod bearer;
mod routes;
mod turn_stream;
mod where_answer;

pub use answers::event_response;
pub use answers::problem_response;
pub use bearer::bearer_key;
pub use routes::handle;
