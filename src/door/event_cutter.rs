use bytes::Bytes;
use bytes::BytesMut;

/// largest event; a longer one is no event of an engine.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// cuts a stream of server-sent events into whole events, so that no part of one is handed on.
#[derive(Debug, Default)]
pub struct EventCutter {
    pending: BytesMut,
    /// bytes of `pending` that hold no end of an event.
    searched: usize,
}

/// one whole event with its blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutEvent {
    /// the bytes as they came.
    pub bytes: Bytes,
}

impl EventCutter {
    /// adds bytes as they arrive; `false` if an event grows beyond all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        self.pending.len() <= MAX_EVENT_BYTES
    }

    /// takes the next whole event.
    pub fn cut(&mut self) -> Option<CutEvent> {
        let start = self.searched.saturating_sub(3);
        let window = &self.pending[start..];
        let found = find(window, b"\n\n").map(|at| at + 2);
        let found_crlf = find(window, b"\r\n\r\n").map(|at| at + 4);
        let end = match (found, found_crlf) {
            (Some(left), Some(right)) => left.min(right),
            (Some(end), None) | (None, Some(end)) => end,
            (None, None) => {
                self.searched = self.pending.len();
                return None;
            }
        };
        self.searched = 0;
        Some(CutEvent { bytes: self.pending.split_to(start + end).freeze() })
    }

    /// whether all bytes belonged to whole events.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl CutEvent {
    /// the value of the event's `id` field.
    pub fn id(&self) -> Option<&str> {
        self.field("id").next()
    }

    /// the data of the event, its lines joined by line feeds; `None` for an event without data.
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

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
