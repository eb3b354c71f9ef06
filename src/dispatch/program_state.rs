use crate::dispatch::PrefixChain;
use crate::dispatch::ReplicaKey;

/// a router's state of one program.
#[derive(Debug, Default)]
pub struct ProgramState {
    /// prefix digests of its prompt.
    pub chain: PrefixChain,
    /// when it last had a turn routed or completed.
    pub seen_ms: u64,
    /// whether its prefixes were counted in the cache index.
    pub counted: bool,
    /// workspace that its cost is charged to.
    pub workspace: String,
    /// where its last turn completed.
    pub placement: Option<Placement>,
}

/// the replica that completed a program's last turn.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// replica.
    pub replica: ReplicaKey,
    /// prompt tokens of that turn, which count as resident there.
    pub tokens: u64,
}
