//! Failures of steps as reported to callers.

use gg_http::MemoryError;
use gg_protocol::{Code, Failure, Ran};

/// Retry delay given to a caller after an upstream failed.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// Retry delay given to a caller during a platform outage.
const OUTAGE_RETRY_MS: u64 = 5_000;

/// Retry delay given to a caller while histories take all memory that they may. It is
/// released when programs end.
const HISTORY_RETRY_MS: u64 = 5_000;

/// Marks a failure to record as not executed, because the call was not sent
/// yet. Leaves it as it is if the program moved to another home.
pub(super) fn mark_not_executed(failure: Failure) -> Failure {
    match failure.moved {
        Some(_) => failure,
        None => Failure { ran: Ran::No, ..failure },
    }
}

pub(super) fn unrecorded() -> Failure {
    let message = "the call can't be recorded at present, so it was not sent";
    Failure::unexecuted(Code::PlatformUnavailable, message)
        .help("the platform's store is unreachable; retry later")
        .retry_in(OUTAGE_RETRY_MS)
}

/// Failure of a call that was not sent, as what it adds to its program's history doesn't fit.
pub(super) fn history_refused(err: MemoryError) -> Failure {
    match err {
        MemoryError::Full => {
            let message = "no memory is left for the histories of programs";
            Failure::unexecuted(Code::Overloaded, message)
                .help("retry after retry_after seconds, and end programs that are done")
                .retry_in(HISTORY_RETRY_MS)
        }
        MemoryError::TooLarge => {
            let message = "the program's history takes more memory than one may";
            Failure::unexecuted(Code::TooLarge, message).help("start a new program")
        }
    }
}

pub(super) fn quarantined() -> Failure {
    let message =
        "a request with this content was in flight when replicas crashed; it is not run again";
    Failure::unknown(Code::Quarantined, message)
        .help("change the request; retrying it unchanged fails again")
}

pub(super) fn cancelled() -> Failure {
    Failure::unexecuted(Code::Cancelled, "the caller disconnected or the program was ended")
}

pub(super) fn upstream_failed(message: &str) -> Failure {
    Failure::unknown(Code::UpstreamFailed, message)
        .help("retry with the same turn or idempotency key")
        .retry_in(RETRY_AFTER_MS)
}

pub(super) fn internal(err: &gg_program::RecordError) -> Failure {
    Failure::unknown(Code::Internal, err.to_string())
}
