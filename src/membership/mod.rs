//! probing between instances: owns the view of members, suspicions and refutations.
//!
//! Pure decision code: the time and each input are arguments, the results are actions.

mod membership_io;
mod wire;

pub use membership_io::MembershipAction;
pub use membership_io::MembershipInput;
