/// a replica, whose processes have the same address.
#[derive(Debug)]
pub struct Replica {
    pub id: String,
    pub started: u64,
    /// what the list says of it; `None` while it has no entry.
    pub listed: Option<(String, u64)>,
    pub process_since_ms: u64,
    pub back_at_ms: Option<u64>,
    /// when it ends under a run that its caller has given up.
    pub ends_at_ms: Option<u64>,
    pub unlisted_at_ms: Option<u64>,
    pub listed_at_ms: Option<u64>,
}

impl Replica {
    pub fn new(id: String) -> Self {
        Self {
            listed: Some((id.clone(), 1)),
            id,
            started: 1,
            process_since_ms: 0,
            back_at_ms: None,
            ends_at_ms: None,
            unlisted_at_ms: None,
            listed_at_ms: None,
        }
    }
}
