//! Turn order, history and replay.

use gg_program::{
    Book, EndReason, Intent, Place, Program, Record, RuleError, Start, State, TurnRecord,
    call_digest,
};
use gg_protocol::{Answer, Call, ChatCall, JournalId, ProgramId, Ran, ServiceCall, Usage};
use proptest::prelude::*;
use serde_json::json;

fn program_id(number: u64) -> ProgramId {
    ProgramId { birth: JournalId { instance: "a".into(), incarnation: 1 }, number }
}

fn start(number: u64, customer: &str) -> Start {
    Start {
        program: program_id(number),
        customer: customer.into(),
        profile: "urgent".into(),
        parent: None,
        root: program_id(number),
        key: None,
        at_ms: 0,
        deadline_ms: 1_000,
        budget: 10_000,
        block: 1_000,
        single: false,
    }
}

fn turn(program: &Program, content: &str) -> TurnRecord {
    let usage = Usage { prompt_tokens: 3, completion_tokens: 2, cached_tokens: 0 };
    let answer = Answer::Chat {
        model: "m1".into(),
        text: format!("answer to {content}"),
        finish: "stop".into(),
        usage,
    };
    let mut record = TurnRecord {
        program: program.id().clone(),
        customer: program.start.customer.clone(),
        turn: program.next_turn(),
        digest: content.into(),
        key: None,
        kept: program.history.len(),
        added: vec![json!({"role": "user", "content": content})],
        answer,
        upstream: Some("e1".into()),
        spent: 5,
        at_ms: 10,
        took_ms: 5,
        waited_ms: 1,
        chain: String::new(),
    };
    record.chain = program.link(&record);
    record
}

#[test]
fn places_in_order() {
    let mut program = Program::new(start(1, "ukhozi"));
    assert_eq!(program.place(Some(0), None, "x"), Place::Next(0));
    assert_eq!(program.place(Some(2), None, "x"), Place::Ahead { expected: 0 });
    let record = turn(&program, "x");
    program.apply_turn(&record).expect("a turn");
    assert_eq!(program.place(Some(0), None, "x"), Place::Finished(0));
    assert_eq!(program.place(Some(0), None, "y"), Place::Conflict(0));
    assert_eq!(program.place(None, None, "x"), Place::Next(1));
}

#[test]
fn mixed_history_refused() {
    let mut ours = Program::new(start(1, "ukhozi"));
    let theirs = Program::new(start(2, "nyabugogo"));
    let mut foreign = turn(&theirs, "x");
    foreign.program = ours.id().clone();
    let refused = ours.apply_turn(&foreign);
    assert_eq!(refused, Err(RuleError::BrokenChain(ours.id().clone(), 0)));
}

#[test]
fn missing_turn_refused() {
    let mut program = Program::new(start(1, "ukhozi"));
    let first = turn(&program, "x");
    let mut ahead = program.clone();
    ahead.apply_turn(&first).expect("a turn");
    let second = turn(&ahead, "y");
    let refused = program.apply_turn(&second);
    assert_eq!(refused, Err(RuleError::OutOfOrder(program.id().clone(), 1, 0)));
}

#[test]
fn whole_conversation_recognised() {
    let mut program = Program::new(start(1, "ukhozi"));
    let record = turn(&program, "x");
    program.apply_turn(&record).expect("a turn");
    let mut messages = program.history.clone();
    messages.push(json!({"role": "user", "content": "y"}));
    let call = ChatCall {
        model: "m1".into(),
        messages: messages.clone(),
        max_tokens: 4,
        append: false,
        options: Default::default(),
    };
    let prompt = program.prompt(&call);
    assert_eq!(prompt.kept, 2);
    assert_eq!(prompt.messages, messages);
    let append = ChatCall { append: true, messages: messages.split_off(2), ..call };
    assert_eq!(program.prompt(&append), prompt);
}

#[test]
fn lost_outcome_is_unknown() {
    let mut book = Book::default();
    let call = Call::Service(ServiceCall {
        service: "orders".into(),
        path: String::new(),
        body: "lorry".into(),
        idempotent: false,
    });
    let intent = Intent {
        program: program_id(1),
        turn: 0,
        digest: call_digest(&call),
        key: None,
        service: "orders".into(),
    };
    book.apply(Record::Started(start(1, "ukhozi"))).expect("a start");
    book.apply(Record::Intent(intent.clone())).expect("an intent");
    book.take_over(99).expect("a new owner");
    let program = &book.programs[&program_id(1)];
    assert_eq!(program.place(Some(0), None, &intent.digest), Place::Finished(0));
    let Answer::Failed { failure } = &program.turns[0].answer else { panic!("an answer") };
    assert_eq!(failure.ran, Ran::Unknown);
}

#[test]
fn taken_back_intent_runs_again() {
    let mut book = Book::default();
    let intent = Intent {
        program: program_id(1),
        turn: 0,
        digest: "d".into(),
        key: None,
        service: "orders".into(),
    };
    book.apply(Record::Started(start(1, "ukhozi"))).expect("a start");
    book.apply(Record::Intent(intent)).expect("an intent");
    book.apply(Record::Aborted { program: program_id(1), turn: 0 }).expect("an abort");
    book.take_over(99).expect("a new owner");
    assert_eq!(book.programs[&program_id(1)].place(Some(0), None, "d"), Place::Next(0));
}

proptest! {
    /// Replaying records, any of them twice in a row, and replaying a
    /// snapshot with the records after it, all give the same program.
    #[test]
    fn replay_is_idempotent(count in 0_usize..12, twice in any::<u16>(), cut in 0_usize..12) {
        let mut live = Program::new(start(1, "ukhozi"));
        let mut records = vec![Record::Started(start(1, "ukhozi"))];
        let mut snapshot = live.clone();
        for number in 0..count {
            let record = turn(&live, &format!("turn {number}"));
            live.apply_turn(&record).expect("a turn");
            live.budget.charge(record.spent);
            records.push(Record::Turn(record));
            if number < cut {
                snapshot = live.clone();
            }
        }
        let mut book = Book::default();
        for (index, record) in records.iter().enumerate() {
            book.apply(record.clone()).expect("a record");
            if twice >> (index % 16) & 1 == 1 {
                book.apply(record.clone()).expect("the record again");
            }
        }
        prop_assert_eq!(&book.programs[&program_id(1)], &live);
        let mut short = Book::default();
        short.apply(Record::Snapshot(Box::new(snapshot))).expect("a snapshot");
        short.apply_all(records).expect("all records");
        prop_assert_eq!(&short.programs[&program_id(1)], &live);
    }
}

#[test]
fn ended_takes_nothing() {
    let mut book = Book::default();
    book.apply(Record::Started(start(1, "ukhozi"))).expect("a start");
    let ended = Record::Ended { program: program_id(1), reason: EndReason::Idle, at_ms: 5 };
    book.apply(ended).expect("an end");
    let program = &book.programs[&program_id(1)];
    assert_eq!(program.state, State::Ended { reason: EndReason::Idle, at_ms: 5 });
    assert_eq!(program.place(None, None, "x"), Place::Ended(EndReason::Idle));
}
