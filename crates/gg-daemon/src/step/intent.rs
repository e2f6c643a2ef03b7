//! The intent of a call that must not be repeated; it is made durable before
//! the call is sent.

use std::time::Duration;

use gg_journal::JournalError;
use gg_program::{Intent, Record, State};
use gg_protocol::{Failure, ServiceCall, clock::until_ms};

use super::{
    Step,
    failures::{cancelled, mark_not_executed, unrecorded},
    run::Outcome,
};
use crate::lock::lock;

/// Longest wait for an intent to become durable.
const INTENT_TIMEOUT: Duration = Duration::from_secs(2);

impl Step {
    /// Makes the intent durable, or returns a failure that says that the call was
    /// not executed.
    pub(super) async fn commit_intent(&self, call: &ServiceCall) -> Result<(), Failure> {
        let intent = Intent {
            program: self.request.program.clone(),
            turn: self.running.turn,
            digest: self.running.digest.clone(),
            key: self.running.key.clone(),
            service: call.service.clone(),
        };
        let submitted = {
            let mut program = lock(&self.hosted.program);
            if program.state != State::Running {
                return Err(cancelled());
            }
            let submitted = self.home.journal.submit(&[Record::Intent(intent.clone())]);
            if submitted.is_ok() {
                program.intent = Some(intent);
            }
            submitted
        };
        let submitted = match submitted {
            Ok(submitted) => submitted,
            Err(err) => return Err(mark_not_executed(self.home.journal_failure(&err))),
        };
        let timeout = until_ms(self.request.deadline_ms).min(INTENT_TIMEOUT);
        match tokio::time::timeout(timeout, submitted).await {
            Ok(Ok(Ok(_))) => Ok(()),
            Ok(Ok(Err(err))) => Err(mark_not_executed(self.home.journal_failure(&err))),
            Ok(Err(_)) => Err(mark_not_executed(self.home.journal_failure(&JournalError::Closed))),
            Err(_) => {
                self.submit_abort();
                Err(unrecorded())
            }
        }
    }

    /// Aborts an intent whose call was not sent and will not be sent. Returns
    /// `failure`, or the failure that names the new home if the program moved.
    pub(super) async fn abort(&self, failure: Failure) -> Result<Outcome, Failure> {
        let submitted = self.submit_abort();
        let durable = match submitted {
            Some(submitted) => self.home.durable(Ok(submitted), &[]).await,
            None => Ok(()),
        };
        match durable {
            Err(moved) if moved.moved.is_some() => Err(moved),
            _ => Err(failure),
        }
    }

    pub(super) fn submit_abort(
        &self,
    ) -> Option<tokio::sync::oneshot::Receiver<Result<gg_journal::Position, JournalError>>> {
        let mut program = lock(&self.hosted.program);
        let record =
            Record::Aborted { program: self.request.program.clone(), turn: self.running.turn };
        let submitted = self.home.journal.submit(&[record]).ok()?;
        program.intent = None;
        Some(submitted)
    }
}
