/// a service whose replicas run requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// name.
    pub name: String,
    /// connections that one replica accepts from all doors together.
    pub max_connections: u32,
    /// what its engines hold; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// a model engine behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// requests that one batch holds.
    pub slots: u32,
    /// tokens that one event of a stream stands for.
    pub tokens_per_event: u64,
    /// memory of one replica for prompts and generated tokens.
    pub cache_tokens: u64,
}
