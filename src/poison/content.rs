use std::sync::OnceLock;

use bytes::Bytes;
use hyper::Method;
use hyper::Uri;

/// beginning of the digests that stand for all bodies sent to a path.
const PATH_PREFIX: &str = "path:";
/// hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 32;

/// the part of a request that determines its effect on a replica, independent of caller and request id.
#[derive(Clone, Debug)]
pub struct Content {
    method: Method,
    host: Option<String>,
    /// path and query.
    target: Uri,
    /// the body as sent to the replica; for a retained turn it includes the history.
    body: Bytes,
    /// the body as the caller sent it, if the replica gets another one.
    input: Option<Bytes>,
    /// program or affinity key of the caller, only if there is no body: a path alone identifies too little.
    caller: Option<String>,
    digests: OnceLock<ContentDigests>,
}

/// what a request is recognised by when it comes again. Which part of it ends replicas cannot be told from one end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentDigests {
    /// what the replica gets.
    pub exact: String,
    /// what all requests have that share a part of the content: the same input after another conversation, or the same
    /// path with another body.
    pub shared: Vec<String>,
}

impl ContentDigests {
    /// all digests, the exact one first.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        std::iter::once(self.exact.as_str()).chain(self.shared.iter().map(String::as_str))
    }
}

/// whether a digest stands for all bodies sent to a path.
pub(super) fn is_path(digest: &str) -> bool {
    digest.starts_with(PATH_PREFIX)
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
            input: None,
            caller: caller.filter(|_| body.is_empty()).map(str::to_owned),
            digests: OnceLock::new(),
        }
    }

    /// the same content, of a request whose caller sent `input` as the body.
    pub fn with_input(self, input: &Bytes) -> Self {
        let input = Some(input.clone()).filter(|input| *input != self.body);
        Self { input, digests: OnceLock::new(), ..self }
    }

    /// whether the content stands for one request rather than for all requests with its path.
    pub fn is_specific(&self) -> bool {
        !self.body.is_empty() || self.caller.is_some()
    }

    /// identifies the content in logs, in the ledger and at other doors: 32 hexadecimal digits.
    pub fn digest(&self) -> String {
        self.digests().exact.clone()
    }

    /// what the request is recognised by, computed when it is first needed.
    pub fn digests(&self) -> &ContentDigests {
        self.digests.get_or_init(|| {
            let input = self.input.as_ref().map(|input| self.hash(self.caller.as_deref(), input));
            // Without a body and a caller, the exact digest is that of the path already.
            let path = self.is_specific().then(|| format!("{PATH_PREFIX}{}", self.hash(None, &[])));
            ContentDigests {
                exact: self.hash(self.caller.as_deref(), &self.body),
                shared: input.into_iter().chain(path).collect(),
            }
        })
    }

    fn hash(&self, caller: Option<&str>, body: &[u8]) -> String {
        let mut hasher = blake3::Hasher::new();
        let target = self.target.to_string();
        let parts = [self.method.as_str(), self.host.as_deref().unwrap_or_default(), &target];
        for part in parts.into_iter().chain(caller) {
            // The length prefix keeps different parts from hashing alike when concatenated.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        hasher.finalize().to_hex().as_str()[..DIGEST_DIGITS].to_owned()
    }
}
