/// an answer of a replica process to any request.
#[derive(Clone, Copy, Debug)]
pub struct LifeSign<'a> {
    /// replica id.
    pub replica: &'a str,
    /// start of the replica process in Unix milliseconds, as it was listed.
    pub started_unix_ms: u64,
    /// when the connection that carried the answer was opened.
    pub connected_ms: u64,
}

impl LifeSign<'_> {
    /// whether the answer comes from the process that began a run at `begun_ms`: a connection does not outlive
    /// its process, and a later process may have the same id.
    pub(super) fn is_same_process(&self, begun_ms: u64) -> bool {
        self.connected_ms <= begun_ms
    }
}
