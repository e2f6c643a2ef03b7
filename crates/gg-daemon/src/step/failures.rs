//! What callers are told of a step that failed.

use gg_protocol::{Code, Failure, Ran};

/// Time after which a caller may try again after a failed upstream, in ms.
pub(super) const RETRY_MS: u64 = 1_000;

/// Time after which a caller may come back while the platform is out, in ms.
const OUTAGE_RETRY_MS: u64 = 5_000;

/// Nothing was sent yet, so a failure to record means that nothing ran.
pub(super) fn not_run_yet(failure: Failure) -> Failure {
    match failure.moved {
        Some(_) => failure,
        None => Failure { ran: Ran::No, ..failure },
    }
}

pub(super) fn unrecorded() -> Failure {
    let message = "the call can't be recorded now, so it was not sent";
    Failure::not_run(Code::PlatformUnavailable, message)
        .help("the platform's store is out of reach; ask again later")
        .retry_in(OUTAGE_RETRY_MS)
}

pub(super) fn quarantined() -> Failure {
    let message = "this content was under way when replicas crashed and is not run again";
    Failure::unknown(Code::Quarantined, message).help("change the request; asking again is no use")
}

pub(super) fn cancelled() -> Failure {
    Failure::not_run(Code::Cancelled, "the caller went away or the program was ended")
}

pub(super) fn upstream_failed(message: &str) -> Failure {
    Failure::unknown(Code::UpstreamFailed, message)
        .help("ask again with the same turn or idempotency key")
        .retry_in(RETRY_MS)
}

pub(super) fn internal(err: &gg_program::RuleError) -> Failure {
    Failure::unknown(Code::Internal, err.to_string())
}
