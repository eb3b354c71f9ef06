//! executor threads, timeouts and HTTP with counted bodies.
//!
//! `async-h1` reads a body that is shorter than its `Content-Length` as complete, on both sides.
//! Everything here that hands out a body counts its bytes and reports a short one as an error.

mod client;
mod connection;
mod error;
mod executor;
mod head_reader;
mod hyper_io;
mod keep_alive;
mod limited_socket;
mod read_limit;
mod response;
mod server;
mod sse;
mod token_bucket;

pub use client::Client;
pub use client::ClientSettings;
pub use client::Exchange;
pub use connection::Connection;
pub use error::ClientError;
pub use error::ReadError;
pub use executor::Spawner;
pub use executor::timeout;
pub use hyper_io::HyperIo;
pub use keep_alive::keep_alive;
pub use read_limit::ReadLimit;
pub use response::json;
pub use response::json_problem;
pub use response::streamed;
pub use server::Incoming;
pub use server::ServerLimits;
pub use server::serve;
pub use sse::SseEvent;
pub use sse::SseReader;
pub use token_bucket::TokenBucket;
