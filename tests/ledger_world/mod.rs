//! simulation of ledger nodes, their disks, the platform's view object and doors in virtual time, with seeded
//! faults.

mod conversations;
mod door;
mod faults;
mod machine;
mod passed_turns;
mod reference;
mod streams;
mod strikes;
mod world;

pub use world::World;
