//! the platform's object API: requests, replies and the edge that carries them.

mod api;

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
