//! The end of programs and their sub-agents.

use std::sync::Arc;

use gg_program::{EndReason, Program, Record, State};
use gg_protocol::{Code, Failure, Name, ProgramId, clock::wall_ms};

use super::{Home, Resident};
use crate::lock::lock;

impl Home {
    /// Ends a program and its sub-agents.
    pub(crate) async fn end(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
        reason: EndReason,
    ) -> Result<(), Failure> {
        let resident = self.visible(program, customer)?;
        for child in self.children(program) {
            self.end_one(&child, EndReason::Parent).await?;
        }
        self.end_one(&resident, reason).await
    }

    pub(super) fn children(&self, parent: &ProgramId) -> Vec<Arc<Resident>> {
        let descends = |resident: &Arc<Resident>| {
            let mut next = lock(&resident.program).start.parent.clone();
            while let Some(id) = next {
                if id == *parent {
                    return true;
                }
                let up = self.resident(&id);
                next = up.and_then(|up| lock(&up.program).start.parent.clone());
            }
            false
        };
        self.residents().into_iter().filter(descends).collect()
    }

    pub(super) async fn end_one(
        &self,
        resident: &Arc<Resident>,
        reason: EndReason,
    ) -> Result<(), Failure> {
        if let Some(running) = lock(&resident.running).as_ref() {
            running.cancelled.cancel();
        }
        let (submitted, records) = {
            let mut program = lock(&resident.program);
            if program.state != State::Running {
                return Ok(());
            }
            let at_ms = wall_ms();
            let id = program.id().clone();
            let records = [Record::Ended { program: id, reason, at_ms }];
            let submitted = self.journal.submit(&records);
            if submitted.is_ok() {
                program.state = State::Ended { reason, at_ms };
                self.note_ended(&program, reason);
            }
            (submitted, records)
        };
        self.durable(submitted, &records).await
    }

    /// Logs the end of a program and learns from its shape.
    pub(crate) fn note_ended(&self, program: &Program, reason: EndReason) {
        let busy_ms = program.turns.iter().map(|turn| turn.took_ms - turn.waited_ms).sum();
        let turns = program.turns.len();
        self.shared.forecast.note_program(&program.start.profile, turns, busy_ms);
        self.shared.forecast.note_end(&program.start.profile);
        self.shared.metrics.count("program_ended");
        log::info!(
            "event=end program={} reason={reason:?} turns={turns} spent={} late={}",
            program.id(),
            program.budget.spent,
            wall_ms() > program.start.deadline_ms,
        );
    }
}

pub(crate) fn ended(reason: EndReason) -> Failure {
    Failure::not_run(Code::ProgramEnded, format!("the program has ended ({reason:?})"))
        .help("start a new program")
}
