//! Digests of calls, and the hash chain that binds a conversation history to
//! its program.

use blake3::Hasher;
use gg_protocol::{Call, Message, Name, ProgramId};

use crate::TurnRecord;

/// Digest of a call, in hex; equal calls have equal digests.
pub fn call_digest(call: &Call) -> String {
    let text = serde_json::to_vec(call).unwrap_or_default();
    blake3::hash(&text).to_hex().to_string()
}

/// First digest of a program's hash chain.
pub(crate) fn first_digest(program: &ProgramId, customer: &Name) -> String {
    let mut hasher = Hasher::new();
    hasher.update(program.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(customer.as_bytes());
    hasher.finalize().to_hex().to_string()
}

/// Chain digest that follows `previous` once `turn` is applied.
pub(crate) fn next_digest(previous: &str, turn: &TurnRecord) -> String {
    let mut hasher = Hasher::new();
    hasher.update(previous.as_bytes());
    hasher.update(turn.program.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(turn.customer.as_bytes());
    hasher.update(&turn.turn.to_le_bytes());
    hasher.update(turn.digest.as_bytes());
    hasher.update(&(turn.kept as u64).to_le_bytes());
    update_messages(&mut hasher, &turn.added);
    hasher.update(&serde_json::to_vec(&turn.answer).unwrap_or_default());
    hasher.finalize().to_hex().to_string()
}

fn update_messages(hasher: &mut Hasher, messages: &[Message]) {
    for message in messages {
        let text = message.to_string();
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
}
