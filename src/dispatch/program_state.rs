use crate::dispatch::PrefixChain;
use crate::dispatch::ReplicaKey;

/// what a router knows of one program.
#[derive(Debug, Default)]
pub struct ProgramState {
    /// digests of its prompt.
    pub chain: PrefixChain,
    /// when it was last heard of.
    pub seen_ms: u64,
    /// whether its prefixes were counted.
    pub counted: bool,
    /// workspace that pays.
    pub workspace: String,
    /// where it ran last.
    pub home: Option<Home>,
}

/// where a program ran last.
#[derive(Clone, Copy, Debug)]
pub struct Home {
    /// replica.
    pub replica: ReplicaKey,
    /// tokens of its prompt then.
    pub tokens: u64,
}
