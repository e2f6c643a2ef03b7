//! The journal record of a finished turn.

use gg_program::{EndReason, Record, State, TurnRecord};
use gg_protocol::{Answer, Failure, clock::wall_ms};

use super::{
    Step,
    failures::{cancelled, internal},
    run::Outcome,
};
use crate::lock::lock;

impl Step {
    /// Records the finished turn, makes it durable and returns its answer.
    pub(super) async fn record(&self, outcome: Outcome) -> Result<Answer, Failure> {
        let is_chat = matches!(outcome.answer, Answer::Chat { .. });
        let (submitted, records) = {
            let mut program = lock(&self.hosted.program);
            if is_chat && program.state != State::Running {
                return Err(cancelled());
            }
            let now = wall_ms();
            let mut turn = TurnRecord {
                program: self.request.program.clone(),
                customer: program.start.customer.clone(),
                turn: self.running.turn,
                digest: self.running.digest.clone(),
                key: self.running.key.clone(),
                kept: outcome.kept,
                added: outcome.added,
                answer: outcome.answer.clone(),
                upstream: if is_chat { outcome.upstream } else { None },
                spent: outcome.spent,
                at_ms: now,
                took_ms: self.started_at.elapsed().as_millis() as u64,
                waited_ms: outcome.waited_ms,
                chain: String::new(),
            };
            turn.chain = program.next_chain(&turn);
            let mut records = vec![Record::Turn(turn.clone())];
            let single = program.start.single && program.state == State::Running;
            if single {
                let id = program.id().clone();
                records.push(Record::Ended { program: id, reason: EndReason::Single, at_ms: now });
            }
            let submitted = self.home.journal.submit(&records);
            if submitted.is_ok() {
                self.shared().forecast.record_turn(&program.start.profile);
                program.apply_turn(&turn).map_err(|err| internal(&err))?;
                if single {
                    program.state = State::Ended { reason: EndReason::Single, at_ms: now };
                    self.home.record_end(&program, EndReason::Single);
                }
            }
            (submitted, records)
        };
        self.home.durable(submitted, &records).await?;
        Ok(outcome.answer)
    }
}
