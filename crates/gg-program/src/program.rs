//! State of one program.

use gg_protocol::{
    Answer, ChatCall, Failure, Message, Name, ProgramId, chat::token_bound, failure::Code,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    Budget, EndReason, Intent, RecordError, Start, TurnRecord,
    digest::{first_digest, next_digest},
};

/// Life-cycle state of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The program accepts turns.
    Running,
    /// The program has ended.
    Ended {
        /// Why it ended.
        reason: EndReason,
        /// Wall-clock time of the end, in ms.
        at_ms: u64,
    },
}

/// A finished turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// Digest of the call.
    pub digest: String,
    /// Idempotency key given by the caller.
    pub key: Option<Name>,
    /// Answer returned to the caller.
    pub answer: Answer,
    /// Upstream that executed the call.
    pub upstream: Option<Name>,
    /// Tokens charged.
    pub spent: u64,
    /// Wall-clock time of the turn's end, in ms.
    pub at_ms: u64,
    /// Time from the request to the turn's end, in ms.
    pub took_ms: u64,
    /// Part of `took_ms` spent waiting for a slot, in ms.
    pub waited_ms: u64,
}

/// State of one program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// Parameters that the program was accepted with.
    pub start: Start,
    /// Whether the program is running or has ended.
    pub state: State,
    /// Finished turns, indexed by turn number.
    pub turns: Vec<Turn>,
    /// The conversation so far.
    pub history: Vec<Message>,
    /// Chain digest over all finished turns.
    pub chain: String,
    /// Token budget; used in root programs only.
    pub budget: Budget,
    /// Call that was about to be sent and has no recorded outcome.
    pub intent: Option<Intent>,
    /// Wall-clock time of the last finished turn, or of the start, in ms.
    pub touched_ms: u64,
    /// Upstreams that may hold the program's prefix in their cache, most
    /// recently used last.
    pub upstreams: Vec<Name>,
    /// Tokens of the whole history, as counted by the engine.
    pub tokens: u64,
    /// Number of consecutive repeats of the last call.
    pub repeats: u32,
}

/// Relation of a request to the program's turn order.
#[derive(Clone, Debug, PartialEq)]
pub enum TurnStatus {
    /// The turn has finished; its recorded answer is returned again.
    Finished(u32),
    /// The request is for the next turn.
    Next(u32),
    /// The request is for a turn after the next one.
    Ahead {
        /// Number of the next turn.
        expected: u32,
    },
    /// The turn has finished, with a different call.
    Conflict(u32),
    /// The program has ended.
    Ended(EndReason),
}

/// Messages to send for a model call.
#[derive(Clone, Debug, PartialEq)]
pub struct Prompt {
    /// The whole conversation, including the new messages.
    pub messages: Vec<Message>,
    /// Number of leading messages that equal the recorded history.
    pub prefix_len: usize,
    /// Upper bound on the prompt's tokens.
    pub bound: u64,
}

impl Program {
    /// Creates a program that has just been accepted.
    pub fn new(start: Start) -> Self {
        let chain = first_digest(&start.program, &start.customer);
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

    /// Determines how a request relates to the turn order.
    pub fn turn_status(&self, turn: Option<u32>, key: Option<&Name>, digest: &str) -> TurnStatus {
        let next = self.next_turn();
        let find_by_key = || self.turns.iter().position(|turn| turn.key.as_ref() == key);
        let wanted = match (turn, key) {
            (Some(turn), _) => turn,
            (None, Some(_)) => find_by_key().map_or(next, |index| index as u32),
            (None, None) => next,
        };
        if let Some(done) = self.turns.get(wanted as usize) {
            return match done.digest == digest {
                true => TurnStatus::Finished(wanted),
                false => TurnStatus::Conflict(wanted),
            };
        }
        match self.state {
            State::Ended { reason, .. } => TurnStatus::Ended(reason),
            State::Running if wanted == next => TurnStatus::Next(wanted),
            State::Running => TurnStatus::Ahead { expected: next },
        }
    }

    /// Builds the conversation to send for a call, and counts how much of the
    /// recorded history it reuses.
    pub fn prompt(&self, call: &ChatCall) -> Prompt {
        if call.append {
            let mut messages = self.history.clone();
            messages.extend(call.messages.iter().cloned());
            let bound = self.tokens + token_bound(&call.messages);
            return Prompt { messages, prefix_len: self.history.len(), bound };
        }
        let is_equal = |(recorded, sent): &(&Message, &Message)| recorded == sent;
        let prefix_len = self.history.iter().zip(&call.messages).take_while(is_equal).count();
        let bound = match prefix_len == self.history.len() {
            true => self.tokens + token_bound(&call.messages[prefix_len..]),
            false => token_bound(&call.messages),
        };
        Prompt { messages: call.messages.clone(), prefix_len, bound }
    }

    /// About the memory of the recorded history, in bytes.
    pub fn history_bytes(&self) -> usize {
        self.history.iter().map(value_bytes).sum()
    }

    /// Chain digest of the program once `turn` is applied.
    pub fn next_chain(&self, turn: &TurnRecord) -> String {
        next_digest(&self.chain, turn)
    }

    /// Total time of all finished turns without their waits for slots, in ms.
    pub fn busy_ms(&self) -> u64 {
        self.turns.iter().map(|turn| turn.took_ms.saturating_sub(turn.waited_ms)).sum()
    }

    /// Applies a finished turn. A turn that was applied before is ignored.
    pub fn apply_turn(&mut self, record: &TurnRecord) -> Result<(), RecordError> {
        let expected = self.next_turn();
        if record.turn < expected {
            return Ok(());
        }
        if record.turn > expected {
            return Err(RecordError::OutOfOrder(self.id().clone(), record.turn, expected));
        }
        if record.chain != self.next_chain(record) || record.kept > self.history.len() {
            return Err(RecordError::BrokenChain(self.id().clone(), record.turn));
        }
        self.chain = record.chain.clone();
        self.extend_history(record);
        self.count_repeat(&record.digest);
        if let Some(upstream) = &record.upstream {
            self.record_upstream(upstream);
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

    /// Model of the last successful model call.
    pub fn model(&self) -> Option<&str> {
        self.turns.iter().rev().find_map(|turn| match &turn.answer {
            Answer::Chat { model, .. } => Some(model.as_str()),
            _ => None,
        })
    }

    /// Records that `upstream` may hold the program's prefix in its cache.
    pub fn record_upstream(&mut self, upstream: &Name) {
        self.upstreams.retain(|known| known != upstream);
        self.upstreams.push(upstream.clone());
    }

    /// Returns the record that finishes an intent without a recorded outcome as
    /// a failed turn with an unknown outcome. The caller commits the record.
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
        record.chain = self.next_chain(&record);
        Some(record)
    }
}

/// About the memory of a JSON value, in bytes.
pub fn value_bytes(value: &Value) -> usize {
    let content = match value {
        Value::String(text) => text.capacity(),
        Value::Array(values) => values.iter().map(value_bytes).sum(),
        Value::Object(members) => {
            members.iter().map(|(name, value)| name.capacity() + value_bytes(value)).sum()
        }
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    };
    size_of::<Value>() + content
}
