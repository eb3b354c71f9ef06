/// a service whose replicas run requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// name in the operators' configuration.
    pub name: String,
    /// connections that one replica accepts, summed over all doors.
    pub max_connections: u32,
    /// path of the health check of its replicas; `None` if they have none.
    pub health_path: Option<String>,
    /// capacity of its model engines; `None` for services that run no model.
    pub engine: Option<EngineSpec>,
}

/// capacity of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// requests in one batch.
    pub slots: u32,
    /// tokens in one event of a stream.
    pub tokens_per_event: u64,
    /// capacity of one replica's cache for prompts and generated tokens, in tokens.
    pub cache_tokens: u64,
}
