//! Views of programs and their turns.

use std::sync::Arc;

use gg_journal::JournalError;
use gg_program::{Budget, Program, State};
use gg_protocol::{Answer, Code, Failure, JournalId, Name, ProgramId, ProgramView, TurnView};

use super::{Home, HostedProgram, MOVE_RETRY_MS};
use crate::lock::lock;

impl Home {
    /// Reads a program. A home that was replaced and doesn't know it yet must
    /// not return outdated state, so it first checks its journal for a seal.
    /// While the platform is unreachable, no other home can have replaced it.
    pub(crate) async fn read(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
    ) -> Result<ProgramView, Failure> {
        let view = self.view_of(program, customer)?;
        match self.journal.verify().await {
            Err(err @ JournalError::Sealed(_)) => Err(self.journal_failure(&err)),
            _ => Ok(view),
        }
    }

    pub(super) fn view_of(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
    ) -> Result<ProgramView, Failure> {
        let hosted = self.visible(program, customer)?;
        let root = lock(&hosted.program).start.root.clone();
        let budget = match self.hosted(&root) {
            Some(root) => lock(&root.program).budget,
            None => Budget::default(),
        };
        let program = lock(&hosted.program);
        Ok(view(&program, budget, self.id()))
    }

    /// Reads the answer of a finished turn.
    pub(crate) fn turn(
        &self,
        program: &ProgramId,
        customer: &Name,
        turn: u32,
    ) -> Result<Answer, Failure> {
        let hosted = self.visible(program, Some(customer))?;
        let running = lock(&hosted.running).as_ref().map(|running| running.turn);
        let program = lock(&hosted.program);
        match program.turns.get(turn as usize) {
            Some(finished) if running != Some(turn) => Ok(finished.answer.clone()),
            _ => {
                let message = format!("turn {turn} is not finished");
                Err(Failure::unknown(Code::NotFound, message).retry_in(MOVE_RETRY_MS))
            }
        }
    }

    pub(super) fn visible(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
    ) -> Result<Arc<HostedProgram>, Failure> {
        let hosted = self.hosted(program).ok_or_else(|| self.not_found(program))?;
        let owner = lock(&hosted.program).start.customer.clone();
        match customer {
            Some(customer) if *customer != owner => Err(self.not_found(program)),
            _ => Ok(hosted),
        }
    }
}

fn view(program: &Program, budget: Budget, home: &JournalId) -> ProgramView {
    let state = match program.state {
        State::Running => "running".into(),
        State::Ended { .. } => "ended".into(),
    };
    let turns = program.turns.iter().enumerate().map(|(index, turn)| TurnView {
        turn: index as u32,
        upstream: turn.upstream.clone(),
        spent: turn.spent,
        at_ms: turn.at_ms,
        took_ms: turn.took_ms,
        waited_ms: turn.waited_ms,
        failed: matches!(turn.answer, Answer::Failed { .. }),
    });
    ProgramView {
        program: program.id().clone(),
        customer: program.start.customer.clone(),
        profile: program.start.profile.clone(),
        parent: program.start.parent.clone(),
        state,
        home: home.clone(),
        next_turn: program.next_turn(),
        start_ms: program.start.at_ms,
        deadline_ms: program.start.deadline_ms,
        budget: budget.limit,
        spent: budget.spent,
        turns: turns.collect(),
        history: program.history.clone(),
    }
}
