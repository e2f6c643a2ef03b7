//! Ends programs and their sub-agents.

use std::sync::Arc;

use gg_program::{EndReason, Program, Record, State};
use gg_protocol::{Code, Failure, Name, ProgramId, clock::wall_ms};

use super::{Home, HostedProgram};
use crate::lock::lock;

impl Home {
    /// Ends a program and its sub-agents.
    pub(crate) async fn end(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
        reason: EndReason,
    ) -> Result<(), Failure> {
        let hosted = self.visible(program, customer)?;
        for descendant in self.descendants(program) {
            self.end_program(&descendant, EndReason::Parent).await?;
        }
        self.end_program(&hosted, reason).await
    }

    pub(super) fn descendants(&self, parent: &ProgramId) -> Vec<Arc<HostedProgram>> {
        let is_descendant = |hosted: &Arc<HostedProgram>| {
            let mut ancestor = lock(&hosted.program).start.parent.clone();
            while let Some(id) = ancestor {
                if id == *parent {
                    return true;
                }
                let parent_program = self.hosted(&id);
                ancestor = parent_program
                    .and_then(|parent_program| lock(&parent_program.program).start.parent.clone());
            }
            false
        };
        self.hosted_programs().into_iter().filter(is_descendant).collect()
    }

    pub(super) async fn end_program(
        &self,
        hosted: &Arc<HostedProgram>,
        reason: EndReason,
    ) -> Result<(), Failure> {
        if let Some(running) = lock(&hosted.running).as_ref() {
            running.cancelled.cancel();
        }
        let (submitted, records) = {
            let mut program = lock(&hosted.program);
            if program.state != State::Running {
                return Ok(());
            }
            let at_ms = wall_ms();
            let id = program.id().clone();
            let records = [Record::Ended { program: id, reason, at_ms }];
            let submitted = self.journal.submit(&records);
            if submitted.is_ok() {
                program.state = State::Ended { reason, at_ms };
                self.record_end(&program, reason);
            }
            (submitted, records)
        };
        self.durable(submitted, &records).await
    }

    /// Logs and counts the end of a program, and updates the forecast with its
    /// turns.
    pub(crate) fn record_end(&self, program: &Program, reason: EndReason) {
        let turns = program.turns.len();
        self.shared.forecast.record_program(&program.start.profile, turns, program.busy_ms());
        self.shared.forecast.record_end(&program.start.profile);
        self.shared.metrics.count("program_ended");
        log::info!(
            "event=end program={} reason={reason:?} turns={turns} spent={} late={}",
            program.id(),
            program.budget.spent,
            wall_ms() > program.start.deadline_ms,
        );
    }
}

pub(crate) fn program_ended(reason: EndReason) -> Failure {
    Failure::unexecuted(Code::ProgramEnded, format!("the program has ended ({reason:?})"))
        .help("start a new program")
}
