//! Ends of directory outages. A watch that was open during an outage may never
//! be answered, although the directory is back.

use tokio::sync::watch;

/// Notices when the directory responds again after calls were left unanswered.
/// Shared by the followers of all kinds in a process.
#[derive(Debug)]
pub(crate) struct Outages {
    state: watch::Sender<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    is_out: bool,
    /// Number of outages that have ended.
    ended: u64,
}

impl Default for Outages {
    fn default() -> Self {
        Outages { state: watch::Sender::new(State::default()) }
    }
}

impl Outages {
    /// Records whether the directory responded to a call.
    pub(crate) fn record(&self, has_responded: bool) {
        self.state.send_if_modified(|state| {
            let has_returned = state.is_out && has_responded;
            state.is_out = !has_responded;
            state.ended += u64::from(has_returned);
            has_returned
        });
    }

    /// Whether the last call had no response.
    pub(crate) fn is_out(&self) -> bool {
        self.state.borrow().is_out
    }

    /// Resolves when the next outage ends.
    pub(crate) async fn next_end(&self) {
        let mut state = self.state.subscribe();
        // The sender lives as long as `self`.
        let _ = state.changed().await;
    }
}
