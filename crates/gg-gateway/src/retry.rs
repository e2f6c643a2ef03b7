//! Decides whether a request is retried on another replica. No other module
//! decides this.

/// How a send ended without a response that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing was sent to the replica.
    Unsent,
    /// The replica guarantees that it did not execute the request.
    Unexecuted,
    /// The request may have been executed.
    Unknown,
}

/// What to do after a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another replica.
    Retry,
    /// The request was not executed: the client may retry.
    Refuse,
    /// The request may have been executed: nothing is guaranteed to the client.
    Abandon,
}

/// Maximum number of connection attempts of one request that may fail before
/// anything is sent.
const UNSENT_MAX: u32 = 4;

/// Sends of one client request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    is_repeatable: bool,
    /// Number of replicas that it may still be sent to.
    sends_left: u32,
    unsent_left: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Starts without sends. At most `attempts` replicas receive the request;
    /// only a repeatable request may be executed by more than one of them.
    pub fn new(is_repeatable: bool, attempts: u32) -> Self {
        Attempts {
            is_repeatable,
            sends_left: attempts,
            unsent_left: UNSENT_MAX,
            may_have_run: false,
        }
    }

    /// Records that a send begins.
    pub fn begin_send(&mut self) {
        self.sends_left = self.sends_left.saturating_sub(1);
    }

    /// Whether another send may begin in parallel to or after one that may have
    /// been executed.
    pub fn may_repeat(&self) -> bool {
        self.is_repeatable && self.sends_left > 0
    }

    /// Records how a send ended. `is_late` means that no time remains.
    pub fn record(&mut self, outcome: Outcome, is_late: bool) -> RetryDecision {
        match outcome {
            Outcome::Unsent => {
                // No replica received it.
                self.sends_left += 1;
                self.unsent_left = self.unsent_left.saturating_sub(1);
            }
            Outcome::Unexecuted => {}
            Outcome::Unknown => self.may_have_run = true,
        }
        let is_allowed = self.is_repeatable || !self.may_have_run;
        if is_allowed && !is_late && self.sends_left > 0 && self.unsent_left > 0 {
            RetryDecision::Retry
        } else {
            self.final_decision()
        }
    }

    /// The decision when no further replica is tried.
    pub fn final_decision(&self) -> RetryDecision {
        if self.may_have_run { RetryDecision::Abandon } else { RetryDecision::Refuse }
    }
}
