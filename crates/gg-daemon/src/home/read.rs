//! Views of programs and their turns.

use std::sync::Arc;

use gg_journal::JournalError;
use gg_program::{Budget, Program, State};
use gg_protocol::{Answer, Code, Failure, JournalId, Name, ProgramId, ProgramView, TurnView};

use super::{Home, MOVE_RETRY_MS, Resident};
use crate::lock::lock;

impl Home {
    /// Reads a program. A home that was replaced and doesn't know it yet must
    /// not show an old state, so the platform is asked; while it is out of
    /// reach nobody can have replaced us.
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
        let resident = self.visible(program, customer)?;
        let root = lock(&resident.program).start.root.clone();
        let budget = match self.resident(&root) {
            Some(root) => lock(&root.program).budget,
            None => Budget::default(),
        };
        let program = lock(&resident.program);
        Ok(view(&program, budget, self.id()))
    }

    /// Reads the answer of a finished turn.
    pub(crate) fn turn(
        &self,
        program: &ProgramId,
        customer: &Name,
        turn: u32,
    ) -> Result<Answer, Failure> {
        let resident = self.visible(program, Some(customer))?;
        let running = lock(&resident.running).as_ref().map(|running| running.turn);
        let program = lock(&resident.program);
        match program.turns.get(turn as usize) {
            Some(done) if running != Some(turn) => Ok(done.answer.clone()),
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
    ) -> Result<Arc<Resident>, Failure> {
        let resident = self.resident(program).ok_or_else(|| self.missing(program))?;
        let owner = lock(&resident.program).start.customer.clone();
        match customer {
            Some(customer) if *customer != owner => Err(self.missing(program)),
            _ => Ok(resident),
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
