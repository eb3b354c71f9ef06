//! clients of the model engines and the plain services; they repeat nothing that may not be repeated.

mod cancels;
mod engine_client;
mod engine_error;
mod engine_run;
mod engine_types;
mod service_client;
mod tool_calls;

pub use engine_client::EngineClient;
pub use engine_client::EngineClientSettings;
pub use engine_error::EngineError;
pub use engine_types::CacheEvent;
pub use engine_types::CacheEventKind;
pub use engine_types::CacheEventPage;
pub use engine_types::CacheHold;
pub use engine_types::EngineLoad;
pub use engine_types::EngineOrders;
pub use engine_types::EngineState;
pub use engine_types::Export;
pub use service_client::LookUp;
pub use service_client::ServiceClient;
