//! Admission of new programs.

use std::sync::{Arc, atomic::Ordering};

use gg_platform::{ObjectStore, PlatformError, When};
use gg_program::{Budget, EndReason, Program, Record, Start, State};
use gg_protocol::{Code, Failure, Name, ProgramId, Ran, StartReply, StartRequest, clock::wall_ms};

use super::{Home, HostedProgram, durable::OUTAGE_RETRY_MS, end::program_ended};
use crate::lock::lock;

impl Home {
    /// Starts a program if it is admitted.
    pub(crate) async fn start(
        self: &Arc<Self>,
        request: StartRequest,
    ) -> Result<StartReply, Failure> {
        let start = self.new_start(&request)?;
        let reply = StartReply {
            program: start.program.clone(),
            deadline_ms: start.deadline_ms,
            budget: start.budget,
        };
        let id = start.program.clone();
        let program = Program::new(start.clone());
        let hosted =
            Arc::new(HostedProgram::new(&self.shared, program, self.journal.next_sequence()));
        let records = [Record::Started(start.clone())];
        let submitted = {
            let mut programs = self.write_programs();
            let submitted = self.journal.submit(&records);
            programs.insert(id.clone(), hosted);
            submitted
        };
        if let Err(failure) = self.durable(submitted, &records).await {
            self.remove(&id);
            return Err(Failure { ran: Ran::No, ..failure });
        }
        let reply = match request.key {
            Some(key) => self.bind_key(&request.customer, &key, reply).await?,
            None => reply,
        };
        self.shared.forecast.record_start(&request.profile);
        self.shared.metrics.count("program_started");
        log::info!(
            "event=start program={} customer={} profile={} parent={} home={}",
            reply.program,
            request.customer,
            request.profile,
            request.parent.map_or_else(|| "-".into(), |parent| parent.to_string()),
            self.id(),
        );
        Ok(reply)
    }

    pub(super) fn new_start(&self, request: &StartRequest) -> Result<Start, Failure> {
        let config = self.shared.config.get();
        let profile = config.profile(&request.profile).ok_or_else(|| {
            Failure::unexecuted(Code::NotFound, format!("no profile {}", request.profile))
                .help("ask an operator for the profiles, or see greengagefork profile list")
        })?;
        let allowed = config.customer(&request.customer).is_some_and(|customer| {
            let name: &str = &request.profile;
            customer.profiles.is_empty()
                || customer.profiles.iter().any(|existing| existing == name)
        });
        if !allowed {
            let message = format!("profile {} is not available to this account", request.profile);
            return Err(Failure::unexecuted(Code::Unauthorized, message));
        }
        let now = wall_ms();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let program = ProgramId { birth: self.id().clone(), number };
        let start = Start {
            program: program.clone(),
            customer: request.customer.clone(),
            profile: request.profile.clone(),
            parent: request.parent.clone(),
            root: program,
            key: request.key.clone(),
            at_ms: now,
            deadline_ms: now + profile.target_ms,
            budget: profile.budget_tokens,
            block: Budget::first_block(profile.budget_tokens),
            single: request.single,
        };
        match &request.parent {
            Some(parent) => self.sub_agent_start(start, parent),
            None => self.admit(start, profile),
        }
    }

    /// Refuses a new program that is not expected to finish within its target.
    pub(super) fn admit(
        &self,
        start: Start,
        profile: &gg_protocol::Profile,
    ) -> Result<Start, Failure> {
        let forecast = &self.shared.forecast;
        match forecast.retry_delay_ms(&start.profile, profile.rank, profile.target_ms) {
            None => Ok(start),
            Some(retry_ms) => {
                self.shared.metrics.count("program_refused");
                log::info!(
                    "event=refuse customer={} profile={} rank={} retry_ms={retry_ms}",
                    start.customer,
                    start.profile,
                    profile.rank,
                );
                let message = "the program is not expected to finish within its target";
                Err(Failure::unexecuted(Code::Overloaded, message)
                    .help("retry after retry_after seconds")
                    .retry_in(retry_ms))
            }
        }
    }

    /// Turns a start into that of a sub-agent of `parent`, which takes the
    /// root and the deadline of its parent and has no budget of its own.
    pub(super) fn sub_agent_start(
        &self,
        start: Start,
        parent: &ProgramId,
    ) -> Result<Start, Failure> {
        let hosted = self.hosted(parent).ok_or_else(|| self.not_found(parent))?;
        let parent = lock(&hosted.program);
        if parent.start.customer != start.customer {
            return Err(self.not_found(&parent.start.program));
        }
        if let State::Ended { reason, .. } = parent.state {
            return Err(program_ended(reason));
        }
        Ok(Start {
            root: parent.start.root.clone(),
            deadline_ms: parent.start.deadline_ms,
            budget: 0,
            block: 0,
            ..start
        })
    }

    /// Binds an idempotency key to the program. If the key is already bound to
    /// another program, ends the new one and returns the reply for the other.
    pub(super) async fn bind_key(
        &self,
        customer: &Name,
        key: &Name,
        reply: StartReply,
    ) -> Result<StartReply, Failure> {
        let object = idempotency_object(customer, key);
        let body = serde_json::to_vec(&reply).unwrap_or_default();
        let stored = match self.shared.platform.put(&object, body.into(), When::Absent).await {
            Ok(_) => return Ok(reply),
            Err(PlatformError::Conflict(_)) => self.shared.platform.get(&object).await,
            Err(err) => Err(err),
        };
        let existing = stored.ok().flatten();
        let existing =
            existing.and_then(|found| serde_json::from_slice::<StartReply>(&found.body).ok());
        match existing {
            Some(existing) if existing.program == reply.program => Ok(reply),
            Some(existing) => {
                self.end(&reply.program, None, EndReason::Caller).await?;
                Ok(existing)
            }
            None => {
                let _ = self.end(&reply.program, None, EndReason::Caller).await;
                Err(Failure::unexecuted(Code::PlatformUnavailable, "the key could not be recorded")
                    .help("retry with the same idempotency key")
                    .retry_in(OUTAGE_RETRY_MS))
            }
        }
    }
}

/// Key of the object that binds an idempotency key to a program.
pub(crate) fn idempotency_object(customer: &Name, key: &Name) -> String {
    let digest = blake3::hash(format!("{customer}\0{key}").as_bytes());
    format!("start/{}", digest.to_hex())
}
