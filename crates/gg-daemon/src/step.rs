//! One step, from its admission to its record.

use std::{sync::Arc, time::Duration};

use gg_dispatch::Verdict;
use gg_engine::{EngineError, EngineEvent};
use gg_journal::JournalError;
use gg_program::{Cover, EndReason, Intent, Prompt, Record, State, TurnRecord};
use gg_protocol::{
    Answer, Call, ChatCall, Code, Failure, Name, Profile, Ran, ServiceCall, StepEvent, StepRequest,
    Upstream, Usage,
    chat::token_estimate,
    clock::{until_ms, wall_ms},
    peer::SlotOutcome,
};
use gg_service::ServiceError;
use tokio::time::Instant;

use crate::{
    crash,
    home::{Home, Resident, kind},
    running::Running,
    shared::{Shared, lock},
    slot::{self, Need, Slot},
};

/// Tries of one call, the first one included.
const TRIES_MAX: usize = 4;

/// Longest silence of an engine that is taken for work.
const ENGINE_SILENCE: Duration = Duration::from_secs(30);

/// Time after which a caller may try again after a failed upstream, in ms.
const RETRY_MS: u64 = 1_000;

/// Time after which a caller may come back while the platform is out, in ms.
const OUTAGE_RETRY_MS: u64 = 5_000;

/// A step under way at its home.
pub(crate) struct Step {
    home: Arc<Home>,
    resident: Arc<Resident>,
    running: Arc<Running>,
    request: StepRequest,
    began: Instant,
}

/// A step's answer with what its record needs.
struct Outcome {
    answer: Answer,
    kept: usize,
    added: Vec<gg_protocol::Message>,
    upstream: Option<Name>,
    spent: u64,
    waited_ms: u64,
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

    /// Carries the step out and tells its followers how it went.
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

