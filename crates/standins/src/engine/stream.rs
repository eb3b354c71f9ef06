use async_channel::Receiver;
use async_channel::Sender;
use serde_json::json;

use super::answer::token_text;

/// one request's answer, kept so that it can be resumed.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: u64,
    pub(super) model: String,
    pub(super) prefix: u64,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    pub(super) completion_tokens: u64,
    pub(super) finish_reason: Option<&'static str>,
    pub(super) planned_finish: &'static str,
    pub(super) crashes: bool,
    pub(super) reader_count: usize,
    waiting: Vec<Sender<()>>,
}

impl Stream {
    pub(super) fn new(id: u64, model: String) -> Self {
        Self {
            id,
            model,
            prefix: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            completion_tokens: 0,
            finish_reason: None,
            planned_finish: "stop",
            crashes: false,
            reader_count: 0,
            waiting: Vec::new(),
        }
    }

    pub(super) fn wait(&mut self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.push(sender);
        receiver
    }

    pub(super) fn wake(&mut self) {
        for waiting in self.waiting.drain(..) {
            let _ = waiting.try_send(());
        }
    }

    /// the event of token `index`.
    pub(super) fn token_event(&self, request: &str, index: u64) -> String {
        let mut text = String::new();
        token_text(self.prefix, index, &mut text);
        let chunk = json!({
            "id": request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
        });
        format!("data: {chunk}\n\n")
    }

    /// the closing events of a whole answer.
    pub(super) fn final_events(&self, request: &str, finish_reason: &str) -> String {
        let chunk = json!({
            "id": request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_reason }],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.completion_tokens,
                "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
            },
        });
        format!("data: {chunk}\n\ndata: [DONE]\n\n")
    }
}
