//! State of one program.

use gg_protocol::{
    Answer, ChatCall, Failure, Message, Name, ProgramId, chat::token_bound, failure::Code,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    Budget, EndReason, Intent, RuleError, Start, TurnRecord,
    digest::{first_link, next_link},
};

/// Whether a program goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes turns.
    Running,
    /// It has ended.
    Ended {
        /// Why.
        reason: EndReason,
        /// Wall time, in ms.
        at_ms: u64,
    },
}

/// A finished turn as kept in memory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// Digest of the call.
    pub digest: String,
    /// Key given by the caller.
    pub key: Option<Name>,
    /// What the caller was answered.
    pub answer: Answer,
    /// Upstream that carried it out.
    pub upstream: Option<Name>,
    /// Tokens charged.
    pub spent: u64,
    /// Wall time of its end, in ms.
    pub at_ms: u64,
    /// Time from the request to the end, in ms.
    pub took_ms: u64,
    /// Part of it spent waiting for a slot, in ms.
    pub waited_ms: u64,
}

/// One program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// How it was started.
    pub start: Start,
    /// Whether it goes on.
    pub state: State,
    /// Finished turns; the index is the turn's number.
    pub turns: Vec<Turn>,
    /// The conversation so far.
    pub history: Vec<Message>,
    /// Chain digest over all turns.
    pub chain: String,
    /// Account, used in root programs only.
    pub budget: Budget,
    /// Call that was about to be sent when the record ended.
    pub intent: Option<Intent>,
    /// Wall time of the last change, in ms.
    pub touched_ms: u64,
    /// Upstreams that may hold the program's prefix in memory, the last used
    /// at the end.
    pub upstreams: Vec<Name>,
    /// Tokens of the whole history as the engine counted them.
    pub tokens: u64,
    /// Times that the last call's content came in a row.
    pub repeats: u32,
}

/// Where a request stands in the program's order.
#[derive(Clone, Debug, PartialEq)]
pub enum Place {
    /// Finished before; the same answer is due again.
    Finished(u32),
    /// Next in the order.
    Next(u32),
    /// Later than the next in the order.
    Ahead {
        /// The next turn in the order.
        expected: u32,
    },
    /// Finished before with other content.
    Conflict(u32),
    /// The program has ended.
    Ended(EndReason),
}

/// What a model call is to be sent with.
#[derive(Clone, Debug, PartialEq)]
pub struct Prompt {
    /// The whole conversation.
    pub messages: Vec<Message>,
    /// Messages of the recorded history that it begins with.
    pub kept: usize,
    /// Upper bound on its tokens.
    pub bound: u64,
}

impl Program {
    /// A program that has just been accepted.
    pub fn new(start: Start) -> Self {
        let chain = first_link(&start.program, &start.customer);
        let budget = Budget { limit: start.budget, reserved: start.block, ..Budget::default() };
        Program {
            touched_ms: start.at_ms,
            start,
            state: State::Running,
            turns: Vec::new(),
            history: Vec::new(),
            chain,
            budget,
            intent: None,
            upstreams: Vec::new(),
            tokens: 0,
            repeats: 0,
        }
    }

    /// The program's identifier.
    pub fn id(&self) -> &ProgramId {
        &self.start.program
    }

    /// Number of the next turn.
    pub fn next_turn(&self) -> u32 {
        self.turns.len() as u32
    }

    /// Finds the place of a request in the order.
    pub fn place(&self, turn: Option<u32>, key: Option<&Name>, digest: &str) -> Place {
        let next = self.next_turn();
        let by_key = || self.turns.iter().position(|turn| turn.key.as_ref() == key);
        let wanted = match (turn, key) {
            (Some(turn), _) => turn,
            (None, Some(_)) => by_key().map_or(next, |index| index as u32),
            (None, None) => next,
        };
        if let Some(done) = self.turns.get(wanted as usize) {
            return match done.digest == digest {
                true => Place::Finished(wanted),
                false => Place::Conflict(wanted),
            };
        }
        match self.state {
            State::Ended { reason, .. } => Place::Ended(reason),
            State::Running if wanted == next => Place::Next(wanted),
            State::Running => Place::Ahead { expected: next },
        }
    }

