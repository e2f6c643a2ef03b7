//! Turn order, history and replay.

use gg_program::{
    EndReason, Intent, Program, ProgramTable, Record, RecordError, Start, State, TurnRecord,
    TurnStatus, call_digest,
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
    record.chain = program.next_chain(&record);
    record
}

#[test]
fn requests_follow_turn_order() {
    let mut program = Program::new(start(1, "ukhozi"));
    assert_eq!(program.turn_status(Some(0), None, "x"), TurnStatus::Next(0));
    assert_eq!(program.turn_status(Some(2), None, "x"), TurnStatus::Ahead { expected: 0 });
    let record = turn(&program, "x");
    program.apply_turn(&record).expect("turn applies");
    assert_eq!(program.turn_status(Some(0), None, "x"), TurnStatus::Finished(0));
    assert_eq!(program.turn_status(Some(0), None, "y"), TurnStatus::Conflict(0));
    assert_eq!(program.turn_status(None, None, "x"), TurnStatus::Next(1));
}

#[test]
fn foreign_turn_rejected() {
    let mut target = Program::new(start(1, "ukhozi"));
    let other = Program::new(start(2, "nyabugogo"));
    let mut foreign = turn(&other, "x");
    foreign.program = target.id().clone();
    let refused = target.apply_turn(&foreign);
    assert_eq!(refused, Err(RecordError::BrokenChain(target.id().clone(), 0)));
}

#[test]
fn turn_gap_rejected() {
    let mut program = Program::new(start(1, "ukhozi"));
    let first = turn(&program, "x");
    let mut reference = program.clone();
    reference.apply_turn(&first).expect("turn applies");
    let second = turn(&reference, "y");
    let refused = program.apply_turn(&second);
    assert_eq!(refused, Err(RecordError::OutOfOrder(program.id().clone(), 1, 0)));
}

#[test]
fn whole_conversation_matches_append() {
    let mut program = Program::new(start(1, "ukhozi"));
    let record = turn(&program, "x");
    program.apply_turn(&record).expect("turn applies");
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
    assert_eq!(prompt.prefix_len, 2);
    assert_eq!(prompt.messages, messages);
    let append = ChatCall { append: true, messages: messages.split_off(2), ..call };
    assert_eq!(program.prompt(&append), prompt);
}

#[test]
fn lost_intent_has_unknown_outcome() {
    let mut table = ProgramTable::default();
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
    table.apply(Record::Started(start(1, "ukhozi"))).expect("start record applies");
    table.apply(Record::Intent(intent.clone())).expect("intent record applies");
    table.change_owner(99).expect("take-over succeeds");
    let program = &table.programs[&program_id(1)];
    assert_eq!(program.turn_status(Some(0), None, &intent.digest), TurnStatus::Finished(0));
    let Answer::Failed { failure } = &program.turns[0].answer else {
        panic!("expected a failed answer")
    };
    assert_eq!(failure.ran, Ran::Unknown);
}

#[test]
fn aborted_intent_allows_retry() {
    let mut table = ProgramTable::default();
    let intent = Intent {
        program: program_id(1),
        turn: 0,
        digest: "d".into(),
        key: None,
        service: "orders".into(),
    };
    table.apply(Record::Started(start(1, "ukhozi"))).expect("start record applies");
    table.apply(Record::Intent(intent)).expect("intent record applies");
    table.apply(Record::Aborted { program: program_id(1), turn: 0 }).expect("abort record applies");
    table.change_owner(99).expect("take-over succeeds");
    assert_eq!(table.programs[&program_id(1)].turn_status(Some(0), None, "d"), TurnStatus::Next(0));
}

proptest! {
    /// Replaying the records, with any of them applied twice in a row, and
    /// replaying a snapshot followed by all records, give the same program as
    /// applying the turns directly.
    #[test]
    fn replay_is_idempotent(count in 0_usize..12, repeat_mask in any::<u16>(), cut in 0_usize..12) {
        let mut original = Program::new(start(1, "ukhozi"));
        let mut records = vec![Record::Started(start(1, "ukhozi"))];
        let mut snapshot = original.clone();
        for number in 0..count {
            let record = turn(&original, &format!("turn {number}"));
            original.apply_turn(&record).expect("turn applies");
            original.budget.charge(record.spent);
            records.push(Record::Turn(record));
            if number < cut {
                snapshot = original.clone();
            }
        }
        let mut table = ProgramTable::default();
        for (index, record) in records.iter().enumerate() {
            table.apply(record.clone()).expect("record applies");
            if repeat_mask >> (index % 16) & 1 == 1 {
                table.apply(record.clone()).expect("repeated record applies");
            }
        }
        prop_assert_eq!(&table.programs[&program_id(1)], &original);
        let mut restored = ProgramTable::default();
        restored.apply(Record::Snapshot(Box::new(snapshot))).expect("snapshot applies");
        restored.apply_all(records).expect("all records apply");
        prop_assert_eq!(&restored.programs[&program_id(1)], &original);
    }
}

#[test]
fn ended_program_rejects_turns() {
    let mut table = ProgramTable::default();
    table.apply(Record::Started(start(1, "ukhozi"))).expect("start record applies");
    let ended = Record::Ended { program: program_id(1), reason: EndReason::Idle, at_ms: 5 };
    table.apply(ended).expect("end record applies");
    let program = &table.programs[&program_id(1)];
    assert_eq!(program.state, State::Ended { reason: EndReason::Idle, at_ms: 5 });
    assert_eq!(program.turn_status(None, None, "x"), TurnStatus::Ended(EndReason::Idle));
}

/// The dispatcher measures the wait: its clock goes on while the home's machine
/// is suspended.
#[test]
fn wait_longer_than_turn_counts_no_busy_time() {
    let mut program = Program::new(start(1, "ukhozi"));
    for (took_ms, waited_ms) in [(20, 5), (5, 3_000)] {
        let record = turn(&program, "ask");
        program.apply_turn(&TurnRecord { took_ms, waited_ms, ..record }).expect("in order");
    }
    assert_eq!(program.busy_ms(), 15);
}
