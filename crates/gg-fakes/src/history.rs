//! Event log of a concurrent run, and the checks of what must always hold.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
};

/// What callers and stand-ins saw, in the order in which they saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a turn.
    Asked {
        /// The program.
        program: String,
        /// Place in its order.
        turn: u32,
        /// What the turn does; unique in the run for calls to services.
        action: String,
    },
    /// A caller was told that the turn is done.
    Done {
        /// The program.
        program: String,
        /// Place in its order.
        turn: u32,
        /// The answer.
        text: String,
        /// The answer that only this request can have.
        expected: String,
    },
    /// A caller was told that the turn failed.
    Refused {
        /// The program.
        program: String,
        /// Place in its order.
        turn: u32,
        /// What the turn was to do.
        action: String,
        /// `no`, `yes` or `unknown`.
        ran: String,
    },
    /// A caller was told for good that the turn may have run.
    Closed {
        /// The program.
        program: String,
        /// Place in its order.
        turn: u32,
    },
    /// A service carried an action out.
    Executed {
        /// The action.
        action: String,
    },
    /// What a program had spent of its budget.
    Spent {
        /// The program.
        program: String,
        /// Tokens that its engines' answers charged.
        tokens: u64,
        /// Its budget.
        budget: u64,
    },
    /// The turns and messages that a program's record showed at the end.
    Recorded {
        /// The program.
        program: String,
        /// Finished turns.
        turns: u32,
        /// Contents of the messages, in order.
        messages: Vec<String>,
    },
}

/// A shared log.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    events: Arc<Mutex<Vec<Event>>>,
}

impl EventLog {
    /// Adds an event.
    pub fn push(&self, event: Event) {
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

/// A broken promise, with the events that show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(pub String);

/// Checks a run. Actions that are told as not run are counted against what
/// services carried out up to the end of the run.
pub fn check(events: &[Event]) -> Vec<Violation> {
    let mut found = Vec::new();
    check_actions(events, &mut found);
    check_order(events, &mut found);
    check_answers(events, &mut found);
    check_records(events, &mut found);
    found
}

/// Non-idempotent actions run at most once, and never after "not run" unless
/// they were asked for again.
fn check_actions(events: &[Event], found: &mut Vec<Violation>) {
    let mut executed: HashMap<&str, u32> = HashMap::new();
    let mut open: HashMap<&str, u32> = HashMap::new();
    for event in events {
        match event {
            Event::Asked { action, .. } => *open.entry(action).or_insert(0) += 1,
            Event::Executed { action } => {
                let count = executed.entry(action).or_insert(0);
                *count += 1;
                if *count > 1 {
                    found.push(Violation(format!("{action} ran {count} times")));
                }
                if open.get(action.as_str()).copied().unwrap_or(0) == 0 {
                    found.push(Violation(format!("{action} ran after it was told as not run")));
                }
            }
            Event::Refused { action, ran, .. } if ran == "no" => {
                if let Some(open) = open.get_mut(action.as_str()) {
                    *open = open.saturating_sub(1);
                }
                if executed.contains_key(action.as_str()) {
                    found.push(Violation(format!("{action} ran and was told as not run")));
                }
            }
            _ => {}
        }
    }
    for event in events {
        if let Event::Done { expected, text, .. } = event {
            let is_action = expected == text && expected.starts_with("action-");
            if is_action && !executed.contains_key(text.as_str()) {
                found.push(Violation(format!("{text} was told as done and did not run")));
            }
        }
    }
}

/// The turns of a program are told as done, or as unknown for good, in their
/// order.
fn check_order(events: &[Event], found: &mut Vec<Violation>) {
    let mut next: HashMap<&str, u32> = HashMap::new();
    for event in events {
        let (Event::Done { program, turn, .. } | Event::Closed { program, turn }) = event else {
            continue;
        };
        let next = next.entry(program).or_insert(0);
        if *turn > *next {
            found.push(Violation(format!("{program}: turn {turn} done before turn {next}")));
        }
        *next = (*next).max(turn + 1);
    }
}

/// Each caller gets the whole answer to its own request, and the same answer
/// each time it asks.
fn check_answers(events: &[Event], found: &mut Vec<Violation>) {
    let mut told: HashMap<(&str, u32), &str> = HashMap::new();
    for event in events {
        let Event::Done { program, turn, text, expected } = event else { continue };
        if text != expected {
            found.push(Violation(format!("{program}: turn {turn} got {text:?} for {expected:?}")));
        }
        let first = told.entry((program, *turn)).or_insert(text);
        if *first != text {
            found.push(Violation(format!("{program}: turn {turn} was told two answers")));
        }
    }
}

/// Histories hold every message that was acknowledged, in order, and nothing
/// of other programs; budgets are kept.
fn check_records(events: &[Event], found: &mut Vec<Violation>) {
    let mut done: HashMap<&str, HashSet<u32>> = HashMap::new();
    for event in events {
        match event {
            Event::Done { program, turn, .. } => {
                done.entry(program).or_default().insert(*turn);
            }
            Event::Spent { program, tokens, budget } if tokens > budget => {
                found.push(Violation(format!("{program} spent {tokens} of {budget}")));
            }
            Event::Recorded { program, turns, messages } => {
                let acknowledged = done.get(program.as_str()).map_or(0, HashSet::len);
                if (*turns as usize) < acknowledged {
                    let text = format!("{program}: {acknowledged} turns told, {turns} recorded");
                    found.push(Violation(text));
                }
                check_messages(program, messages, found);
            }
            _ => {}
        }
    }
}

fn check_messages(program: &str, messages: &[String], found: &mut Vec<Violation>) {
    let mut last = None;
    for message in messages.iter().filter(|message| message.starts_with("ask ")) {
        let mut words = message.split(' ').skip(1);
        let owner = words.next().unwrap_or_default();
        let turn: Option<u32> = words.next().and_then(|word| word.parse().ok());
        if owner != program {
            found.push(Violation(format!("{program}: history holds a message of {owner}")));
        }
        if turn <= last {
            found.push(Violation(format!("{program}: history is out of order at {message:?}")));
        }
        last = turn;
    }
}
