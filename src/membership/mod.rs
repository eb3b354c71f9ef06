//! membership in the manner of SWIM: probes, suspicions, refutations, gossip and anti-entropy.
//!
//! Does no I/O: the time and each input are arguments, the results are actions.

mod anti_entropy;
mod byte_budget;
mod detection;
mod gossip;
mod gossip_queue;
mod local_health;
#[expect(clippy::module_inception, reason = "the main type of the folder has the folder's name")]
mod membership;
mod membership_io;
mod outbox;
mod own_state;
mod peer_table;
mod prober;
mod suspicions;
mod sync;
mod wire;

pub use membership::Membership;
pub use membership_io::MembershipAction;
pub use membership_io::MembershipInput;
pub use wire::DATAGRAM_TAG_BYTES;
pub use wire::MAX_DATAGRAM_BYTES;
pub use wire::decode_datagram;
pub use wire::encode_datagram;
pub use wire::wire_bytes;
