//! Model of a replica that batches continuously: each step generates one token
//! for every running request, and prompts are computed in chunks between the
//! steps. Requests start in order of arrival.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::clock::{Micros, micros};

/// Costs and capacities of a replica, as the users' documentation gives them.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Requests that run concurrently.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are rejected.
    pub queue: usize,
    /// Base duration of a step, in ms.
    pub step_ms: f64,
    /// Time that every 1,000 tokens of the running prompts add to a step, in ms.
    pub context_ms: f64,
    /// Prompt tokens computed per ms.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens computed between two steps.
    pub chunk_tokens: f64,
    /// Tokens in one stream event.
    pub event_tokens: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: f64,
    /// Length of the prefix that all prompts of a kind share, in tokens.
    pub shared_tokens: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            slots: 32,
            queue: 96,
            step_ms: 1.06,
            context_ms: 0.002_14,
            prefill_rate: 257.0,
            chunk_tokens: 2_048.0,
            event_tokens: 19,
            cache_tokens: 783_000.0,
            shared_tokens: 12_600.0,
        }
    }
}

/// One attempt of a turn on a replica.
#[derive(Clone, Debug)]
pub(crate) struct TurnAttempt {
    /// Index of the attempt, which [`Progress`] reports.
    pub(crate) attempt: usize,
    pub(crate) kind: usize,
    pub(crate) program: usize,
    /// Tokens of the conversation before this turn.
    pub(crate) history: f64,
    /// Prompt tokens that this turn adds.
    pub(crate) input: f64,
    pub(crate) events: u32,
}

/// Progress of an attempt within a step.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Progress {
    /// The first token was generated.
    Begun(usize),
    /// The last token was generated.
    Ended(usize),
}

#[derive(Debug)]
struct Running {
    turn: TurnAttempt,
    uncached: f64,
    tokens_left: u32,
    tokens_generated: u32,
}

/// Key of a cached prefix: the shared prefix of a kind, or the conversation of
/// a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CacheKey {
    Shared(usize),
    Conversation(usize),
}

#[derive(Debug)]
pub(crate) struct Engine {
    settings: EngineSettings,
    waiting: VecDeque<TurnAttempt>,
    running: Vec<Running>,
    /// Cached prefixes with their length in tokens, least recently used first.
    cache: IndexMap<CacheKey, f64>,
    /// Factor applied to all durations.
    pub(crate) time_factor: f64,
}

impl Engine {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Engine {
            settings,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: IndexMap::new(),
            time_factor: 1.0,
        }
    }

    /// Queues an attempt. Returns `false` if the queue is full.
    pub(crate) fn enqueue(&mut self, turn: TurnAttempt) -> bool {
        if self.waiting.len() >= self.settings.queue {
            return false;
        }
        self.waiting.push_back(turn);
        true
    }

    /// Whether any request is waiting or running.
    pub(crate) fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || !self.running.is_empty()
    }

    /// Runs one step. Returns its duration and the progress of the requests.
    pub(crate) fn step(&mut self) -> (Micros, Vec<Progress>) {
        while self.running.len() < self.settings.slots {
            let Some(turn) = self.waiting.pop_front() else { break };
            let uncached = self.uncached(&turn);
            let tokens_left = turn.events * self.settings.event_tokens;
            self.running.push(Running { turn, uncached, tokens_left, tokens_generated: 0 });
        }
        let prompt_tokens: f64 =
            self.running.iter().map(|request| request.turn.history + request.turn.input).sum();
        let shared = self.settings.shared_tokens * self.running.len() as f64;
        let context = self.settings.context_ms * (prompt_tokens + shared) / 1e3;
        let mut chunk = self.settings.chunk_tokens;
        let mut computed = 0.0;
        let mut progress = Vec::new();
        for request in &mut self.running {
            if request.uncached > 0.0 {
                let part = request.uncached.min(chunk);
                request.uncached -= part;
                chunk -= part;
                computed += part;
                continue;
            }
            request.tokens_left -= 1;
            request.tokens_generated += 1;
            if request.tokens_generated == 1 {
                progress.push(Progress::Begun(request.turn.attempt));
            }
            if request.tokens_left == 0 {
                progress.push(Progress::Ended(request.turn.attempt));
            }
        }
        let done: Vec<Running> =
            self.running.extract_if(.., |request| request.tokens_left == 0).collect();
        done.into_iter().for_each(|request| self.cache_prompt(&request.turn));
        let ms = self.settings.step_ms + context + computed / self.settings.prefill_rate;
        (micros(ms * self.time_factor), progress)
    }

    /// Prompt tokens that the cache doesn't hold. Adds the shared prefix to the
    /// cache.
    fn uncached(&mut self, turn: &TurnAttempt) -> f64 {
        let shared = match self.touch(CacheKey::Shared(turn.kind)) {
            Some(_) => 0.0,
            None => {
                self.cache.insert(CacheKey::Shared(turn.kind), self.settings.shared_tokens);
                self.settings.shared_tokens
            }
        };
        let cached = self.touch(CacheKey::Conversation(turn.program)).unwrap_or(0.0);
        shared + (turn.history - cached).max(0.0) + turn.input
    }

    fn touch(&mut self, key: CacheKey) -> Option<f64> {
        let tokens = self.cache.shift_remove(&key)?;
        self.cache.insert(key, tokens);
        Some(tokens)
    }

    fn cache_prompt(&mut self, turn: &TurnAttempt) {
        let generated = f64::from(turn.events * self.settings.event_tokens);
        self.cache.shift_remove(&CacheKey::Conversation(turn.program));
        self.cache
            .insert(CacheKey::Conversation(turn.program), turn.history + turn.input + generated);
        let mut total: f64 = self.cache.values().sum();
        while total > self.settings.cache_tokens {
            let Some((_, tokens)) = self.cache.shift_remove_index(0) else { break };
            total -= tokens;
        }
    }
}
