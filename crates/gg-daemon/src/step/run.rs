//! Runs a step: executes its call, records the outcome and reports it.

use std::sync::Arc;

use gg_program::EndReason;
use gg_protocol::{
    Answer, Call, Code, Failure, Name, Profile, Ran, StepEvent, StepRequest, Upstream,
    clock::until_ms,
};
use tokio::time::Instant;

use super::failures::{RETRY_AFTER_MS, upstream_failed};
use crate::{
    home::{Home, HostedProgram},
    lock::lock,
    running::RunningStep,
    shared::Shared,
};

/// Maximum attempts for one call, including the first.
pub(super) const ATTEMPTS_MAX: usize = 4;

/// A step in progress at its home.
pub(crate) struct Step {
    pub(super) home: Arc<Home>,
    pub(super) hosted: Arc<HostedProgram>,
    pub(super) running: Arc<RunningStep>,
    pub(super) request: StepRequest,
    pub(super) started_at: Instant,
}

/// A step's answer with the data for its record.
pub(super) struct Outcome {
    pub(super) answer: Answer,
    /// Number of messages of the program's history that the turn keeps.
    pub(super) kept: usize,
    /// Messages that the turn adds to them.
    pub(super) added: Vec<gg_protocol::Message>,
    pub(super) upstream: Option<Name>,
    pub(super) spent: u64,
    pub(super) waited_ms: u64,
}

impl Step {
    pub(crate) fn new(
        home: Arc<Home>,
        hosted: Arc<HostedProgram>,
        running: Arc<RunningStep>,
        request: StepRequest,
    ) -> Self {
        Step { home, hosted, running, request, started_at: Instant::now() }
    }

    /// Executes the call, records its outcome and publishes the last event to all
    /// subscribers.
    pub(crate) async fn run(self) {
        let executed = match &self.request.call {
            Call::Chat(call) => self.chat(call).await,
            Call::Service(call) => self.service(call).await,
        };
        let recorded = match executed {
            Ok(outcome) => self.record(outcome).await,
            Err(failure) => Err(failure),
        };
        let last = match recorded {
            Ok(answer) => StepEvent::Done { turn: self.running.turn, answer },
            Err(failure) => self.home.confirm_failure(failure).await,
        };
        self.log_end(&last);
        self.hosted.settle_memory();
        self.hosted.clear_running();
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
            self.started_at.elapsed().as_millis(),
        );
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.home.shared
    }

    /// Returns the program's profile. Fails and ends the program if it has reached
    /// the profile's limit on turns or on repeats of the same call.
    pub(super) async fn profile(&self) -> Result<Profile, Failure> {
        let (name, turns, repeats) = {
            let program = lock(&self.hosted.program);
            let last = program.turns.last();
            let is_repeat = last.is_some_and(|turn| turn.digest == self.running.digest);
            let repeats = if is_repeat { program.repeats + 1 } else { 0 };
            (program.start.profile.clone(), program.next_turn(), repeats)
        };
        let config = self.shared().config.get();
        let profile = config.profile(&name).cloned().ok_or_else(|| {
            Failure::unexecuted(Code::NotFound, format!("profile {name} is no longer configured"))
        })?;
        if turns >= profile.max_turns || repeats >= profile.max_repeats {
            let _ = self.home.end(&self.request.program, None, EndReason::Limit).await;
            let message = format!("the program has reached a limit of profile {name}");
            return Err(Failure::unexecuted(Code::LimitReached, message)
                .help("the program was ended: too many turns, or one repeated too often"));
        }
        Ok(profile)
    }

    /// Checks whether the call may be retried on another replica. If it may,
    /// discards the text generated so far and spends from the retry budget.
    pub(super) fn check_retry(&self, upstream: &Name, reason: &str) -> Result<(), Failure> {
        log::warn!(
            "event=retry program={} turn={} replica={upstream} reason={reason:?}",
            self.request.program,
            self.running.turn,
        );
        self.shared().metrics.count("retry");
        if until_ms(self.request.deadline_ms).is_zero() {
            return Err(Failure::unknown(Code::DeadlineExceeded, "the request's deadline passed")
                .retry_in(RETRY_AFTER_MS));
        }
        if !self.running.discard_text() {
            return Err(upstream_failed("the replica failed after part of the answer was sent"));
        }
        match lock(&self.shared().retries).spend() {
            true => Ok(()),
            false => Err(upstream_failed("the retry budget is exhausted")),
        }
    }
}

pub(super) fn clone_upstreams(upstreams: Vec<(Name, &Upstream)>) -> Vec<(Name, Upstream)> {
    upstreams.into_iter().map(|(name, upstream)| (name, upstream.clone())).collect()
}

/// A call's kind, for logs.
fn kind(call: &Call) -> &'static str {
    match call {
        Call::Chat(_) => "chat",
        Call::Service(_) => "service",
    }
}
