//! A model call: its slot, its stream, and what a failed try means.

use std::time::Duration;

use gg_dispatch::Verdict;
use gg_engine::{EngineError, EngineEvent};
use gg_program::Prompt;
use gg_protocol::{
    Answer, ChatCall, Code, Failure, Name, Profile, Usage, chat::token_estimate, clock::until_ms,
    peer::SlotOutcome,
};
use tokio::time::Instant;

use super::{
    Step,
    failures::{RETRY_MS, cancelled, quarantined, upstream_failed},
    run::{Outcome, TRIES_MAX, owned},
};
use crate::{
    crash,
    lock::lock,
    slot::{self, Need, Slot},
};

/// Longest silence of an engine that is taken for work.
const ENGINE_SILENCE: Duration = Duration::from_secs(30);

impl Step {
    /// Carries out a model call.
    pub(super) async fn chat(&self, call: &ChatCall) -> Result<Outcome, Failure> {
        let profile = self.profile().await?;
        let prompt = lock(&self.resident.program).prompt(call);
        let bound = prompt.bound + call.max_tokens;
        let mut reservation = self.reserve(bound).await?;
        let mut lost = Vec::new();
        let mut waited_ms = 0;
        for _ in 0..TRIES_MAX {
            let slot = self.chat_slot(call, &prompt, &profile, &lost).await?;
            waited_ms += slot.waited_ms;
            let upstream = slot.upstream.clone();
            match self.generate(call, &prompt, slot).await {
                Ok((text, finish, usage)) => {
                    lock(&self.shared().retries).earn();
                    reservation.charge(usage.total());
                    let answer = Answer::Chat { model: call.model.clone(), text, finish, usage };
                    return Ok(Outcome {
                        answer,
                        kept: prompt.kept,
                        added: added(call, &prompt),
                        upstream: Some(upstream),
                        spent: usage.total(),
                        waited_ms,
                    });
                }
                Err(Attempt::Final(failure)) => return Err(failure),
                Err(Attempt::Again { reason, generated }) => {
                    // Tokens of a lost try were generated and count.
                    if generated {
                        reservation.charge(bound);
                        reservation = self.reserve(bound).await?;
                    }
                    self.may_retry(&upstream, &reason)?;
                    lost.push(upstream);
                }
            }
        }
        Err(upstream_failed("every replica that was tried failed the call"))
    }

    pub(super) async fn chat_slot(
        &self,
        call: &ChatCall,
        prompt: &Prompt,
        profile: &Profile,
        lost: &[Name],
    ) -> Result<Slot, Failure> {
        let verdict = self.shared().verdict(&self.content(call, prompt));
        if verdict == Verdict::Quarantined {
            return Err(quarantined());
        }
        let config = self.shared().config.get();
        let engines = owned(config.engines(&call.model));
        if engines.is_empty() {
            let message = format!("no replica is configured for model {}", call.model);
            return Err(Failure::not_run(Code::NotFound, message)
                .help("ask an operator which models are configured"));
        }
        let open = match engines.iter().all(|(name, _)| lost.contains(name)) {
            true => &[],
            false => lost,
        };
        let (warm, under_way, deadline_ms) = {
            let program = lock(&self.resident.program);
            let last = program.upstreams.last().cloned();
            let warm = last.map(|upstream| (upstream, program.tokens));
            (warm, program.next_turn() > 0, program.start.deadline_ms)
        };
        let need = Need {
            program: &self.request.program,
            customer: &self.request.customer,
            rank: profile.rank,
            turn: self.running.turn,
            under_way,
            deadline_ms,
            request_ms: self.request.deadline_ms,
            tokens: token_estimate(&prompt.messages),
            warm: warm.into_iter().collect(),
            alone: verdict == Verdict::Alone,
        };
        tokio::select! {
            slot = slot::acquire(self.shared(), engines, &need, open) => slot,
            () = self.running.deserted() => Err(cancelled()),
        }
    }

