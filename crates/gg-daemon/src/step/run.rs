//! A step's walk: its call is carried out, recorded and answered.

use std::sync::Arc;

use gg_program::EndReason;
use gg_protocol::{
    Answer, Call, Code, Failure, Name, Profile, Ran, StepEvent, StepRequest, Upstream,
    clock::until_ms,
};
use tokio::time::Instant;

use super::failures::{RETRY_MS, upstream_failed};
use crate::{
    home::{Home, Resident},
    lock::lock,
    running::Running,
    shared::Shared,
};

/// Maximum attempts for one call, including the first.
pub(super) const TRIES_MAX: usize = 4;

/// A step under way at its home.
pub(crate) struct Step {
    pub(super) home: Arc<Home>,
    pub(super) resident: Arc<Resident>,
    pub(super) running: Arc<Running>,
    pub(super) request: StepRequest,
    pub(super) began: Instant,
}

/// A step's answer with what its record needs.
pub(super) struct Outcome {
    pub(super) answer: Answer,
    pub(super) kept: usize,
    pub(super) added: Vec<gg_protocol::Message>,
    pub(super) upstream: Option<Name>,
    pub(super) spent: u64,
    pub(super) waited_ms: u64,
}

impl Step {
    pub(crate) fn new(
        home: Arc<Home>,
        resident: Arc<Resident>,
        running: Arc<Running>,
        request: StepRequest,
    ) -> Self {
        Step { home, resident, running, request, began: Instant::now() }
    }

    /// Executes the call, records its outcome and wakes everyone who waits.
    pub(crate) async fn run(self) {
        let carried = match &self.request.call {
            Call::Chat(call) => self.chat(call).await,
            Call::Service(call) => self.service(call).await,
        };
        let recorded = match carried {
            Ok(outcome) => self.record(outcome).await,
            Err(failure) => Err(failure),
        };
        let last = match recorded {
            Ok(answer) => StepEvent::Done { turn: self.running.turn, answer },
            Err(failure) => self.home.confirmed(failure).await,
        };
        self.log_end(&last);
        self.resident.clear_running();
        self.running.finish(last);
    }

    pub(super) fn log_end(&self, last: &StepEvent) {
        let (result, ran) = match last {
            StepEvent::Failed(failure) => (failure.code.as_str(), failure.ran.as_str()),
            _ => ("done", Ran::Yes.as_str()),
        };
        self.shared().metrics.count("step");
        log::info!(
            "event=step program={} turn={} kind={} result={result} ran={ran} took_ms={}",
            self.request.program,
            self.running.turn,
            kind(&self.request.call),
            self.began.elapsed().as_millis(),
        );
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.home.shared
    }

    /// Profile of the program, with the limits on turns checked.
    pub(super) async fn profile(&self) -> Result<Profile, Failure> {
        let (name, turns, repeats) = {
            let program = lock(&self.resident.program);
            let last = program.turns.last();
            let again = last.is_some_and(|turn| turn.digest == self.running.digest);
            let repeats = if again { program.repeats + 1 } else { 0 };
            (program.start.profile.clone(), program.next_turn(), repeats)
        };
        let config = self.shared().config.get();
        let profile = config.profile(&name).cloned().ok_or_else(|| {
            Failure::not_run(Code::NotFound, format!("profile {name} is no longer configured"))
        })?;
        if turns >= profile.max_turns || repeats >= profile.max_repeats {
            let _ = self.home.end(&self.request.program, None, EndReason::Limit).await;
            let message = format!("the program has reached a limit of profile {name}");
            return Err(Failure::not_run(Code::LimitReached, message)
                .help("the program was ended: too many turns, or one repeated too often"));
        }
        Ok(profile)
    }

    /// Whether the call may be tried elsewhere.
    pub(super) fn may_retry(&self, upstream: &Name, reason: &str) -> Result<(), Failure> {
        log::warn!(
            "event=retry program={} turn={} replica={upstream} reason={reason:?}",
            self.request.program,
            self.running.turn,
        );
        self.shared().metrics.count("retry");
        if until_ms(self.request.deadline_ms).is_zero() {
            return Err(Failure::unknown(Code::DeadlineExceeded, "the request's time is over")
                .retry_in(RETRY_MS));
        }
        if !self.running.restart() {
            return Err(upstream_failed("the replica was lost after part of the answer"));
        }
        match lock(&self.shared().retries).spend() {
            true => Ok(()),
            false => Err(upstream_failed("too many calls are being tried again")),
        }
    }
}

pub(super) fn owned(upstreams: Vec<(Name, &Upstream)>) -> Vec<(Name, Upstream)> {
    upstreams.into_iter().map(|(name, upstream)| (name, upstream.clone())).collect()
}

/// A call's kind, for logs.
fn kind(call: &Call) -> &'static str {
    match call {
        Call::Chat(_) => "chat",
        Call::Service(_) => "service",
    }
}
