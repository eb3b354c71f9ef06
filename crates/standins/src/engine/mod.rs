//! stand-in for a model engine: continuous batching, a limited prefix cache, streams and orders.

mod answer;
mod batch_model;
mod cache_events;
mod faults;
mod options;
mod orders;
mod prefix_cache;
mod prompt;
mod routes;
mod standin;
mod state;
mod stream;

pub use answer::answer_text;
pub use answer::expected_answer;
pub use batch_model::BatchModel;
pub use batch_model::BatchOptions;
pub use batch_model::BatchProgress;
pub use batch_model::BatchWork;
pub use cache_events::CacheEvent;
pub use cache_events::CacheEventKind;
pub use faults::EngineFaults;
pub use options::EngineOptions;
pub use prefix_cache::PrefixCache;
pub use prefix_cache::PrefixPart;
pub use prompt::Message;
pub use prompt::prefix_parts;
pub use standin::EngineControl;
pub use standin::EngineStandin;
pub use state::EngineCounts;
