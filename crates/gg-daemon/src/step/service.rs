//! A call to a tool or plain service.

use std::time::Duration;

use gg_protocol::{
    Answer, Code, Failure, Name, Profile, ServiceCall, Upstream, clock::until_ms, peer::SlotOutcome,
};
use gg_service::ServiceError;

use super::{
    Step,
    failures::{RETRY_MS, cancelled, unrecorded, upstream_failed},
    run::{Outcome, TRIES_MAX, owned},
};
use crate::{
    lock::lock,
    slot::{self, Need, Slot},
};

impl Step {
    /// Carries out a call to a tool or plain service.
    pub(super) async fn service(&self, call: &ServiceCall) -> Result<Outcome, Failure> {
        let profile = self.profile().await?;
        let config = self.shared().config.get();
        let replicas = owned(config.services(&call.service));
        if replicas.is_empty() {
            let message = format!("no service {}", call.service);
            return Err(Failure::not_run(Code::NotFound, message)
                .help("ask an operator which services are configured"));
        }
        let idempotent = call.idempotent || replicas.iter().all(|(_, one)| one.idempotent);
        match idempotent {
            true => self.repeatable(call, &profile, replicas).await,
            false => self.once(call, &profile, replicas).await,
        }
    }

    pub(super) async fn service_slot(
        &self,
        profile: &Profile,
        replicas: &[(Name, Upstream)],
        lost: &[Name],
    ) -> Result<Slot, Failure> {
        let deadline_ms = lock(&self.resident.program).start.deadline_ms;
        let need = Need {
            program: &self.request.program,
            customer: &self.request.customer,
            rank: profile.rank,
            turn: self.running.turn,
            under_way: self.running.turn > 0,
            deadline_ms,
            request_ms: self.request.deadline_ms,
            tokens: 0,
            warm: Vec::new(),
            alone: false,
        };
        tokio::select! {
            slot = slot::acquire(self.shared(), replicas.to_vec(), &need, lost) => slot,
            () = self.running.deserted() => Err(cancelled()),
        }
    }

    pub(super) fn tool_time(&self, profile: &Profile) -> Duration {
        until_ms(self.request.deadline_ms).min(Duration::from_millis(profile.tool_ms))
    }

    /// A call that may be repeated: tried on other replicas if need be.
    pub(super) async fn repeatable(
        &self,
        call: &ServiceCall,
        profile: &Profile,
        replicas: Vec<(Name, Upstream)>,
    ) -> Result<Outcome, Failure> {
        let mut lost = Vec::new();
        let mut waited_ms = 0;
        let mut reason = String::new();
        while lost.len() < replicas.len().min(TRIES_MAX) {
            let slot = self.service_slot(profile, &replicas, &lost).await?;
            waited_ms += slot.waited_ms;
            let upstream = slot.upstream.clone();
            self.running.begin(Some(&upstream));
            match self.send(call, profile, &slot.address).await {
                Ok(answer) => {
                    lock(&self.shared().retries).earn();
                    let total_ms = self.began.elapsed().as_secs_f64() * 1000.0;
                    slot.finish(finished(total_ms));
                    return Ok(self.service_outcome(answer, upstream, waited_ms));
                }
                Err(err) => {
                    reason = err.to_string();
                    slot.finish(SlotOutcome::Failed);
                    lost.push(upstream.clone());
                    self.may_retry(&upstream, &reason)?;
                }
            }
        }
        Err(upstream_failed(&format!("the service failed the call: {reason}")))
    }

    /// A call that may not be repeated: its intent is durable before it is
    /// sent, and it is sent once.
    pub(super) async fn once(
        &self,
        call: &ServiceCall,
        profile: &Profile,
        replicas: Vec<(Name, Upstream)>,
    ) -> Result<Outcome, Failure> {
        if profile.refuse_unrecorded && self.home.journal.is_stalled() {
            return Err(unrecorded());
        }
        let mut lost = Vec::new();
        let mut waited_ms = 0;
        let mut slot = self.service_slot(profile, &replicas, &lost).await?;
        self.commit_intent(call).await?;
        // From here on the step is not given up when its callers go.
        loop {
            waited_ms += slot.waited_ms;
            let upstream = slot.upstream.clone();
            self.running.begin(Some(&upstream));
            if until_ms(self.request.deadline_ms).is_zero() {
                let message = "the request's time was over before the call was sent";
                let failure = Failure::not_run(Code::DeadlineExceeded, message).retry_in(RETRY_MS);
                return self.abort(failure).await;
            }
            match self.send(call, profile, &slot.address).await {
                Ok(answer) => {
                    let total_ms = self.began.elapsed().as_secs_f64() * 1000.0;
                    slot.finish(finished(total_ms));
                    return Ok(self.service_outcome(answer, upstream, waited_ms));
                }
                Err(ServiceError::Unsent(reason)) => {
                    slot.finish(SlotOutcome::Failed);
                    lost.push(upstream);
                    if lost.len() == replicas.len() {
                        let message = format!("the service was not reached: {reason}");
                        let failure = Failure::not_run(Code::UpstreamFailed, message);
                        return self.abort(failure.retry_in(RETRY_MS)).await;
                    }
                    slot = match self.service_slot(profile, &replicas, &lost).await {
                        Ok(slot) => slot,
                        Err(failure) => return self.abort(failure).await,
                    };
                }
                Err(ServiceError::Lost(reason)) => {
                    slot.finish(SlotOutcome::Failed);
                    let message = format!("the call was sent and no answer came: {reason}");
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
        let timeout = self.tool_time(profile);
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
        let kept = lock(&self.resident.program).history.len();
        Outcome { answer, kept, added: Vec::new(), upstream: Some(upstream), spent: 0, waited_ms }
    }
}

/// Outcome of a service call; its limit does not adapt.
fn finished(total_ms: f64) -> SlotOutcome {
    SlotOutcome::Finished { first_ms: 0.0, token_ms: 0.0, total_ms }
}
