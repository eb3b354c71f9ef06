//! the platform's object API: requests, replies and the edge that carries them.

mod api;
mod backoff;
mod http_platform;
mod settle;
mod store_call;
mod wire;

pub use api::Change;
pub use api::InstanceKind;
pub use api::ListedInstance;
pub use api::ListedState;
pub use api::Object;
pub use api::Platform;
pub use api::PlatformError;
pub use api::PlatformReply;
pub use api::PlatformRequest;
pub use api::PlatformResult;
pub use backoff::Backoff;
pub use http_platform::HttpPlatform;
pub use http_platform::HttpPlatformOptions;
pub use settle::Settled;
pub use settle::settle_create;
pub use settle::settle_update;
pub use store_call::call_store;
