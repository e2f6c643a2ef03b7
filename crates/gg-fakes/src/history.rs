//! Event log of a concurrent run, and the checks of its invariants.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
};

/// An event that a caller or a test service observed. The log keeps them in the
/// order of observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a turn.
    Requested {
        /// The program.
        program: String,
        /// Number of the turn.
        turn: u32,
        /// The action; empty for model calls, unique in the run for service calls.
        action: String,
    },
    /// A caller received the response to a turn.
    Done {
        /// The program.
        program: String,
        /// Number of the turn.
        turn: u32,
        /// The answer of the model or service.
        text: String,
        /// The only correct answer to this request.
        expected: String,
    },
    /// A caller received an error for a turn.
    Refused {
        /// The program.
        program: String,
        /// Number of the turn.
        turn: u32,
        /// The requested action.
        action: String,
        /// Whether the turn was executed: `no`, `yes` or `unknown`.
        ran: String,
    },
    /// The program recorded a turn with a final outcome of "unknown".
    Unresolved {
        /// The program.
        program: String,
        /// Number of the turn.
        turn: u32,
    },
    /// A service executed an action.
    Executed {
        /// The action.
        action: String,
    },
    /// The tokens charged to a program, and its budget.
    Spent {
        /// The program.
        program: String,
        /// Sum of the tokens that the responses charged.
        tokens: u64,
        /// Token budget of the program.
        budget: u64,
    },
    /// The recorded state of a program at its end.
    Recorded {
        /// The program.
        program: String,
        /// Number of recorded turns.
        turns: u32,
        /// Contents of the user messages, in order.
        messages: Vec<String>,
    },
}

/// An event log that clones share.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    events: Arc<Mutex<Vec<Event>>>,
}

impl EventLog {
    /// Appends an event.
    pub fn push(&self, event: Event) {
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(event);
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

/// A violated invariant, described as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(pub String);

/// Checks all invariants of a run. Actions that were reported as not executed are
/// compared with what services executed until the end of the run.
pub fn check(events: &[Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_actions(events, &mut violations);
    check_order(events, &mut violations);
    check_answers(events, &mut violations);
    check_records(events, &mut violations);
    violations
}

/// Checks that a non-idempotent action is executed at most once, and that an action
/// reported as not executed runs only after a caller requested it again.
fn check_actions(events: &[Event], violations: &mut Vec<Violation>) {
    let mut executed: HashMap<&str, u32> = HashMap::new();
    let mut requested: HashMap<&str, u32> = HashMap::new();
    for event in events {
        match event {
            Event::Requested { action, .. } => *requested.entry(action).or_insert(0) += 1,
            Event::Executed { action } => {
                let count = executed.entry(action).or_insert(0);
                *count += 1;
                if *count > 1 {
                    violations.push(Violation(format!("{action} was executed {count} times")));
                }
                if requested.get(action.as_str()).copied().unwrap_or(0) == 0 {
                    violations.push(Violation(format!(
                        "{action} was executed after it was reported as not executed"
                    )));
                }
            }
            Event::Refused { action, ran, .. } if ran == "no" => {
                if let Some(requested) = requested.get_mut(action.as_str()) {
                    *requested = requested.saturating_sub(1);
                }
                if executed.contains_key(action.as_str()) {
                    violations.push(Violation(format!(
                        "{action} was executed and reported as not executed"
                    )));
                }
            }
            _ => {}
        }
    }
    for event in events {
        if let Event::Done { expected, text, .. } = event {
            let is_action = expected == text && expected.starts_with("action-");
            if is_action && !executed.contains_key(text.as_str()) {
                violations.push(Violation(format!("{text} was reported as done and not executed")));
            }
        }
    }
}

/// Checks that the turns of a program are reported in order as done or as finally
/// unknown.
fn check_order(events: &[Event], violations: &mut Vec<Violation>) {
    let mut next: HashMap<&str, u32> = HashMap::new();
    for event in events {
        let (Event::Done { program, turn, .. } | Event::Unresolved { program, turn }) = event
        else {
            continue;
        };
        let next = next.entry(program).or_insert(0);
        if *turn > *next {
            violations.push(Violation(format!("{program}: turn {turn} done before turn {next}")));
        }
        *next = (*next).max(turn + 1);
    }
}

/// Checks that each caller receives the complete answer to its own request, and the
/// same answer to every repetition.
fn check_answers(events: &[Event], violations: &mut Vec<Violation>) {
    let mut answers: HashMap<(&str, u32), &str> = HashMap::new();
    for event in events {
        let Event::Done { program, turn, text, expected } = event else { continue };
        if text != expected {
            violations.push(Violation(format!(
                "{program}: turn {turn} got {text:?}, expected {expected:?}"
            )));
        }
        let first = answers.entry((program, *turn)).or_insert(text);
        if *first != text {
            violations.push(Violation(format!("{program}: turn {turn} got two different answers")));
        }
    }
}

/// Checks that at least as many turns are recorded as were acknowledged, that the
/// messages of a history are in order and belong to its program, and that budgets
/// are respected.
fn check_records(events: &[Event], violations: &mut Vec<Violation>) {
    let mut done: HashMap<&str, HashSet<u32>> = HashMap::new();
    for event in events {
        match event {
            Event::Done { program, turn, .. } => {
                done.entry(program).or_default().insert(*turn);
            }
            Event::Spent { program, tokens, budget } if tokens > budget => {
                violations.push(Violation(format!(
                    "{program} spent {tokens} tokens of a budget of {budget}"
                )));
            }
            Event::Recorded { program, turns, messages } => {
                let acknowledged = done.get(program.as_str()).map_or(0, HashSet::len);
                if (*turns as usize) < acknowledged {
                    let text =
                        format!("{program}: {acknowledged} turns acknowledged, {turns} recorded");
                    violations.push(Violation(text));
                }
                check_messages(program, messages, violations);
            }
            _ => {}
        }
    }
}

fn check_messages(program: &str, messages: &[String], violations: &mut Vec<Violation>) {
    let mut last = None;
    for message in messages.iter().filter(|message| message.starts_with("ask ")) {
        let mut words = message.split(' ').skip(1);
        let owner = words.next().unwrap_or_default();
        let turn: Option<u32> = words.next().and_then(|word| word.parse().ok());
        if owner != program {
            violations.push(Violation(format!("{program}: history contains a message of {owner}")));
        }
        if turn <= last {
            violations
                .push(Violation(format!("{program}: history is out of order at {message:?}")));
        }
        last = turn;
    }
}
