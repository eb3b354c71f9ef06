use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use flamingo_edge::Connection;
use flamingo_edge::streamed;
use futures_lite::future;
use http_types::Response;
use serde::Serialize;

use crate::entry::answers::event_response;
use crate::instance::Ask;
use crate::instance::AskEvent;
use crate::instance::Shared;
use crate::schema::OwnerEvent;
use crate::schema::Token;

/// pieces that wait for a slow reader before the stream holds back.
const WAITING_PIECES: usize = 256;

/// time between two keep-alive comments of a silent stream.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// streams the answer of a turn as server-sent events; a refusal before the first piece stays a plain response.
pub(crate) async fn stream_turn(shared: &Arc<Shared>, mut ask: Ask, connection: Connection) -> Response {
    let first = match ask.next().await {
        AskEvent::Last(event) if matches!(*event, OwnerEvent::Problem(_)) => return event_response(&event),
        first => first,
    };
    let (sender, pieces) = async_channel::bounded(WAITING_PIECES);
    let guard = InFlight::new(shared);
    shared.spawner.detach(async move {
        let _guard = guard;
        let pump = pump(first, ask, &sender);
        // Dropping the question cancels the turn when nobody else waits for it.
        future::or(pump, connection.closed()).await;
    });
    streamed(pieces)
}

async fn pump(first: AskEvent, mut ask: Ask, sender: &Sender<io::Result<Vec<u8>>>) {
    let mut event = first;
    loop {
        let last = matches!(event, AskEvent::Last(_));
        if sender.send(Ok(encode(&event))).await.is_err() || last {
            return;
        }
        event = loop {
            let silent = async {
                Timer::after(KEEP_ALIVE).await;
                None
            };
            match future::or(async { Some(ask.next().await) }, silent).await {
                Some(next) => break next,
                None => {
                    if sender.send(Ok(b": keep-alive\n\n".to_vec())).await.is_err() {
                        return;
                    }
                }
            }
        };
    }
}

fn encode(event: &AskEvent) -> Vec<u8> {
    match event {
        AskEvent::Token(text) => piece("token", &Token { text: text.clone() }),
        AskEvent::Restarted => piece("restarted", &serde_json::json!({})),
        AskEvent::Last(event) => match event.as_ref() {
            OwnerEvent::Turned(answer) => piece("answer", answer),
            OwnerEvent::Problem(problem) => piece("problem", problem),
            other => piece("answer", other),
        },
    }
}

fn piece<T: Serialize>(name: &str, value: &T) -> Vec<u8> {
    let data = serde_json::to_string(value).unwrap_or_default();
    format!("event: {name}\ndata: {data}\n\n").into_bytes()
}

/// counts one request of a caller as under way while it lives.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        Self { shared: Arc::clone(shared) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, std::sync::atomic::Ordering::AcqRel);
    }
}
