use crate::ClientError;
use crate::Exchange;

/// one server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// name of the event, empty when none was sent.
    pub event: String,
    /// payload, its lines joined by newlines.
    pub data: String,
}

/// reads the server-sent events of a response.
#[derive(Debug)]
pub struct SseReader {
    exchange: Exchange,
}

impl SseReader {
    /// reads events from the body of `exchange`.
    pub fn new(exchange: Exchange) -> Self {
        Self { exchange }
    }

    /// returns the next event; `None` after a body that ended properly.
    pub async fn next(&mut self) -> Result<Option<SseEvent>, ClientError> {
        let mut event = SseEvent::default();
        let mut seen = false;
        loop {
            let Some(line) = self.exchange.next_line().await? else {
                return Ok(None);
            };
            if line.is_empty() {
                if seen {
                    return Ok(Some(event));
                }
                continue;
            }
            if let Some(name) = line.strip_prefix("event:") {
                event.event = name.trim().to_owned();
                seen = true;
                continue;
            }
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            if seen && !event.data.is_empty() {
                event.data.push('\n');
            }
            event.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            seen = true;
        }
    }
}
