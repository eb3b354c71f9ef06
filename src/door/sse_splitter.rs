use bytes::Bytes;
use bytes::BytesMut;

/// size limit of one event; no engine sends larger ones.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// splits a byte stream of server-sent events (SSE) into complete events, so that no partial event is
/// relayed.
#[derive(Debug, Default)]
pub struct SseSplitter {
    pending: BytesMut,
    /// length of the prefix of `pending` already searched for the end of an event.
    scanned: usize,
}

/// one complete event with its terminating blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// the bytes as received.
    pub bytes: Bytes,
}

impl SseSplitter {
    /// appends received bytes; `false` if the buffered bytes exceed the size limit of an event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        self.pending.len() <= MAX_EVENT_BYTES
    }

    /// removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let start = self.scanned.saturating_sub(3);
        let window = &self.pending[start..];
        let lf_end = find(window, b"\n\n").map(|at| at + 2);
        let crlf_end = find(window, b"\r\n\r\n").map(|at| at + 4);
        let end = match (lf_end, crlf_end) {
            (Some(left), Some(right)) => left.min(right),
            (Some(end), None) | (None, Some(end)) => end,
            (None, None) => {
                self.scanned = self.pending.len();
                return None;
            }
        };
        self.scanned = 0;
        Some(SseEvent { bytes: self.pending.split_to(start + end).freeze() })
    }

    /// bytes of events that have not been taken out.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// whether no bytes of an incomplete event are left.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl SseEvent {
    /// the value of the event's `id` field.
    pub fn id(&self) -> Option<&str> {
        self.field("id").next()
    }

    /// the event's `data` lines, joined by line feeds; `None` if there are none.
    pub fn data(&self) -> Option<String> {
        let lines: Vec<&str> = self.field("data").collect();
        (!lines.is_empty()).then(|| lines.join("\n"))
    }

    fn field<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let text = std::str::from_utf8(&self.bytes).unwrap_or_default();
        text.lines().filter_map(move |line| {
            let value = line.strip_prefix(name)?.strip_prefix(':')?;
            Some(value.strip_prefix(' ').unwrap_or(value))
        })
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
