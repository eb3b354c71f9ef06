use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::PrefixCache;
use super::PrefixPart;

/// the time model of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchOptions {
    /// uncached prompt tokens processed a second.
    pub prefill_tokens_per_s: u64,
    /// time of one step without any request.
    pub step_us: u64,
    /// time that each generating request adds to a step.
    pub step_per_running_us: u64,
    /// most prompt tokens processed in one step.
    pub chunk_tokens: u64,
    /// most requests that run at once; others wait inside, first come first served.
    pub max_running: usize,
    /// tokens that the prefix cache holds.
    pub cache_tokens: u64,
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 50_000,
            step_us: 5_000,
            step_per_running_us: 100,
            chunk_tokens: 2_048,
            max_running: 32,
            cache_tokens: 400_000,
        }
    }
}

/// one request for the batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchWork {
    /// names the request in the progress.
    pub id: u64,
    /// program that the cache is tagged with.
    pub program: String,
    /// the prompt, one part a message.
    pub prompt: Vec<PrefixPart>,
    /// the prefix that the answer makes of the prompt, held once the answer is whole.
    pub answer: Option<PrefixPart>,
    /// tokens to generate.
    pub completion_tokens: u64,
}

/// what happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchProgress {
    /// it left the inside queue.
    Started {
        /// the request.
        id: u64,
        /// prompt tokens found in the cache.
        cached_tokens: u64,
    },
    /// it generated a token.
    Token {
        /// the request.
        id: u64,
    },
    /// it generated its last token.
    Finished {
        /// the request.
        id: u64,
    },
}

#[derive(Clone, Debug)]
struct Running {
    work: BatchWork,
    prefill_left_tokens: u64,
    chunk_tokens: u64,
    generated_tokens: u64,
}

/// continuous batching in steps, with chunked prefill; the time is an argument.
#[derive(Clone, Debug)]
pub struct BatchModel {
    options: BatchOptions,
    slowdown: f64,
    cache: PrefixCache,
    waiting: VecDeque<BatchWork>,
    running: BTreeMap<u64, Running>,
    step_ends_at_us: Option<u64>,
    prefilled_tokens: u64,
}

impl BatchModel {
    /// builds an idle engine.
    pub fn new(options: BatchOptions) -> Self {
        Self {
            options,
            slowdown: 1.0,
            cache: PrefixCache::new(options.cache_tokens),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            step_ends_at_us: None,
            prefilled_tokens: 0,
        }
    }

    /// makes every later step so many times longer.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(0.01);
    }

    /// requests that prefill or generate.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// requests in the inside queue.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// prompt tokens processed so far, cached ones excluded.
    pub fn prefilled_tokens(&self) -> u64 {
        self.prefilled_tokens
    }

    /// the prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// the prefix cache, to release from it or import into it.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// when `advance` has something to do next.
    pub fn next_at_us(&self) -> Option<u64> {
        self.step_ends_at_us
    }

    /// puts a request at the end of the inside queue; an idle engine starts it at once.
    pub fn submit(&mut self, now_us: u64, work: BatchWork) -> Vec<BatchProgress> {
        self.waiting.push_back(work);
        let mut progress = Vec::new();
        if self.step_ends_at_us.is_none() {
            self.start_step(now_us, &mut progress);
        }
        progress
    }

    /// removes a request, and returns the tokens that it generated; `None` when it is not here.
    pub fn cancel(&mut self, id: u64) -> Option<u64> {
        if let Some(index) = self.waiting.iter().position(|work| work.id == id) {
            self.waiting.remove(index);
            return Some(0);
        }
        self.running.remove(&id).map(|running| running.generated_tokens)
    }

    /// ends all steps that end by `now_us`.
    pub fn advance(&mut self, now_us: u64) -> Vec<BatchProgress> {
        let mut progress = Vec::new();
        while let Some(ends_at_us) = self.step_ends_at_us.filter(|ends_at_us| *ends_at_us <= now_us) {
            self.end_step(&mut progress);
            self.start_step(ends_at_us, &mut progress);
        }
        progress
    }

    fn start_step(&mut self, now_us: u64, progress: &mut Vec<BatchProgress>) {
        self.admit(progress);
        if self.running.is_empty() {
            self.step_ends_at_us = None;
            return;
        }
        let mut chunk_left_tokens = self.options.chunk_tokens;
        let mut generating = 0;
        for running in self.running.values_mut() {
            running.chunk_tokens = running.prefill_left_tokens.min(chunk_left_tokens);
            chunk_left_tokens -= running.chunk_tokens;
            generating += u64::from(running.prefill_left_tokens == 0);
        }
        let prefill_tokens = self.options.chunk_tokens - chunk_left_tokens;
        let prefill_us = prefill_tokens * 1_000_000 / self.options.prefill_tokens_per_s.max(1);
        let step_us = self.options.step_us + generating * self.options.step_per_running_us + prefill_us;
        let slowed_us = (step_us as f64 * self.slowdown) as u64;
        self.step_ends_at_us = Some(now_us + slowed_us.max(1));
    }

    fn admit(&mut self, progress: &mut Vec<BatchProgress>) {
        while self.running.len() < self.options.max_running {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            let cached_tokens = self.cache.touch_held(&work.prompt, &work.program);
            let prompt_tokens: u64 = work.prompt.iter().map(|part| part.tokens).sum();
            progress.push(BatchProgress::Started { id: work.id, cached_tokens });
            let running = Running {
                prefill_left_tokens: prompt_tokens - cached_tokens,
                chunk_tokens: 0,
                generated_tokens: 0,
                work,
            };
            self.running.insert(running.work.id, running);
        }
    }

    fn end_step(&mut self, progress: &mut Vec<BatchProgress>) {
        let mut finished = Vec::new();
        for (id, running) in &mut self.running {
            if running.prefill_left_tokens > 0 {
                running.prefill_left_tokens -= running.chunk_tokens;
                self.prefilled_tokens += running.chunk_tokens;
                if running.prefill_left_tokens > 0 {
                    continue;
                }
                self.cache.insert(&running.work.prompt, &running.work.program);
            }
            if running.generated_tokens < running.work.completion_tokens {
                running.generated_tokens += 1;
                progress.push(BatchProgress::Token { id: *id });
            }
            if running.generated_tokens >= running.work.completion_tokens {
                finished.push(*id);
            }
        }
        for id in finished {
            self.finish(id, progress);
        }
    }

    fn finish(&mut self, id: u64, progress: &mut Vec<BatchProgress>) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let mut parts = running.work.prompt;
        parts.extend(running.work.answer);
        self.cache.insert(&parts, &running.work.program);
        progress.push(BatchProgress::Finished { id });
    }
}
