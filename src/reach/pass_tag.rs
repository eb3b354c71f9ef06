use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::mesh::MeshKey;

/// header of a request that one door passes on to another one.
pub const PASS_HEADER: &str = "x-flamingostand-pass";

/// header of the answer to such a request that another door may still serve; its value is the reason.
pub const NOT_TAKEN_HEADER: &str = "x-flamingostand-not-taken";

/// header of the answer to a turn that was passed on: the id of the replica that runs it, for the ledger.
pub const RUN_AT_HEADER: &str = "x-flamingostand-run-at";

/// last word of the pass header: the sender ends the reservations of the turns that it passes on.
///
/// Builds that leave this to the receiver do not send the word, and ignore it.
const ENDS_TURNS: &str = "ends-turns";

/// a request as it is passed on; the proof covers all of it.
#[derive(Clone, Copy, Debug)]
pub struct PassedRequest<'a> {
    /// process start of the door that takes it, so that no other process can be given a copy.
    pub receiver: &'a str,
    /// method.
    pub method: &'a Method,
    /// path and query.
    pub target: &'a Uri,
    /// headers; the pass header and those that only frame the body are not covered.
    pub headers: &'a HeaderMap,
    /// whole body.
    pub body: &'a [u8],
}

/// the value of the pass header: which door passes the request on, and the proof of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassTag {
    /// process start of the door that passes it on.
    pub sender: String,
    /// number of the request among those that the sender passes on, from 1.
    pub number: u64,
    /// whether the sender ends the reservation of a turn that it passes on. Not covered by the proof: it names
    /// what the sender's build does, not what the request asks for.
    pub sender_ends_turns: bool,
    // Hashes compare in constant time.
    proof: blake3::Hash,
}

impl PassTag {
    /// the header for a request.
    pub fn new(key: &MeshKey, cluster: &str, sender: &str, number: u64, request: &PassedRequest<'_>) -> Self {
        let proof = key.request_proof(cluster, &transcript(sender, number, request));
        Self { sender: sender.to_owned(), number, sender_ends_turns: true, proof }
    }

    /// parses the header of a request; `None` if there is none, or it is damaged.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let mut parts = headers.get(PASS_HEADER)?.to_str().ok()?.split(' ');
        let (sender, number) = (parts.next()?.to_owned(), parts.next()?.parse().ok()?);
        let proof = blake3::Hash::from_hex(parts.next()?).ok()?;
        let sender_ends_turns = parts.next() == Some(ENDS_TURNS);
        Some(Self { sender, number, sender_ends_turns, proof })
    }

    /// the value of the header.
    pub fn to_value(&self) -> String {
        format!("{} {} {} {ENDS_TURNS}", self.sender, self.number, self.proof.to_hex())
    }

    /// whether a door with the key has passed on this very request.
    pub fn is_valid(&self, key: &MeshKey, cluster: &str, request: &PassedRequest<'_>) -> bool {
        Self::new(key, cluster, &self.sender, self.number, request).proof == self.proof
    }
}

/// the bytes that the proof covers, unambiguous as each part has its length in front.
fn transcript(sender: &str, number: u64, request: &PassedRequest<'_>) -> Vec<u8> {
    let mut bytes = b"pass 1".to_vec();
    let mut add = |part: &[u8]| {
        bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
        bytes.extend_from_slice(part);
    };
    add(sender.as_bytes());
    add(&number.to_be_bytes());
    add(request.receiver.as_bytes());
    add(request.method.as_str().as_bytes());
    add(request.target.path_and_query().map_or("", |target| target.as_str()).as_bytes());
    let mut headers: Vec<(&str, &[u8])> =
        request.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
    headers.retain(|(name, _)| !["content-length", "transfer-encoding", PASS_HEADER].contains(name));
    headers.sort_unstable();
    for (name, value) in headers {
        add(name.as_bytes());
        add(value);
    }
    add(request.body);
    bytes
}