    /// The conversation to send for a call, and what it keeps of the record.
    pub fn prompt(&self, call: &ChatCall) -> Prompt {
        if call.append {
            let mut messages = self.history.clone();
            messages.extend(call.messages.iter().cloned());
            let bound = self.tokens + token_bound(&call.messages);
            return Prompt { messages, kept: self.history.len(), bound };
        }
        let same = |(ours, theirs): &(&Message, &Message)| ours == theirs;
        let kept = self.history.iter().zip(&call.messages).take_while(same).count();
        let bound = match kept == self.history.len() {
            true => self.tokens + token_bound(&call.messages[kept..]),
            false => token_bound(&call.messages),
        };
        Prompt { messages: call.messages.clone(), kept, bound }
    }

    /// The chain digest that the program has after `turn`.
    pub fn link(&self, turn: &TurnRecord) -> String {
        next_link(&self.chain, turn)
    }

    /// Applies a finished turn. One that is applied already is no error.
    pub fn apply_turn(&mut self, record: &TurnRecord) -> Result<(), RuleError> {
        let expected = self.next_turn();
        if record.turn < expected {
            return Ok(());
        }
        if record.turn > expected {
            return Err(RuleError::OutOfOrder(self.id().clone(), record.turn, expected));
        }
        if record.chain != self.link(record) || record.kept > self.history.len() {
            return Err(RuleError::BrokenChain(self.id().clone(), record.turn));
        }
        self.chain = record.chain.clone();
        self.extend_history(record);
        self.count_repeat(&record.digest);
        if let Some(upstream) = &record.upstream {
            self.note_upstream(upstream);
        }
        self.intent = None;
        self.touched_ms = record.at_ms;
        self.turns.push(Turn {
            digest: record.digest.clone(),
            key: record.key.clone(),
            answer: record.answer.clone(),
            upstream: record.upstream.clone(),
            spent: record.spent,
            at_ms: record.at_ms,
            took_ms: record.took_ms,
            waited_ms: record.waited_ms,
        });
        Ok(())
    }

    fn extend_history(&mut self, record: &TurnRecord) {
        let Answer::Chat { text, usage, .. } = &record.answer else { return };
        self.history.truncate(record.kept);
        self.history.extend(record.added.iter().cloned());
        self.history.push(json!({"role": "assistant", "content": text}));
        self.tokens = usage.total();
    }

    fn count_repeat(&mut self, digest: &str) {
        let again = self.turns.last().is_some_and(|last| last.digest == digest);
        self.repeats = if again { self.repeats + 1 } else { 0 };
    }

    /// Model of the last model call.
    pub fn model(&self) -> Option<&str> {
        self.turns.iter().rev().find_map(|turn| match &turn.answer {
            Answer::Chat { model, .. } => Some(model.as_str()),
            _ => None,
        })
    }

    /// Remembers that `upstream` may hold the program's prefix.
    pub fn note_upstream(&mut self, upstream: &Name) {
        self.upstreams.retain(|known| known != upstream);
        self.upstreams.push(upstream.clone());
    }

    /// Turns an intent whose outcome was lost into a finished turn that says
    /// so. Returns the record to be committed.
    pub fn resolve_intent(&self, now_ms: u64) -> Option<TurnRecord> {
        let intent = self.intent.as_ref()?;
        let failure = Failure::unknown(
            Code::HomeUnavailable,
            "the daemon that sent this call was lost before it recorded the outcome",
        )
        .help("ask the service whether the call took effect; it is not sent again");
        let mut record = TurnRecord {
            program: self.id().clone(),
            customer: self.start.customer.clone(),
            turn: intent.turn,
            digest: intent.digest.clone(),
            key: intent.key.clone(),
            kept: self.history.len(),
            added: Vec::new(),
            answer: Answer::Failed { failure },
            upstream: None,
            spent: 0,
            at_ms: now_ms,
            took_ms: 0,
            waited_ms: 0,
            chain: String::new(),
        };
        record.chain = self.link(&record);
        Some(record)
    }
}
