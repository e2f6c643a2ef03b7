//! A call to a tool or plain service.

use std::time::Duration;

use gg_protocol::{
    Answer, Code, Failure, Name, Profile, ServiceCall, Upstream, clock::until_ms, peer::SlotOutcome,
};
use gg_service::ServiceError;

use super::{
    Step,
    failures::{RETRY_AFTER_MS, cancelled, unrecorded, upstream_failed},
    run::{ATTEMPTS_MAX, Outcome, clone_upstreams},
};
use crate::{
    lock::lock,
    slot::{self, CallContext, Slot},
};

impl Step {
    /// Executes a call to a tool or plain service.
    pub(super) async fn service(&self, call: &ServiceCall) -> Result<Outcome, Failure> {
        let profile = self.profile().await?;
        let config = self.shared().config.get();
        let replicas = clone_upstreams(config.services(&call.service));
        if replicas.is_empty() {
            let message = format!("no service {}", call.service);
            return Err(Failure::unexecuted(Code::NotFound, message)
                .help("ask an operator which services are configured"));
        }
        let idempotent = call.idempotent || replicas.iter().all(|(_, replica)| replica.idempotent);
        match idempotent {
            true => self.call_idempotent(call, &profile, replicas).await,
            false => self.call_once(call, &profile, replicas).await,
        }
    }

    pub(super) async fn service_slot(
        &self,
        profile: &Profile,
        replicas: &[(Name, Upstream)],
        failed: &[Name],
    ) -> Result<Slot, Failure> {
        let deadline_ms = lock(&self.hosted.program).start.deadline_ms;
        let context = CallContext {
            program: &self.request.program,
            customer: &self.request.customer,
            rank: profile.rank,
            turn: self.running.turn,
            under_way: self.running.turn > 0,
            deadline_ms,
            expiry_ms: self.request.deadline_ms,
            tokens: 0,
            warm: Vec::new(),
            alone: false,
        };
        tokio::select! {
            slot = slot::acquire(self.shared(), replicas.to_vec(), &context, failed) => slot,
            () = self.running.abandoned() => Err(cancelled()),
        }
    }

    pub(super) fn tool_timeout(&self, profile: &Profile) -> Duration {
        until_ms(self.request.deadline_ms).min(Duration::from_millis(profile.tool_ms))
    }

    /// Executes an idempotent call; retries it on other replicas if it fails.
    pub(super) async fn call_idempotent(
        &self,
        call: &ServiceCall,
        profile: &Profile,
        replicas: Vec<(Name, Upstream)>,
    ) -> Result<Outcome, Failure> {
        let mut failed = Vec::new();
        let mut waited_ms = 0;
        let mut reason = String::new();
        while failed.len() < replicas.len().min(ATTEMPTS_MAX) {
            let slot = self.service_slot(profile, &replicas, &failed).await?;
            waited_ms += slot.waited_ms;
            let upstream = slot.upstream.clone();
            self.running.start(Some(&upstream));
            match self.send(call, profile, &slot.address).await {
                Ok(answer) => {
                    lock(&self.shared().retries).earn();
                    let total_ms = self.started_at.elapsed().as_secs_f64() * 1000.0;
                    slot.finish(finished(total_ms));
                    return Ok(self.service_outcome(answer, upstream, waited_ms));
                }
                Err(err) => {
                    reason = err.to_string();
                    slot.finish(SlotOutcome::Failed);
                    failed.push(upstream.clone());
                    self.check_retry(&upstream, &reason)?;
                }
            }
        }
        Err(upstream_failed(&format!("the call to the service failed: {reason}")))
    }

    /// Executes a non-idempotent call. Its intent is made durable before it is
    /// sent, and it is sent at most once.
    pub(super) async fn call_once(
        &self,
        call: &ServiceCall,
        profile: &Profile,
        replicas: Vec<(Name, Upstream)>,
    ) -> Result<Outcome, Failure> {
        if profile.refuse_unrecorded && self.home.journal.is_stalled() {
            return Err(unrecorded());
        }
        let mut failed = Vec::new();
        let mut waited_ms = 0;
        let mut slot = self.service_slot(profile, &replicas, &failed).await?;
        self.commit_intent(call).await?;
        // From here on the step continues even if all its callers disconnect.
        loop {
            waited_ms += slot.waited_ms;
            let upstream = slot.upstream.clone();
            self.running.start(Some(&upstream));
            if until_ms(self.request.deadline_ms).is_zero() {
                let message = "the request's deadline passed before the call was sent";
                let failure =
                    Failure::unexecuted(Code::DeadlineExceeded, message).retry_in(RETRY_AFTER_MS);
                return self.abort(failure).await;
            }
            match self.send(call, profile, &slot.address).await {
                Ok(answer) => {
                    let total_ms = self.started_at.elapsed().as_secs_f64() * 1000.0;
                    slot.finish(finished(total_ms));
                    return Ok(self.service_outcome(answer, upstream, waited_ms));
                }
                Err(ServiceError::Unsent(reason)) => {
                    slot.finish(SlotOutcome::Failed);
                    failed.push(upstream);
                    if failed.len() == replicas.len() {
                        let message = format!("the service could not be reached: {reason}");
                        let failure = Failure::unexecuted(Code::UpstreamFailed, message);
                        return self.abort(failure.retry_in(RETRY_AFTER_MS)).await;
                    }
                    slot = match self.service_slot(profile, &replicas, &failed).await {
                        Ok(slot) => slot,
                        Err(failure) => return self.abort(failure).await,
                    };
                }
                Err(ServiceError::NoResponse(reason)) => {
                    slot.finish(SlotOutcome::Failed);
                    let message =
                        format!("the call was sent but no response was received: {reason}");
                    let failure = Failure::unknown(Code::UpstreamFailed, message)
                        .help("ask the service whether it took effect; it is not sent again");
                    let answer = Answer::Failed { failure };
                    return Ok(self.service_outcome(answer, upstream, waited_ms));
                }
            }
        }
    }

    pub(super) async fn send(
        &self,
        call: &ServiceCall,
        profile: &Profile,
        address: &str,
    ) -> Result<Answer, ServiceError> {
        let program = &self.request.program;
        let timeout = self.tool_timeout(profile);
        let service = &self.shared().service;
        let reply = service.call(address, call, program, self.running.turn, timeout).await?;
        Ok(Answer::Service { status: reply.status, body: reply.body })
    }

    pub(super) fn service_outcome(
        &self,
        answer: Answer,
        upstream: Name,
        waited_ms: u64,
    ) -> Outcome {
        let kept = lock(&self.hosted.program).history.len();
        Outcome { answer, kept, added: Vec::new(), upstream: Some(upstream), spent: 0, waited_ms }
    }
}

/// Outcome of a finished service call. The latencies are 0, so that they don't
/// reduce the replica's adaptive concurrency limit.
fn finished(total_ms: f64) -> SlotOutcome {
    SlotOutcome::Finished { first_ms: 0.0, token_ms: 0.0, total_ms }
}
