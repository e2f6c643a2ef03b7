//! Whether a request goes to another replica. The one place that decides it.

/// How one send ended without an answer that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing reached the replica.
    Unsent,
    /// The replica promises that it did not run the request.
    Unexecuted,
    /// It may have run.
    Unknown,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another replica is tried.
    Retry,
    /// It has not run and never will: the client may come back.
    Refuse,
    /// It may have run: nothing is promised.
    GiveUp,
}

/// Connections that may fail before anything is sent, for one request.
const UNSENT_MAX: u32 = 4;

/// Sends of one client attempt.
#[derive(Clone, Copy, Debug)]
pub struct Tries {
    is_repeatable: bool,
    /// Replicas that it may still be sent to.
    left: u32,
    unsent_left: u32,
    has_maybe_run: bool,
}

impl Tries {
    /// No sends yet; at most `attempts` replicas may get the request, more
    /// than one of them may run it if it is repeatable.
    pub fn new(is_repeatable: bool, attempts: u32) -> Self {
        Tries { is_repeatable, left: attempts, unsent_left: UNSENT_MAX, has_maybe_run: false }
    }

    /// A send begins.
    pub fn begin(&mut self) {
        self.left = self.left.saturating_sub(1);
    }

    /// Whether another send may begin beside or after one that may have run.
    pub fn may_repeat(&self) -> bool {
        self.is_repeatable && self.left > 0
    }

    /// Takes in how a send ended. `is_late` says that no time is left.
    pub fn note(&mut self, outcome: Outcome, is_late: bool) -> Next {
        match outcome {
            Outcome::Unsent => {
                // No replica has got it.
                self.left += 1;
                self.unsent_left = self.unsent_left.saturating_sub(1);
            }
            Outcome::Unexecuted => {}
            Outcome::Unknown => self.has_maybe_run = true,
        }
        let is_allowed = self.is_repeatable || !self.has_maybe_run;
        if is_allowed && !is_late && self.left > 0 && self.unsent_left > 0 {
            Next::Retry
        } else {
            self.end()
        }
    }

    /// What the client is told when no further replica is tried.
    pub fn end(&self) -> Next {
        if self.has_maybe_run { Next::GiveUp } else { Next::Refuse }
    }
}
