//! State of all programs of one journal, built by applying its records.

use gg_protocol::{JournalId, ProgramId};
use indexmap::{IndexMap, IndexSet};

use crate::{Program, Record, RecordError, State, TurnRecord};

/// State that results from applying the records of a journal.
#[derive(Clone, Debug, Default)]
pub struct ProgramTable {
    /// Programs by identifier.
    pub programs: IndexMap<ProgramId, Program>,
    /// Journals whose adoption has started but not finished.
    pub adopting: IndexSet<JournalId>,
}

impl ProgramTable {
    /// Applies records in order.
    pub fn apply_all(&mut self, records: Vec<Record>) -> Result<(), RecordError> {
        records.into_iter().try_for_each(|record| self.apply(record))
    }

    /// Applies one record. Applying a record again has no effect.
    pub fn apply(&mut self, record: Record) -> Result<(), RecordError> {
        match record {
            Record::Started(start) => {
                let id = start.program.clone();
                self.programs.entry(id).or_insert_with(|| Program::new(start));
            }
            Record::Reserved { program, total } => {
                let budget = &mut self.get(&program)?.budget;
                budget.reserved = budget.reserved.max(total);
            }
            Record::Intent(intent) => {
                let program = self.get(&intent.program)?;
                if intent.turn >= program.next_turn() {
                    program.intent = Some(intent);
                }
            }
            Record::Aborted { program, turn } => {
                let program = self.get(&program)?;
                program.intent.take_if(|intent| intent.turn == turn);
            }
            Record::Turn(turn) => self.apply_turn(&turn)?,
            Record::Ended { program, reason, at_ms } => {
                self.get(&program)?.state = State::Ended { reason, at_ms };
            }
            Record::Released { program, upstream } => {
                self.get(&program)?.upstreams.retain(|known| *known != upstream);
            }
            Record::Forgotten { program } => {
                self.programs.shift_remove(&program);
            }
            Record::Adopting { journal } => {
                self.adopting.insert(journal);
            }
            Record::Adopted { journal } => {
                self.adopting.shift_remove(&journal);
            }
            Record::Snapshot(program) => {
                self.programs.insert(program.id().clone(), *program);
            }
        }
        Ok(())
    }

    fn apply_turn(&mut self, turn: &TurnRecord) -> Result<(), RecordError> {
        let program = self.get(&turn.program)?;
        if turn.turn < program.next_turn() {
            return Ok(());
        }
        program.apply_turn(turn)?;
        let root = program.start.root.clone();
        self.get(&root)?.budget.charge(turn.spent);
        Ok(())
    }

    fn get(&mut self, program: &ProgramId) -> Result<&mut Program, RecordError> {
        self.programs.get_mut(program).ok_or_else(|| RecordError::Missing(program.clone()))
    }

    /// Prepares the programs for a new owner: reserved budget counts as spent,
    /// and calls whose outcome was lost fail with an unknown outcome.
    pub fn change_owner(&mut self, now_ms: u64) -> Result<(), RecordError> {
        for program in self.programs.values_mut() {
            program.budget.charge_reserved();
            if let Some(record) = program.resolve_intent(now_ms) {
                program.apply_turn(&record)?;
            }
        }
        Ok(())
    }
}
