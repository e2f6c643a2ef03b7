//! Changes that are told only once they are durable, and what is told when
//! they can't be.

use std::{sync::atomic::Ordering, time::Duration};

use gg_journal::JournalError;
use gg_program::Record;
use gg_protocol::{Code, Failure, ProgramId, Ran, StepEvent};

use super::Home;
use crate::outage;

/// Time after which a caller may ask again for a program that changes homes,
/// in ms.
pub(crate) const MOVE_RETRY_MS: u64 = 1_000;

/// Time after which a caller may come back while the platform is out, in ms.
pub(super) const OUTAGE_RETRY_MS: u64 = 5_000;

/// Time between two looks at whether the journal is held up.
const STALL_CHECK: Duration = Duration::from_millis(100);

type Submitted = tokio::sync::oneshot::Receiver<Result<gg_journal::Position, JournalError>>;

impl Home {
    /// Waits until submitted records are durable. While the platform is out
    /// of reach, copies on two other daemons take its place.
    pub(crate) async fn durable(
        &self,
        submitted: Result<Submitted, JournalError>,
        records: &[Record],
    ) -> Result<(), Failure> {
        let mut submitted = submitted.map_err(|err| self.journal_failure(&err))?;
        loop {
            tokio::select! {
                done = &mut submitted => {
                    let done = done.unwrap_or(Err(JournalError::Closed));
                    return match done {
                        Ok(_) => Ok(()),
                        Err(err) => Err(self.journal_failure(&err)),
                    };
                }
                () = tokio::time::sleep(STALL_CHECK), if self.journal.is_stalled() => {
                    let number = self.copied.fetch_add(1, Ordering::SeqCst) + 1;
                    if outage::copy(&self.shared, self.id(), number, records).await {
                        return Ok(());
                    }
                }
                () = tokio::time::sleep(STALL_CHECK), if !self.journal.is_stalled() => {}
            }
        }
    }

    /// What a caller is told about a journal that failed.
    pub(crate) fn journal_failure(&self, err: &JournalError) -> Failure {
        match err {
            JournalError::Sealed(by) => Failure { moved: Some(by.clone()), ..self.moving() },
            JournalError::Closed => self.moving(),
            other => Failure::unknown(Code::PlatformUnavailable, other.to_string())
                .help("ask again with the same turn or idempotency key")
                .retry_in(OUTAGE_RETRY_MS),
        }
    }

    /// The program is on its way to another home.
    pub(crate) fn moving(&self) -> Failure {
        let failure = Failure::unknown(Code::HomeUnavailable, "the program is changing homes")
            .help("ask again with the same turn or idempotency key")
            .retry_in(MOVE_RETRY_MS);
        Failure { moved: self.journal.sealed_by().cloned(), ..failure }
    }

    /// Says that something did not run only while this home surely still
    /// owns the program.
    pub(crate) async fn confirmed(&self, failure: Failure) -> StepEvent {
        if failure.ran != Ran::No || failure.moved.is_some() {
            return StepEvent::Failed(failure);
        }
        match self.journal.verify().await {
            Ok(()) => StepEvent::Failed(failure),
            Err(JournalError::Sealed(by)) => {
                StepEvent::Failed(self.journal_failure(&JournalError::Sealed(by)))
            }
            // In an outage nobody can seal; a peer that still hears from us
            // would not try.
            Err(_) if self.shared.membership.suspects().is_empty() => StepEvent::Failed(failure),
            Err(_) => StepEvent::Failed(Failure { ran: Ran::Unknown, ..failure }),
        }
    }

    /// No such program here, or it is not this customer's.
    pub(crate) fn missing(&self, program: &ProgramId) -> Failure {
        Failure::unknown(Code::NotFound, format!("no program {program}"))
            .help("it may have ended and been forgotten, or belong to another account")
    }
}
