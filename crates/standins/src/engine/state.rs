use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::BatchModel;
use super::BatchProgress;
use super::BatchWork;
use super::EngineFaults;
use super::EngineOptions;
use super::Message;
use super::PrefixPart;
use super::answer::answer_text;
use super::answer::answer_tokens;
use super::answer::finish_reason;
use super::cache_events::CacheEvents;
use super::orders::Orders;
use super::prefix_parts;
use super::stream::Stream;

/// finished streams kept so that their end can be resumed.
const MAX_FINISHED_STREAMS: usize = 1_024;
/// exports kept until they are imported.
const MAX_EXPORTS: usize = 256;
/// load readings kept to answer late.
const MAX_LOAD_READINGS: usize = 4_096;

/// what an engine has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineCounts {
    /// requests accepted.
    pub accepted: u64,
    /// answers generated whole.
    pub finished: u64,
    /// requests cancelled, by order or because nobody read on.
    pub cancelled: u64,
    /// requests refused before they ran.
    pub refused: u64,
    /// streams resumed.
    pub resumed: u64,
    /// generated tokens.
    pub completion_tokens: u64,
    /// prompt tokens processed, cached ones excluded.
    pub prefilled_tokens: u64,
    /// prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// orders obeyed.
    pub orders: u64,
    /// orders refused for their fencing number.
    pub orders_refused: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LoadReading {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) held_tokens: u64,
}

#[derive(Deserialize)]
pub(super) struct GenerateBody {
    pub(super) model: String,
    pub(super) messages: Vec<Message>,
    #[serde(default = "unlimited")]
    pub(super) max_tokens: u64,
}

fn unlimited() -> u64 {
    u64::MAX
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) batch: BatchModel,
    pub(super) faults: EngineFaults,
    pub(super) counts: EngineCounts,
    pub(super) events: CacheEvents,
    pub(super) orders: Orders,
    pub(super) leaving: bool,
    pub(super) dead: bool,
    pub(super) streams: HashMap<String, Stream>,
    pub(super) exports: VecDeque<(String, Vec<PrefixPart>)>,
    pub(super) crashed: bool,
    requests: HashMap<u64, String>,
    finished: VecDeque<String>,
    readings: VecDeque<(u64, LoadReading)>,
    next_id: u64,
}

impl State {
    pub(super) fn new(options: &EngineOptions) -> Self {
        Self {
            batch: BatchModel::new(options.batch),
            faults: EngineFaults::default(),
            counts: EngineCounts::default(),
            events: CacheEvents::new(options.event_lag_ms * 1_000),
            orders: Orders::new(options.checks_fencing, options.models.clone()),
            leaving: false,
            dead: false,
            streams: HashMap::new(),
            exports: VecDeque::new(),
            crashed: false,
            requests: HashMap::new(),
            finished: VecDeque::new(),
            readings: VecDeque::new(),
            next_id: 0,
        }
    }

    /// accepts a request whose identifier is new.
    pub(super) fn submit(
        &mut self,
        now_us: u64,
        request: &str,
        program: &str,
        body: GenerateBody,
        crashes: bool,
    ) {
        self.next_id += 1;
        let id = self.next_id;
        let prompt = prefix_parts(&body.messages);
        let prefix = prompt.last().map_or(0, |part| part.prefix);
        let wanted_tokens = answer_tokens(prefix, &body.messages);
        let completion_tokens = wanted_tokens.min(body.max_tokens);
        let answer = Message::text("assistant", &answer_text(prefix, completion_tokens)).part(prefix);
        let mut stream = Stream::new(id, body.model);
        stream.prefix = prefix;
        stream.prompt_tokens = prompt.iter().map(|part| part.tokens).sum();
        stream.planned_finish = finish_reason(wanted_tokens, body.max_tokens);
        stream.crashes = crashes;
        self.streams.insert(request.to_owned(), stream);
        self.requests.insert(id, request.to_owned());
        self.counts.accepted += 1;
        let work =
            BatchWork { id, program: program.to_owned(), prompt, answer: Some(answer), completion_tokens };
        let progress = self.batch.submit(now_us, work);
        self.apply(now_us, progress);
    }