    /// Digest by which a call is recognised after a crash, whoever sends it.
    pub(super) fn content(&self, call: &ChatCall, prompt: &Prompt) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.request.customer.as_bytes());
        hasher.update(&[0]);
        hasher.update(call.model.as_bytes());
        for message in &prompt.messages {
            hasher.update(message.to_string().as_bytes());
        }
        hasher.finalize().to_hex().to_string()
    }

    /// One try at generating on the slot's replica.
    async fn generate(
        &self,
        call: &ChatCall,
        prompt: &Prompt,
        slot: Slot,
    ) -> Result<(String, String, Usage), Attempt> {
        let upstream = slot.upstream.clone();
        let address = slot.address.clone();
        lock(&self.resident.program).note_upstream(&upstream);
        self.running.begin(Some(&upstream));
        crash::note_epoch(self.shared(), &upstream, &address).await;
        let sent = Instant::now();
        let generating = self.stream(call, prompt, &address);
        let generated = tokio::select! {
            generated = generating => generated,
            () = self.running.deserted() => {
                // Dropping the stream makes the engine stop.
                slot.finish(SlotOutcome::Cancelled);
                return Err(Attempt::Final(cancelled()));
            }
        };
        match generated {
            Ok(generated) => {
                slot.finish(generated.outcome(sent.elapsed()));
                Ok((self.running.text(), generated.finish, generated.usage))
            }
            Err(err) => Err(self.failed_try(call, prompt, slot, err).await),
        }
    }

    async fn stream(
        &self,
        call: &ChatCall,
        prompt: &Prompt,
        address: &str,
    ) -> Result<Generated, EngineError> {
        let limit = until_ms(self.request.deadline_ms);
        let sent = Instant::now();
        let program = &self.request.program;
        let silence = ENGINE_SILENCE.min(limit);
        let engine = &self.shared().engine;
        let mut stream = engine.chat(address, call, &prompt.messages, program, silence).await?;
        let mut first = None;
        loop {
            let event = tokio::time::timeout_at(sent + limit, stream.next()).await;
            match event.map_err(|_| EngineError::Timeout)?? {
                EngineEvent::Text(text) => {
                    first.get_or_insert_with(|| sent.elapsed());
                    self.running.push(&text);
                }
                EngineEvent::Done { finish, usage } => {
                    let first = first.unwrap_or_else(|| sent.elapsed());
                    return Ok(Generated { finish, usage, first });
                }
            }
        }
    }

    /// Decides what a failed try means for the replica and for the call.
    async fn failed_try(
        &self,
        call: &ChatCall,
        prompt: &Prompt,
        slot: Slot,
        err: EngineError,
    ) -> Attempt {
        let upstream = slot.upstream.clone();
        let address = slot.address.clone();
        let reason = err.to_string();
        match err {
            EngineError::Refused(status, _) if is_callers_fault(status) => {
                slot.finish(SlotOutcome::Cancelled);
                let message = format!("the engine refused the call: {reason}");
                Attempt::Final(Failure::not_run(Code::BadRequest, message))
            }
            EngineError::Unreachable(_) | EngineError::Refused(..) => {
                slot.finish(SlotOutcome::Failed);
                Attempt::Again { reason, generated: false }
            }
            EngineError::Timeout if until_ms(self.request.deadline_ms).is_zero() => {
                slot.finish(SlotOutcome::Cancelled);
                let message = "the request's time is over before the answer was complete";
                let failure = Failure::unknown(Code::DeadlineExceeded, message);
                Attempt::Final(failure.retry_in(RETRY_MS))
            }
            EngineError::Timeout | EngineError::Decode(_) => {
                slot.finish(SlotOutcome::Failed);
                Attempt::Again { reason, generated: true }
            }
            EngineError::Lost(_) => {
                let crash = crash::find(self.shared(), &upstream, &address).await;
                slot.finish(match crash {
                    Some(_) => SlotOutcome::Crashed,
                    None => SlotOutcome::Failed,
                });
                if let Some(crash) = crash {
                    let content = self.content(call, prompt);
                    let count = crash::note(self.shared(), &content, crash).await;
                    log::warn!(
                        "event=crash replica={upstream} program={} turn={} content={content} \
                         count={count}",
                        self.request.program,
                        self.running.turn,
                    );
                    if self.shared().verdict(&content) == Verdict::Quarantined {
                        return Attempt::Final(quarantined());
                    }
                }
                Attempt::Again { reason, generated: true }
            }
        }
    }
}

/// How a try ended without an answer.
enum Attempt {
    /// The call may be tried elsewhere.
    Again {
        /// What happened.
        reason: String,
        /// Whether tokens may have been generated.
        generated: bool,
    },
    /// The call has failed.
    Final(Failure),
}

/// What an engine generated, beside the text.
struct Generated {
    finish: String,
    usage: Usage,
    first: Duration,
}

impl Generated {
    fn outcome(&self, total: Duration) -> SlotOutcome {
        let gaps = self.usage.completion_tokens.saturating_sub(1).max(1);
        let total_ms = total.as_secs_f64() * 1000.0;
        let first_ms = self.first.as_secs_f64() * 1000.0;
        let token_ms = (total_ms - first_ms) / gaps as f64;
        SlotOutcome::Finished { first_ms, token_ms, total_ms }
    }
}

fn added(call: &ChatCall, prompt: &Prompt) -> Vec<gg_protocol::Message> {
    match call.append {
        true => call.messages.clone(),
        false => call.messages[prompt.kept..].to_vec(),
    }
}

fn is_callers_fault(status: u16) -> bool {
    matches!(status, 400 | 413 | 422)
}
