//! Waits until changes are durable before they are reported, and builds the
//! failures for changes that can't be made durable.

use std::{sync::atomic::Ordering, time::Duration};

use gg_journal::JournalError;
use gg_program::Record;
use gg_protocol::{Code, Failure, ProgramId, Ran, StepEvent};

use super::Home;
use crate::outage;

/// Retry delay given to a caller whose program is moving to another home, or
/// whose turn can't start or isn't finished yet.
pub(crate) const MOVE_RETRY_MS: u64 = 1_000;

/// Retry delay given to a caller during a platform outage.
pub(super) const OUTAGE_RETRY_MS: u64 = 5_000;

/// Interval between checks for a stalled journal.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

type Submitted = tokio::sync::oneshot::Receiver<Result<gg_journal::Position, JournalError>>;

impl Home {
    /// Waits until submitted records are durable. During a platform outage,
    /// copies on two other daemons count as durable.
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
                () = tokio::time::sleep(STALL_CHECK_INTERVAL), if self.journal.is_stalled() => {
                    let number = self.last_copy.fetch_add(1, Ordering::SeqCst) + 1;
                    if outage::copy(&self.shared, self.id(), number, records).await {
                        return Ok(());
                    }
                }
                () = tokio::time::sleep(STALL_CHECK_INTERVAL), if !self.journal.is_stalled() => {}
            }
        }
    }

    /// The failure reported to a caller after a journal error.
    pub(crate) fn journal_failure(&self, err: &JournalError) -> Failure {
        match err {
            JournalError::Sealed(by) => Failure { moved: Some(by.clone()), ..self.home_moved() },
            JournalError::Closed => self.home_moved(),
            other => Failure::unknown(Code::PlatformUnavailable, other.to_string())
                .help("retry with the same turn or idempotency key")
                .retry_in(OUTAGE_RETRY_MS),
        }
    }

    /// The failure reported while the program moves to another home.
    pub(crate) fn home_moved(&self) -> Failure {
        let failure =
            Failure::unknown(Code::HomeUnavailable, "the program is moving to another home")
                .help("retry with the same turn or idempotency key")
                .retry_in(MOVE_RETRY_MS);
        Failure { moved: self.journal.sealed_by().cloned(), ..failure }
    }

    /// Reports a step as not executed only if this home is certain to still own
    /// the program. Another home may have executed the step otherwise.
    pub(crate) async fn confirm_failure(&self, failure: Failure) -> StepEvent {
        if failure.ran != Ran::No || failure.moved.is_some() {
            return StepEvent::Failed(failure);
        }
        match self.journal.verify().await {
            Ok(()) => StepEvent::Failed(failure),
            Err(JournalError::Sealed(by)) => {
                StepEvent::Failed(self.journal_failure(&JournalError::Sealed(by)))
            }
            // During a platform outage no daemon can seal this journal, and
            // peers that still exchange probes with this daemon don't try to.
            Err(_) if self.shared.membership.suspects().is_empty() => StepEvent::Failed(failure),
            Err(_) => StepEvent::Failed(Failure { ran: Ran::Unknown, ..failure }),
        }
    }

    /// The failure for a program that is not here or that belongs to another
    /// customer.
    pub(crate) fn not_found(&self, program: &ProgramId) -> Failure {
        Failure::unknown(Code::NotFound, format!("no program {program}"))
            .help("it may have been removed after its end, or belong to another account")
    }
}
