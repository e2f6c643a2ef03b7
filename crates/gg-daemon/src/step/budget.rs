//! Reserves tokens in the root program's budget before a call is sent.

use std::sync::Arc;

use gg_program::{Coverage, Record};
use gg_protocol::{Code, Failure};

use super::{Step, failures::mark_not_executed};
use crate::{home::HostedProgram, lock::lock};

impl Step {
    /// Reserves `bound` tokens in the root program's budget and makes the
    /// reservation durable.
    pub(super) async fn reserve(&self, bound: u64) -> Result<Reservation, Failure> {
        let root = lock(&self.hosted.program).start.root.clone();
        let Some(root) = self.home.hosted(&root) else {
            return Err(Failure::unexecuted(Code::ProgramEnded, "the root program has ended"));
        };
        let guard = root.reserve.lock().await;
        let coverage = {
            let mut program = lock(&root.program);
            let coverage = program.budget.check_coverage(bound).ok_or_else(|| {
                let available = program.budget.available();
                let message = format!("the call may need {bound} tokens and {available} are left");
                Failure::unexecuted(Code::BudgetExhausted, message)
                    .help("ask for fewer max_tokens, or start a program under another profile")
            })?;
            program.budget.begin(bound);
            coverage
        };
        let reservation = Reservation { root: root.clone(), bound, used: None };
        if let Coverage::Reserve { total } = coverage {
            let (submitted, records) = {
                let mut program = lock(&root.program);
                let id = program.id().clone();
                let records = [Record::Reserved { program: id, total }];
                let submitted = self.home.journal.submit(&records);
                if submitted.is_ok() {
                    program.budget.reserved = program.budget.reserved.max(total);
                }
                (submitted, records)
            };
            let durable = self.home.durable(submitted, &records).await;
            if let Err(failure) = durable {
                reservation.release();
                return Err(mark_not_executed(failure));
            }
        }
        drop(guard);
        Ok(reservation)
    }
}

/// Tokens reserved for one call. The budget gets back what the call didn't use
/// once the reservation is dropped. Unless it was released or charged, all of it
/// counts as used: the call may have been sent.
#[must_use = "a reservation that is dropped is charged in full"]
pub(super) struct Reservation {
    root: Arc<HostedProgram>,
    bound: u64,
    used: Option<u64>,
}

impl Reservation {
    /// Charges the tokens that the call used, up to the reservation.
    pub(super) fn charge(mut self, tokens: u64) {
        self.used = Some(tokens.min(self.bound));
    }

    /// Returns all tokens, as no engine has run the call.
    pub(super) fn release(mut self) {
        self.used = Some(0);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.used.unwrap_or(self.bound);
        lock(&self.root.program).budget.settle(self.bound, used);
    }
}
