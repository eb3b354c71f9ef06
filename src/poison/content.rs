use bytes::Bytes;
use hyper::Method;
use hyper::Uri;

/// the part of a request that determines its effect on a replica, independent of caller and request id.
#[derive(Clone, Debug)]
pub struct Content {
    method: Method,
    host: Option<String>,
    /// path and query.
    target: Uri,
    /// the body as sent to the replica; for a retained turn it includes the history.
    body: Bytes,
    /// program or affinity key of the caller, only if there is no body: a path alone identifies too little.
    caller: Option<String>,
}

impl Content {
    /// the content of a request with the body that is sent to the replica.
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

    /// whether the content stands for one request rather than for all requests with its path.
    pub fn is_specific(&self) -> bool {
        !self.body.is_empty() || self.caller.is_some()
    }

    /// identifies the content in logs, in the ledger and at other doors: 32 hexadecimal digits.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        let target = self.target.to_string();
        let parts = [self.method.as_str(), self.host.as_deref().unwrap_or_default(), &target];
        for part in parts.into_iter().chain(self.caller.as_deref()) {
            // The length prefix keeps different parts from hashing alike when concatenated.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&self.body);
        hasher.finalize().to_hex().as_str()[..32].to_owned()
    }
}
