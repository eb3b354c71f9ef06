use bytes::Bytes;
use hyper::Method;
use hyper::Uri;

/// what a replica is asked to do, whoever asks and under whatever id: the same content does the same to it.
#[derive(Clone, Debug)]
pub(super) struct Content {
    method: Method,
    host: Option<String>,
    /// path and query.
    target: Uri,
    /// what goes to the replica, for a kept turn all that was said before as well.
    body: Bytes,
    /// who asks, if there is no body: a path alone says too little.
    caller: Option<String>,
}

impl Content {
    /// the content of a request whose body goes to the replica as it is here.
    pub fn new(
        method: &Method,
        host: Option<&str>,
        target: &Uri,
        body: &Bytes,
        caller: Option<&str>,
    ) -> Self {
        Self {
            method: method.clone(),
            host: host.map(str::to_owned),
            target: target.clone(),
            body: body.clone(),
            caller: caller.filter(|_| body.is_empty()).map(str::to_owned),
        }
    }

    /// names the content in logs, in the ledger and at other doors.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        let target = self.target.to_string();
        let parts = [self.method.as_str(), self.host.as_deref().unwrap_or_default(), &target];
        for part in parts.into_iter().chain(self.caller.as_deref()) {
            // The length keeps parts apart that could run into each other.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&self.body);
        hasher.finalize().to_hex().as_str()[..32].to_owned()
    }
}
