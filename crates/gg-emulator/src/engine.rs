//! A model replica that works in steps: each running request gets one token a
//! step, and prompts are read in chunks between them. Requests are admitted
//! in order of arrival.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::clock::{Micros, micros};

/// Costs and sizes of a replica, as the users' pages describe them.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that wait beyond these; more are turned away.
    pub queue: usize,
    /// Time of a step, in ms.
    pub step_ms: f64,
    /// Time that each 1,000 tokens of all running prompts add to a step, in
    /// ms.
    pub context_ms: f64,
    /// Prompt tokens read in a ms.
    pub read_tokens: f64,
    /// Prompt tokens read between two steps, at most.
    pub chunk_tokens: f64,
    /// Tokens of an event.
    pub event_tokens: u32,
    /// Tokens that it keeps of prompts.
    pub memory_tokens: f64,
    /// Tokens that all prompts of a kind begin with.
    pub shared_tokens: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            slots: 32,
            queue: 96,
            step_ms: 1.06,
            context_ms: 0.002_14,
            read_tokens: 257.0,
            chunk_tokens: 2_048.0,
            event_tokens: 19,
            memory_tokens: 783_000.0,
            shared_tokens: 12_600.0,
        }
    }
}

/// A turn at a replica.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// Number of the attempt, which comes back in [`Done`].
    pub(crate) attempt: usize,
    pub(crate) kind: usize,
    pub(crate) program: usize,
    /// Tokens of the chain before this turn, and its own.
    pub(crate) history: f64,
    pub(crate) input: f64,
    pub(crate) events: u32,
}

/// What became of a turn in a step.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Progress {
    /// The first event came.
    Begun(usize),
    /// The last one came.
    Ended(usize),
}

#[derive(Debug)]
struct Running {
    work: Work,
    unread: f64,
    tokens_left: u32,
    tokens_made: u32,
}

/// What a kept part of a prompt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Part {
    Shared(usize),
    Chain(usize),
}

#[derive(Debug)]
pub(crate) struct Engine {
    settings: EngineSettings,
    waiting: VecDeque<Work>,
    running: Vec<Running>,
    /// Kept tokens by part, least recently used first.
    kept: IndexMap<Part, f64>,
    /// Factor on all times.
    pub(crate) slowness: f64,
}

impl Engine {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Engine {
            settings,
            waiting: VecDeque::new(),
            running: Vec::new(),
            kept: IndexMap::new(),
            slowness: 1.0,
        }
    }

    /// Takes a turn in; `false` if it is full.
    pub(crate) fn take(&mut self, work: Work) -> bool {
        if self.waiting.len() >= self.settings.queue {
            return false;
        }
        self.waiting.push_back(work);
        true
    }

    /// Whether there is anything to do.
    pub(crate) fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || !self.running.is_empty()
    }

    /// Does one step; returns its time and what it brought.
    pub(crate) fn step(&mut self) -> (Micros, Vec<Progress>) {
        while self.running.len() < self.settings.slots {
            let Some(work) = self.waiting.pop_front() else { break };
            let unread = self.unread(&work);
            let tokens_left = work.events * self.settings.event_tokens;
            self.running.push(Running { work, unread, tokens_left, tokens_made: 0 });
        }
        let prompts: f64 = self.running.iter().map(|one| one.work.history + one.work.input).sum();
        let shared = self.settings.shared_tokens * self.running.len() as f64;
        let context = self.settings.context_ms * (prompts + shared) / 1e3;
        let mut chunk = self.settings.chunk_tokens;
        let mut read = 0.0;
        let mut progress = Vec::new();
        for one in &mut self.running {
            if one.unread > 0.0 {
                let part = one.unread.min(chunk);
                one.unread -= part;
                chunk -= part;
                read += part;
                continue;
            }
            one.tokens_left -= 1;
            one.tokens_made += 1;
            if one.tokens_made == 1 {
                progress.push(Progress::Begun(one.work.attempt));
            }
            if one.tokens_left == 0 {
                progress.push(Progress::Ended(one.work.attempt));
            }
        }
        let done: Vec<Running> = self.running.extract_if(.., |one| one.tokens_left == 0).collect();
        done.into_iter().for_each(|one| self.keep(&one.work));
        let ms = self.settings.step_ms + context + read / self.settings.read_tokens;
        (micros(ms * self.slowness), progress)
    }

    /// Tokens of a prompt that have to be read.
    fn unread(&mut self, work: &Work) -> f64 {
        let shared = match self.use_part(Part::Shared(work.kind)) {
            Some(_) => 0.0,
            None => {
                self.kept.insert(Part::Shared(work.kind), self.settings.shared_tokens);
                self.settings.shared_tokens
            }
        };
        let known = self.use_part(Part::Chain(work.program)).unwrap_or(0.0);
        shared + (work.history - known).max(0.0) + work.input
    }

    fn use_part(&mut self, part: Part) -> Option<f64> {
        let tokens = self.kept.shift_remove(&part)?;
        self.kept.insert(part, tokens);
        Some(tokens)
    }

    fn keep(&mut self, work: &Work) {
        let made = f64::from(work.events * self.settings.event_tokens);
        self.kept.shift_remove(&Part::Chain(work.program));
        self.kept.insert(Part::Chain(work.program), work.history + work.input + made);
        let mut total: f64 = self.kept.values().sum();
        while total > self.settings.memory_tokens {
            let Some((_, tokens)) = self.kept.shift_remove_index(0) else { break };
            total -= tokens;
        }
    }
}
