//! a small engine model: continuous batching, chunked prompt reading and a prefix cache.

use std::collections::VecDeque;
use std::sync::Arc;

use flamingostand::dispatch::Boundary;

use crate::prefix_cache::PrefixCache;
use crate::workload::EngineModel;

/// one request as it is sent to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// names the request.
    pub ticket: u64,
    /// boundaries of the prompt.
    pub chain: Arc<Vec<Boundary>>,
    /// what the prompt and the answer are called together.
    pub answer: Boundary,
}

/// a request inside the batch.
#[derive(Debug)]
struct Sequence {
    request: EngineRequest,
    cached_count: usize,
    cached_tokens: u64,
    unread_tokens: u64,
    private_tokens: u64,
    generated_tokens: u64,
}

/// what a step produced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// one token.
    Token {
        /// the request.
        ticket: u64,
    },
    /// the end of an answer.
    Done {
        /// the request.
        ticket: u64,
        /// prompt tokens found in the cache.
        cached_tokens: u64,
    },
}

/// one replica of a model.
#[derive(Debug)]
pub struct Engine {
    model: EngineModel,
    cache: PrefixCache,
    batch: Vec<Sequence>,
    waiting: VecDeque<EngineRequest>,
    reading: Vec<(usize, u64)>,
    /// time factor of each step; one is healthy.
    pub slowness: f64,
    /// whether it runs at all.
    pub dead: bool,
    /// whether a step is under way.
    pub stepping: bool,
    /// counts the starts of the process.
    pub start_number: u64,
}

impl Engine {
    /// an idle engine with an empty cache.
    pub fn new(model: EngineModel) -> Self {
        Self {
            cache: PrefixCache::new(model.cache_tokens),
            model,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            reading: Vec::new(),
            slowness: 1.0,
            dead: false,
            stepping: false,
            start_number: 0,
        }
    }

    /// requests in the batch and requests that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.batch.len() as u32, self.waiting.len() as u32)
    }

    /// the cache, for its events.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// adds a request.
    pub fn push(&mut self, request: EngineRequest) {
        self.waiting.push_back(request);
    }

    /// starts a step and says how long it takes; nothing when idle.
    pub fn begin_step(&mut self) -> Option<f64> {
        self.admit();
        if self.batch.is_empty() {
            return None;
        }
        self.stepping = true;
        self.reading.clear();
        let mut left_tokens = self.model.chunk_tokens;
        let mut read_tokens = 0;
        let mut generating = 0;
        for (index, sequence) in self.batch.iter().enumerate() {
            if sequence.unread_tokens == 0 {
                generating += 1;
                continue;
            }
            let chunk = sequence.unread_tokens.min(left_tokens);
            if chunk == 0 {
                continue;
            }
            left_tokens -= chunk;
            read_tokens += chunk;
            self.reading.push((index, chunk));
        }
        let read_ms = read_tokens as f64 * self.model.uncached_token_ms;
        let generate_ms = f64::from(generating) * self.model.sequence_ms;
        Some((self.model.step_ms + read_ms + generate_ms) * self.slowness)
    }

    /// ends the step that is under way.
    pub fn end_step(&mut self, events: &mut Vec<EngineEvent>) {
        self.stepping = false;
        for sequence in self.batch.iter_mut().filter(|sequence| sequence.unread_tokens == 0) {
            sequence.generated_tokens += 1;
            events.push(EngineEvent::Token { ticket: sequence.request.ticket });
        }
        let reading = std::mem::take(&mut self.reading);
        for (index, chunk) in &reading {
            let sequence = &mut self.batch[*index];
            sequence.unread_tokens -= chunk;
            if sequence.unread_tokens > 0 {
                continue;
            }
            sequence.generated_tokens = 1;
            events.push(EngineEvent::Token { ticket: sequence.request.ticket });
            hold_prompt(&mut self.cache, sequence);
        }
        self.reading = reading;
        self.finish(events);
    }

    /// stops the process: everything inside is lost, the cache too.
    pub fn die(&mut self) -> Vec<u64> {
        let inside = self.batch.drain(..).map(|sequence| sequence.request.ticket);
        let mut lost: Vec<u64> = inside.collect();
        lost.extend(self.waiting.drain(..).map(|request| request.ticket));
        self.cache.clear();
        self.dead = true;
        self.stepping = false;
        self.start_number += 1;
        lost
    }

    fn admit(&mut self) {
        while self.batch.len() < self.model.max_batch {
            let Some(request) = self.waiting.front() else { break };
            let (cached_count, mut cached_tokens) = self.cache.find(&request.chain);
            self.cache.pin(&request.chain[..cached_count]);
            let prompt_tokens = request.chain.last().map_or(0, |boundary| boundary.tokens);
            let completion_tokens = request.answer.tokens - prompt_tokens;
            let private_tokens = prompt_tokens - cached_tokens + completion_tokens;
            if !self.cache.take_private(private_tokens) {
                self.cache.unpin(&request.chain[..cached_count]);
                break;
            }
            let Some(request) = self.waiting.pop_front() else { break };
            cached_tokens = cached_tokens.min(prompt_tokens.saturating_sub(1));
            self.batch.push(Sequence {
                request,
                cached_count,
                cached_tokens,
                unread_tokens: prompt_tokens - cached_tokens,
                private_tokens,
                generated_tokens: 0,
            });
        }
    }

    fn finish(&mut self, events: &mut Vec<EngineEvent>) {
        let mut index = 0;
        while index < self.batch.len() {
            let sequence = &self.batch[index];
            let prompt = sequence.request.chain.last().copied().unwrap_or_default();
            let wanted_tokens = sequence.request.answer.tokens - prompt.tokens;
            if sequence.generated_tokens < wanted_tokens {
                index += 1;
                continue;
            }
            let sequence = self.batch.remove(index);
            self.cache.free_private(sequence.private_tokens);
            self.cache.insert(Some(prompt), sequence.request.answer);
            self.cache.unpin(&sequence.request.chain);
            events.push(EngineEvent::Done {
                ticket: sequence.request.ticket,
                cached_tokens: sequence.cached_tokens,
            });
        }
    }
}

/// turns the prompt's private memory into held prefixes.
fn hold_prompt(cache: &mut PrefixCache, sequence: &mut Sequence) {
    let chain = Arc::clone(&sequence.request.chain);
    let mut parent = sequence.cached_count.checked_sub(1).map(|index| chain[index]);
    let cached_tokens = parent.map_or(0, |boundary| boundary.tokens);
    let prompt_tokens = chain.last().map_or(0, |boundary| boundary.tokens);
    cache.free_private(prompt_tokens - cached_tokens);
    sequence.private_tokens -= prompt_tokens - cached_tokens;
    for boundary in &chain[sequence.cached_count..] {
        cache.insert(parent, *boundary);
        cache.pin(std::slice::from_ref(boundary));
        parent = Some(*boundary);
    }
}
