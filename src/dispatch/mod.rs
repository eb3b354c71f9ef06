//! queues and windows before the replicas, and the choice of replica.
//!
//! Pure decision code: the time and each input are arguments, the results are actions.
//! `Router` runs at the owner of a program and chooses a replica. `Dispatcher` runs at the one
//! instance that serves the replica and holds its queue. Nothing here must last.

mod cache_index;
mod demand;
mod dispatcher;
mod dispatcher_io;
mod fair_queue;
mod load_belief;
mod pool;
mod prefix_chain;
mod program_state;
mod replica_health;
mod replica_queue;
mod replica_state;
mod retry_budget;
mod router;
mod router_io;
mod service_rate;
mod window;

pub use cache_index::CACHE_ENTRY_TTL_MS;
pub use cache_index::CacheIndex;
pub use cache_index::Holder;
pub use demand::Demand;
pub use dispatcher::Dispatcher;
pub use dispatcher_io::DispatchAction;
pub use dispatcher_io::DispatchInput;
pub use dispatcher_io::LoadReading;
pub use dispatcher_io::WorkspaceWeight;
pub use fair_queue::FairQueue;
pub use fair_queue::QueuedTurn;
pub use load_belief::LoadBelief;
pub use pool::Pool;
pub use pool::SplitMix;
pub use prefix_chain::Boundary;
pub use prefix_chain::PrefixChain;
pub use program_state::Home;
pub use program_state::ProgramState;
pub use replica_health::ReplicaHealth;
pub use replica_queue::GENERATED_TOKEN_COST;
pub use replica_queue::Rejection;
pub use replica_queue::ReplicaQueue;
pub use replica_state::ReplicaKey;
pub use replica_state::ReplicaState;
pub use retry_budget::RetryBudget;
pub use retry_budget::RetryPlan;
pub use router::Router;
pub use router::UNCONFIRMED_ENTRY_TTL_MS;
pub use router_io::Choice;
pub use router_io::Replica;
pub use router_io::RouterInput;
pub use service_rate::ServiceRate;
pub use window::Window;