    fn log_end(&self, last: &StepEvent) {
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

    fn shared(&self) -> &Arc<Shared> {
        &self.home.shared
    }

    /// Profile of the program, with the limits on turns checked.
    async fn profile(&self) -> Result<Profile, Failure> {
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

    /// Sets `bound` tokens aside in the root's budget, durably.
    async fn reserve(&self, bound: u64) -> Result<Reservation, Failure> {
        let root = lock(&self.resident.program).start.root.clone();
        let Some(root) = self.home.resident(&root) else {
            return Err(Failure::not_run(Code::ProgramEnded, "the root program has ended"));
        };
        let guard = root.reserve.lock().await;
        let cover = {
            let mut program = lock(&root.program);
            let cover = program.budget.cover(bound).ok_or_else(|| {
                let left = program.budget.left();
                let message = format!("the call may need {bound} tokens and {left} are left");
                Failure::not_run(Code::BudgetExhausted, message)
                    .help("ask for fewer max_tokens, or start a program under another profile")
            })?;
            program.budget.begin(bound);
            cover
        };
        let reservation = Reservation { root: root.clone(), bound };
        if let Cover::Reserve { total } = cover {
            let (submitted, records) = {
                let mut program = lock(&root.program);
                let id = program.id().clone();
                let records = [Record::Reserved { program: id, total }];
                let submitted = self.home.journal.submit(&records);
                if submitted.is_ok() {
                    program.budget.reserved = program.budget.reserved.max(total);
                }
                (submitted, records)
            };
            let durable = self.home.durable(submitted, &records).await;
            durable.map_err(not_run_yet)?;
        }
        drop(guard);
        Ok(reservation)
    }

    /// Carries out a model call.
    async fn chat(&self, call: &ChatCall) -> Result<Outcome, Failure> {
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

    /// Whether the call may be tried elsewhere.
    fn may_retry(&self, upstream: &Name, reason: &str) -> Result<(), Failure> {
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

    async fn chat_slot(
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
    fn content(&self, call: &ChatCall, prompt: &Prompt) -> String {
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
                let crashed = crash::has_crashed(self.shared(), &upstream, &address).await;
                slot.finish(if crashed { SlotOutcome::Crashed } else { SlotOutcome::Failed });
                if crashed {
                    let content = self.content(call, prompt);
                    let count = crash::note(self.shared(), &content).await;
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

    /// Carries out a call to a tool or plain service.
    async fn service(&self, call: &ServiceCall) -> Result<Outcome, Failure> {
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

    async fn service_slot(
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

    fn tool_time(&self, profile: &Profile) -> Duration {
        until_ms(self.request.deadline_ms).min(Duration::from_millis(profile.tool_ms))
    }

    /// A call that may be repeated: tried on other replicas if need be.
    async fn repeatable(
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
    async fn once(
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

    /// Makes the intent durable, or says that the call did not run.
    async fn commit_intent(&self, call: &ServiceCall) -> Result<(), Failure> {
        let intent = Intent {
            program: self.request.program.clone(),
            turn: self.running.turn,
            digest: self.running.digest.clone(),
            key: self.running.key.clone(),
            service: call.service.clone(),
        };
        let submitted = {
            let mut program = lock(&self.resident.program);
            if program.state != State::Running {
                return Err(cancelled());
            }
            let submitted = self.home.journal.submit(&[Record::Intent(intent.clone())]);
            if submitted.is_ok() {
                program.intent = Some(intent);
            }
            submitted
        };
        let submitted = match submitted {
            Ok(submitted) => submitted,
            Err(err) => return Err(not_run_yet(self.home.journal_failure(&err))),
        };
        let limit = until_ms(self.request.deadline_ms).min(INTENT_WAIT);
        match tokio::time::timeout(limit, submitted).await {
            Ok(Ok(Ok(_))) => Ok(()),
            Ok(Ok(Err(err))) => Err(not_run_yet(self.home.journal_failure(&err))),
            Ok(Err(_)) => Err(not_run_yet(self.home.journal_failure(&JournalError::Closed))),
            Err(_) => {
                self.submit_abort();
                Err(unrecorded())
            }
        }
    }

    /// Takes an intent back: the call was not sent and never will be.
    async fn abort(&self, failure: Failure) -> Result<Outcome, Failure> {
        let submitted = self.submit_abort();
        let durable = match submitted {
            Some(submitted) => self.home.durable(Ok(submitted), &[]).await,
            None => Ok(()),
        };
        match durable {
            Err(moved) if moved.moved.is_some() => Err(moved),
            _ => Err(failure),
        }
    }

    fn submit_abort(
        &self,
    ) -> Option<tokio::sync::oneshot::Receiver<Result<gg_journal::Position, JournalError>>> {
        let mut program = lock(&self.resident.program);
        let record =
            Record::Aborted { program: self.request.program.clone(), turn: self.running.turn };
        let submitted = self.home.journal.submit(&[record]).ok()?;
        program.intent = None;
        Some(submitted)
    }

    async fn send(
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

    fn service_outcome(&self, answer: Answer, upstream: Name, waited_ms: u64) -> Outcome {
        let kept = lock(&self.resident.program).history.len();
        Outcome { answer, kept, added: Vec::new(), upstream: Some(upstream), spent: 0, waited_ms }
    }

    /// Makes the finished turn durable.
    async fn record(&self, outcome: Outcome) -> Result<Answer, Failure> {
        let is_chat = matches!(outcome.answer, Answer::Chat { .. });
        let (submitted, records) = {
            let mut program = lock(&self.resident.program);
            if is_chat && program.state != State::Running {
                return Err(cancelled());
            }
            let now = wall_ms();
            let mut turn = TurnRecord {
                program: self.request.program.clone(),
                customer: program.start.customer.clone(),
                turn: self.running.turn,
                digest: self.running.digest.clone(),
                key: self.running.key.clone(),
                kept: outcome.kept,
                added: outcome.added,
                answer: outcome.answer.clone(),
                upstream: if is_chat { outcome.upstream } else { None },
                spent: outcome.spent,
                at_ms: now,
                took_ms: self.began.elapsed().as_millis() as u64,
                waited_ms: outcome.waited_ms,
                chain: String::new(),
            };
            turn.chain = program.link(&turn);
            let mut records = vec![Record::Turn(turn.clone())];
            let single = program.start.single && program.state == State::Running;
            if single {
                let id = program.id().clone();
                records.push(Record::Ended { program: id, reason: EndReason::Single, at_ms: now });
            }
            let submitted = self.home.journal.submit(&records);
            if submitted.is_ok() {
                self.shared().forecast.note_turn(&program.start.profile);
                program.apply_turn(&turn).map_err(|err| internal(&err))?;
                if single {
                    program.state = State::Ended { reason: EndReason::Single, at_ms: now };
                    self.home.note_ended(&program, EndReason::Single);
                }
            }
            (submitted, records)
        };
        self.home.durable(submitted, &records).await?;
        Ok(outcome.answer)
    }
}

/// Longest wait for an intent to become durable.
const INTENT_WAIT: Duration = Duration::from_secs(2);

/// Tokens set aside for one call; given back when dropped.
struct Reservation {
    root: Arc<Resident>,
    bound: u64,
}

impl Reservation {
    /// Charges what the call used.
    fn charge(&self, tokens: u64) {
        lock(&self.root.program).budget.charge(tokens.min(self.bound));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.root.program).budget.end(self.bound);
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

/// Outcome of a service call; its limit does not adapt.
fn finished(total_ms: f64) -> SlotOutcome {
    SlotOutcome::Finished { first_ms: 0.0, token_ms: 0.0, total_ms }
}

fn owned(upstreams: Vec<(Name, &Upstream)>) -> Vec<(Name, Upstream)> {
    upstreams.into_iter().map(|(name, upstream)| (name, upstream.clone())).collect()
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

/// Nothing was sent yet, so a failure to record means that nothing ran.
fn not_run_yet(failure: Failure) -> Failure {
    match failure.moved {
        Some(_) => failure,
        None => Failure { ran: Ran::No, ..failure },
    }
}

fn unrecorded() -> Failure {
    let message = "the call can't be recorded now, so it was not sent";
    Failure::not_run(Code::PlatformUnavailable, message)
        .help("the platform's store is out of reach; ask again later")
        .retry_in(OUTAGE_RETRY_MS)
}

fn quarantined() -> Failure {
    let message = "this content was under way when replicas crashed and is not run again";
    Failure::unknown(Code::Quarantined, message).help("change the request; asking again is no use")
}

fn cancelled() -> Failure {
    Failure::not_run(Code::Cancelled, "the caller went away or the program was ended")
}

fn upstream_failed(message: &str) -> Failure {
    Failure::unknown(Code::UpstreamFailed, message)
        .help("ask again with the same turn or idempotency key")
        .retry_in(RETRY_MS)
}

fn internal(err: &gg_program::RuleError) -> Failure {
    Failure::unknown(Code::Internal, err.to_string())
}