    /// ends the steps that are due and passes their progress to the streams.
    pub(super) fn advance(&mut self, now_us: u64) {
        let progress = self.batch.advance(now_us);
        self.apply(now_us, progress);
    }

    /// cancels a request that still runs, and returns its generated tokens.
    pub(super) fn cancel(&mut self, now_us: u64, request: &str) -> Option<u64> {
        let stream = self.streams.get_mut(request)?;
        if stream.finish_reason.is_none() {
            self.batch.cancel(stream.id);
            stream.finish_reason = Some("cancelled");
            stream.wake();
            let id = stream.id;
            self.counts.cancelled += 1;
            self.retire(id);
            self.note_load(now_us);
        }
        self.streams.get(request).map(|stream| stream.completion_tokens)
    }

    /// publishes what the cache did.
    pub(super) fn publish_cache(&mut self, now_us: u64) {
        let changes = self.batch.cache_mut().take_changes();
        self.events.record(now_us, changes);
    }

    pub(super) fn set_faults(&mut self, faults: EngineFaults) {
        self.batch.set_slowdown(faults.slowdown);
        self.events.set_loss(faults.event_loss, faults.event_seed);
        self.faults = faults;
    }

    pub(super) fn wake_all(&mut self) {
        for stream in self.streams.values_mut() {
            stream.wake();
        }
    }

    /// the load as it was `lag_us` ago.
    pub(super) fn load_at(&self, now_us: u64, lag_us: u64) -> LoadReading {
        let then_us = now_us.saturating_sub(lag_us);
        let seen = self.readings.iter().rev().find(|(at_us, _)| *at_us <= then_us);
        seen.map(|(_, reading)| *reading).unwrap_or_default()
    }

    pub(super) fn export(&mut self, program: &str) -> (String, u64) {
        self.next_id += 1;
        let handle = format!("x{}", self.next_id);
        let chain = self.batch.cache().chain(program);
        let tokens = chain.iter().map(|part| part.tokens).sum();
        self.exports.push_back((handle.clone(), chain));
        if self.exports.len() > MAX_EXPORTS {
            self.exports.pop_front();
        }
        (handle, tokens)
    }

    fn apply(&mut self, now_us: u64, progress: Vec<BatchProgress>) {
        for one in progress {
            match one {
                BatchProgress::Started { id, cached_tokens } => self.started(id, cached_tokens),
                BatchProgress::Token { id } => {
                    self.counts.completion_tokens += 1;
                    if let Some(stream) = self.stream(id) {
                        stream.completion_tokens += 1;
                        stream.wake();
                    }
                }
                BatchProgress::Finished { id } => {
                    self.counts.finished += 1;
                    if let Some(stream) = self.stream(id) {
                        stream.finish_reason = Some(stream.planned_finish);
                        stream.wake();
                    }
                    self.retire(id);
                }
            }
        }
        self.counts.prefilled_tokens = self.batch.prefilled_tokens();
        self.publish_cache(now_us);
        self.note_load(now_us);
    }

    fn started(&mut self, id: u64, cached_tokens: u64) {
        self.counts.cached_tokens += cached_tokens;
        let Some(stream) = self.stream(id) else {
            return;
        };
        stream.cached_tokens = cached_tokens;
        let crashes = stream.crashes;
        self.crashed |= crashes;
    }

    fn stream(&mut self, id: u64) -> Option<&mut Stream> {
        self.streams.get_mut(self.requests.get(&id)?)
    }

    /// keeps a finished stream for a while.
    fn retire(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.finished.push_back(request);
        if self.finished.len() > MAX_FINISHED_STREAMS
            && let Some(oldest) = self.finished.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }

    fn note_load(&mut self, now_us: u64) {
        let reading = LoadReading {
            running: self.batch.running_count(),
            waiting: self.batch.waiting_count(),
            held_tokens: self.batch.cache().held_tokens(),
        };
        if self.readings.back().is_some_and(|(_, last)| *last == reading) {
            return;
        }
        self.readings.push_back((now_us, reading));
        if self.readings.len() > MAX_LOAD_READINGS {
            self.readings.pop_front();
        }
    }
}
