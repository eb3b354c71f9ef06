//! flamingostand: a scheduler for agent programs that many teams share.
//!
//! The library holds everything; the programs `flamingostand` and `flamingoctl` are thin.
//! Decisions are plain state machines; sockets, clocks and random sources stay at the edges.

pub mod allotment;
pub mod cli;
pub mod clock;
pub mod config;
pub mod ctl;
pub mod dispatch;
pub mod door;
pub mod entry;
pub mod finding;
pub mod fleet;
pub mod ids;
pub mod instance;
pub mod journal;
pub mod ledger;
pub mod ledger_client;
pub mod ledger_log;
pub mod ledger_node;
pub mod member;
pub mod membership;
pub mod mesh;
pub mod operator;
pub mod owner;
pub mod ownership;
pub mod platform;
pub mod poison;
pub mod program;
pub mod quickstart;
pub mod reach;
pub mod release;
pub mod rendezvous;
pub mod routing;
pub mod schema;
pub mod settings;
pub mod slots;
pub mod telemetry;
pub mod timeline;
pub mod upstream;
pub mod workspace;
