//! The home role: owns programs, keeps their order and makes every change
//! durable before it is told.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use gg_journal::{Journal, JournalError, JournalSettings, find_path};
use gg_platform::{ObjectStore, Platform, PlatformError, When};
use gg_program::{Book, Budget, EndReason, Place, Program, Record, Start, State, call_digest};
use gg_protocol::{
    Answer, Call, Code, Failure, JournalId, Name, ProgramId, ProgramView, Ran, StartReply,
    StartRequest, StepEvent, StepRequest, TurnView,
    clock::{until_ms, wall_ms},
};
use tokio::sync::{mpsc, watch};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    outage,
    running::Running,
    shared::{Shared, lock},
    step::Step,
};

/// Time after which a caller may ask again for a program that changes homes,
/// in ms.
const MOVE_RETRY_MS: u64 = 1_000;

/// Time after which a caller may come back while the platform is out, in ms.
const OUTAGE_RETRY_MS: u64 = 5_000;

/// Programs of one journal, and the journal.
pub(crate) struct Home {
    pub(crate) shared: Arc<Shared>,
    pub(crate) journal: Journal<Platform>,
    pub(crate) tasks: TaskTracker,
    programs: RwLock<HashMap<ProgramId, Arc<Resident>>>,
    owned: RwLock<HashSet<JournalId>>,
    next: AtomicU64,
    /// Held during an adoption.
    pub(crate) adopting: tokio::sync::Mutex<()>,
    /// Number of the last records that other daemons got a copy of.
    copied: AtomicU64,
    /// Adoptions begun and not finished, with the journal object after which
    /// they were begun.
    unfinished: Mutex<HashMap<JournalId, u64>>,
    stop: CancellationToken,
}

/// One program at its home.
pub(crate) struct Resident {
    pub(crate) program: Mutex<Program>,
    pub(crate) running: Mutex<Option<Arc<Running>>>,
    /// Held while tokens are being set aside.
    pub(crate) reserve: tokio::sync::Mutex<()>,
    changed: watch::Sender<()>,
    /// Number of the oldest journal object that replay needs.
    pub(crate) oldest: AtomicU64,
}

impl Resident {
    pub(crate) fn new(program: Program, oldest: u64) -> Self {
        Resident {
            program: Mutex::new(program),
            running: Mutex::default(),
            reserve: tokio::sync::Mutex::default(),
            changed: watch::Sender::new(()),
            oldest: AtomicU64::new(oldest),
        }
    }

    /// Ends the running step, so that the next one may begin.
    pub(crate) fn clear_running(&self) {
        lock(&self.running).take();
        self.changed.send_replace(());
    }
}

/// What to do with a request for a step.
enum Admission {
    Follow(Arc<Running>),
    Run(Arc<Running>),
    Told(u32, Answer),
    Wait { expected: u32 },
    Refused(Failure),
}

impl Home {
    /// Opens a journal and a home on it.
    pub(crate) async fn open(shared: Arc<Shared>) -> Result<Arc<Self>, JournalError> {
        let settings = JournalSettings {
            interval: shared.settings.commit_interval,
            backlog_bytes: shared.settings.backlog_bytes,
            ..JournalSettings::default()
        };
        let stop = shared.stop.child_token();
        let platform = shared.platform.clone();
        let journal =
            Journal::open(platform, &shared.settings.instance, settings, stop.clone()).await?;
        log::info!("event=home_open journal={}", journal.id());
        let owned = HashSet::from([journal.id().clone()]);
        Ok(Arc::new(Home {
            shared,
            journal,
            tasks: TaskTracker::new(),
            programs: RwLock::default(),
            owned: RwLock::new(owned),
            next: AtomicU64::new(1),
            adopting: tokio::sync::Mutex::default(),
            copied: AtomicU64::new(0),
            unfinished: Mutex::default(),
            stop,
        }))
    }

    /// The journal's identifier.
    pub(crate) fn id(&self) -> &JournalId {
        self.journal.id()
    }

    /// Ends all work; the journal belongs to another.
    pub(crate) fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
    }

    /// Whether programs born in `journal` are known to be here.
    pub(crate) fn owns(&self, journal: &JournalId) -> bool {
        self.owned.read().unwrap_or_else(|poisoned| poisoned.into_inner()).contains(journal)
    }

    /// Whether programs born in `journal` are here; asks the platform if it
    /// isn't known.
    ///
    /// A seal may name this home although the adoption is not finished, or
    /// was given up before its write took effect: then it is to be finished
    /// first.
    pub(crate) async fn claims(&self, journal: &JournalId) -> bool {
        if self.owns(journal) {
            return true;
        }
        let Ok(path) = find_path(&self.shared.platform, journal).await else { return false };
        let [.., last, owner] = path.as_slice() else { return false };
        if owner != self.id() {
            return false;
        }
        if !self.owns(last) {
            self.note_adoption(last, false);
            return false;
        }
        self.write_owned().insert(journal.clone());
        true
    }

    /// Keeps the record of an adoption from being trimmed until it is
    /// finished.
    pub(crate) fn note_adoption(&self, journal: &JournalId, finished: bool) {
        let mut unfinished = lock(&self.unfinished);
        match finished {
            true => drop(unfinished.remove(journal)),
            false => drop(unfinished.entry(journal.clone()).or_insert(self.journal.length())),
        }
    }

    /// Number of the oldest object that an unfinished adoption needs.
    pub(crate) fn oldest_adoption(&self) -> Option<u64> {
        lock(&self.unfinished).values().min().copied()
    }

    /// Number up to which copies are no longer needed: all records submitted
    /// so far are durable. `None` if some are not.
    pub(crate) fn settled_copies(&self) -> Option<u64> {
        let copied = self.copied.load(Ordering::SeqCst);
        self.journal.is_settled().then_some(copied)
    }

    /// Journals whose adoption is to be finished.
    pub(crate) fn unfinished(&self) -> Vec<JournalId> {
        lock(&self.unfinished).keys().cloned().collect()
    }

    /// Takes in the programs of an adopted journal and of those that it had
    /// adopted before.
    pub(crate) fn install(&self, journals: &[JournalId], book: Book, oldest: u64) {
        let mut programs = self.write_programs();
        for (id, program) in book.programs {
            if program.state == State::Running {
                self.shared.forecast.note_start(&program.start.profile);
            }
            programs.insert(id, Arc::new(Resident::new(program, oldest)));
        }
        drop(programs);
        self.write_owned().extend(journals.iter().cloned());
    }

    fn write_owned(&self) -> std::sync::RwLockWriteGuard<'_, HashSet<JournalId>> {
        self.owned.write().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn write_programs(&self) -> std::sync::RwLockWriteGuard<'_, HashMap<ProgramId, Arc<Resident>>> {
        self.programs.write().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// All programs here.
    pub(crate) fn residents(&self) -> Vec<Arc<Resident>> {
        let programs = self.programs.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        programs.values().cloned().collect()
    }

    /// A program by its identifier.
    pub(crate) fn resident(&self, program: &ProgramId) -> Option<Arc<Resident>> {
        let programs = self.programs.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        programs.get(program).cloned()
    }

    /// Forgets a program.
    pub(crate) fn remove(&self, program: &ProgramId) {
        self.write_programs().remove(program);
    }

    /// Number of programs and of those with a step under way.
    pub(crate) fn load(&self) -> (usize, usize) {
        let residents = self.residents();
        let busy = residents.iter().filter(|resident| lock(&resident.running).is_some()).count();
        (residents.len(), busy)
    }

    /// Accepts a program.
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
        let resident = Arc::new(Resident::new(program, self.journal.length()));
        let records = [Record::Started(start.clone())];
        let submitted = {
            let mut programs = self.write_programs();
            let submitted = self.journal.submit(&records);
            programs.insert(id.clone(), resident);
            submitted
        };
        if let Err(failure) = self.durable(submitted, &records).await {
            self.remove(&id);
            return Err(Failure { ran: Ran::No, ..failure });
        }
        let reply = match request.key {
            Some(key) => self.anchor(&request.customer, &key, reply).await?,
            None => reply,
        };
        self.shared.forecast.note_start(&request.profile);
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

    fn new_start(&self, request: &StartRequest) -> Result<Start, Failure> {
        let config = self.shared.config.get();
        let profile = config.profile(&request.profile).ok_or_else(|| {
            Failure::not_run(Code::NotFound, format!("no profile {}", request.profile))
                .help("ask an operator for the profiles, or see greengagefork profile list")
        })?;
        let allowed = config.customer(&request.customer).is_some_and(|customer| {
            let name: &str = &request.profile;
            customer.profiles.is_empty() || customer.profiles.iter().any(|known| known == name)
        });
        if !allowed {
            let message = format!("profile {} is not open to this account", request.profile);
            return Err(Failure::not_run(Code::Unauthorized, message));
        }
        let now = wall_ms();
        let number = self.next.fetch_add(1, Ordering::Relaxed);
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
            Some(parent) => self.as_agent(start, parent),
            None => self.admit(start, profile),
        }
    }

    /// Refuses a new program that can't be expected to meet its target.
    fn admit(&self, start: Start, profile: &gg_protocol::Profile) -> Result<Start, Failure> {
        let forecast = &self.shared.forecast;
        match forecast.refusal(&start.profile, profile.rank, profile.target_ms) {
            None => Ok(start),
            Some(retry_ms) => {
                self.shared.metrics.count("program_refused");
                log::info!(
                    "event=refuse customer={} profile={} rank={} retry_ms={retry_ms}",
                    start.customer,
                    start.profile,
                    profile.rank,
                );
                let message = "the program could not be finished within its target now";
                Err(Failure::not_run(Code::Overloaded, message)
                    .help("come back after retry_after seconds")
                    .retry_in(retry_ms))
            }
        }
    }

    /// Makes a start that of a sub-agent of `parent`.
    fn as_agent(&self, start: Start, parent: &ProgramId) -> Result<Start, Failure> {
        let resident = self.resident(parent).ok_or_else(|| self.missing(parent))?;
        let parent = lock(&resident.program);
        if parent.start.customer != start.customer {
            return Err(self.missing(&parent.start.program));
        }
        if let State::Ended { reason, .. } = parent.state {
            return Err(ended(reason));
        }
        Ok(Start {
            root: parent.start.root.clone(),
            deadline_ms: parent.start.deadline_ms,
            budget: 0,
            block: 0,
            ..start
        })
    }

    /// Binds an idempotency key to the program, or finds the one that it is
    /// bound to already.
    async fn anchor(
        &self,
        customer: &Name,
        key: &Name,
        reply: StartReply,
    ) -> Result<StartReply, Failure> {
        let object = anchor_key(customer, key);
        let body = serde_json::to_vec(&reply).unwrap_or_default();
        let bound = match self.shared.platform.put(&object, body.into(), When::Absent).await {
            Ok(_) => return Ok(reply),
            Err(PlatformError::Conflict(_)) => self.shared.platform.get(&object).await,
            Err(err) => Err(err),
        };
        let known = bound.ok().flatten();
        let known = known.and_then(|found| serde_json::from_slice::<StartReply>(&found.body).ok());
        match known {
            Some(known) if known.program == reply.program => Ok(reply),
            Some(known) => {
                self.end(&reply.program, None, EndReason::Caller).await?;
                Ok(known)
            }
            None => {
                let _ = self.end(&reply.program, None, EndReason::Caller).await;
                Err(Failure::not_run(Code::PlatformUnavailable, "the key could not be recorded")
                    .help("ask again with the same idempotency key")
                    .retry_in(OUTAGE_RETRY_MS))
            }
        }
    }

    /// Carries out a step and sends its events.
    pub(crate) async fn step(self: &Arc<Self>, request: StepRequest, out: mpsc::Sender<StepEvent>) {
        let Some(resident) = self.resident(&request.program) else {
            let failure = self.missing(&request.program);
            let _ = out.send(StepEvent::Failed(failure)).await;
            return;
        };
        let digest = call_digest(&request.call);
        let patience = self.shared.settings.timing.order_wait.min(until_ms(request.deadline_ms));
        let give_up = tokio::time::Instant::now() + patience;
        let mut changed = resident.changed.subscribe();
        let event = loop {
            match self.admit_step(&resident, &request, &digest) {
                Admission::Follow(running) => {
                    return running.join().follow(request.stream, &out).await;
                }
                Admission::Run(running) => {
                    let follower = running.join();
                    let step = Step::new(self.clone(), resident.clone(), running, request.clone());
                    self.tasks.spawn(step.run());
                    return follower.follow(request.stream, &out).await;
                }
                Admission::Told(turn, answer) => break StepEvent::Done { turn, answer },
                Admission::Refused(failure) => break self.confirmed(failure).await,
                Admission::Wait { expected } => {
                    tokio::select! {
                        _ = changed.changed() => {}
                        () = out.closed() => return,
                        () = tokio::time::sleep_until(give_up) => {
                            break self.confirmed(turn_ahead(expected)).await;
                        }
                    }
                }
            }
        };
        let _ = out.send(event).await;
    }

    fn admit_step(&self, resident: &Resident, request: &StepRequest, digest: &str) -> Admission {
        let mut running = lock(&resident.running);
        let program = lock(&resident.program);
        if program.start.customer != request.customer {
            return Admission::Refused(self.missing(&request.program));
        }
        if let Some(running) = running.as_ref() {
            return join_running(running, request, digest);
        }
        if self.is_closing() {
            return Admission::Refused(self.moving());
        }
        match program.place(request.turn, request.key.as_ref(), digest) {
            Place::Finished(turn) => {
                Admission::Told(turn, program.turns[turn as usize].answer.clone())
            }
            Place::Conflict(turn) => Admission::Refused(turn_conflict(turn)),
            Place::Ahead { expected } => Admission::Wait { expected },
            Place::Ended(reason) => Admission::Refused(ended(reason)),
            Place::Next(turn) => {
                let step = Arc::new(Running::new(turn, digest.into(), request.key.clone()));
                *running = Some(step.clone());
                Admission::Run(step)
            }
        }
    }

    /// Whether no new step may begin here.
    fn is_closing(&self) -> bool {
        self.shared.is_draining() || self.journal.sealed_by().is_some()
    }

    /// Reads a program. A home that was replaced and doesn't know it yet must
    /// not show an old state, so the platform is asked; while it is out of
    /// reach nobody can have replaced us.
    pub(crate) async fn read(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
    ) -> Result<ProgramView, Failure> {
        let view = self.view_of(program, customer)?;
        match self.journal.verify().await {
            Err(err @ JournalError::Sealed(_)) => Err(self.journal_failure(&err)),
            _ => Ok(view),
        }
    }

    fn view_of(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
    ) -> Result<ProgramView, Failure> {
        let resident = self.visible(program, customer)?;
        let root = lock(&resident.program).start.root.clone();
        let budget = match self.resident(&root) {
            Some(root) => lock(&root.program).budget,
            None => Budget::default(),
        };
        let program = lock(&resident.program);
        Ok(view(&program, budget, self.id()))
    }

    /// Reads the answer of a finished turn.
    pub(crate) fn turn(
        &self,
        program: &ProgramId,
        customer: &Name,
        turn: u32,
    ) -> Result<Answer, Failure> {
        let resident = self.visible(program, Some(customer))?;
        let running = lock(&resident.running).as_ref().map(|running| running.turn);
        let program = lock(&resident.program);
        match program.turns.get(turn as usize) {
            Some(done) if running != Some(turn) => Ok(done.answer.clone()),
            _ => {
                let message = format!("turn {turn} is not finished");
                Err(Failure::unknown(Code::NotFound, message).retry_in(MOVE_RETRY_MS))
            }
        }
    }

    fn visible(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
    ) -> Result<Arc<Resident>, Failure> {
        let resident = self.resident(program).ok_or_else(|| self.missing(program))?;
        let owner = lock(&resident.program).start.customer.clone();
        match customer {
            Some(customer) if *customer != owner => Err(self.missing(program)),
            _ => Ok(resident),
        }
    }

    /// Ends a program and its sub-agents.
    pub(crate) async fn end(
        &self,
        program: &ProgramId,
        customer: Option<&Name>,
        reason: EndReason,
    ) -> Result<(), Failure> {
        let resident = self.visible(program, customer)?;
        for child in self.children(program) {
            self.end_one(&child, EndReason::Parent).await?;
        }
        self.end_one(&resident, reason).await
    }

    fn children(&self, parent: &ProgramId) -> Vec<Arc<Resident>> {
        let descends = |resident: &Arc<Resident>| {
            let mut next = lock(&resident.program).start.parent.clone();
            while let Some(id) = next {
                if id == *parent {
                    return true;
                }
                let up = self.resident(&id);
                next = up.and_then(|up| lock(&up.program).start.parent.clone());
            }
            false
        };
        self.residents().into_iter().filter(descends).collect()
    }

    async fn end_one(&self, resident: &Arc<Resident>, reason: EndReason) -> Result<(), Failure> {
        if let Some(running) = lock(&resident.running).as_ref() {
            running.cancelled.cancel();
        }
        let (submitted, records) = {
            let mut program = lock(&resident.program);
            if program.state != State::Running {
                return Ok(());
            }
            let at_ms = wall_ms();
            let id = program.id().clone();
            let records = [Record::Ended { program: id, reason, at_ms }];
            let submitted = self.journal.submit(&records);
            if submitted.is_ok() {
                program.state = State::Ended { reason, at_ms };
                self.note_ended(&program, reason);
            }
            (submitted, records)
        };
        self.durable(submitted, &records).await
    }

    /// Logs the end of a program and learns from its shape.
    pub(crate) fn note_ended(&self, program: &Program, reason: EndReason) {
        let busy_ms = program.turns.iter().map(|turn| turn.took_ms - turn.waited_ms).sum();
        let turns = program.turns.len();
        self.shared.forecast.note_program(&program.start.profile, turns, busy_ms);
        self.shared.forecast.note_end(&program.start.profile);
        self.shared.metrics.count("program_ended");
        log::info!(
            "event=end program={} reason={reason:?} turns={turns} spent={} late={}",
            program.id(),
            program.budget.spent,
            wall_ms() > program.start.deadline_ms,
        );
    }

    /// Waits until submitted records are durable. While the platform is out
    /// of reach, copies on two other daemons take its place.
    pub(crate) async fn durable(
        &self,
        submitted: Result<Submitted, JournalError>,
        records: &[Record],
    ) -> Result<(), Failure> {
        let mut submitted = submitted.map_err(|err| self.journal_failure(&err))?;
        loop {
            tokio::select! {
                done = &mut submitted => {
                    let done = done.unwrap_or(Err(JournalError::Closed));
                    return match done {
                        Ok(_) => Ok(()),
                        Err(err) => Err(self.journal_failure(&err)),
                    };
                }
                () = tokio::time::sleep(STALL_CHECK), if self.journal.is_stalled() => {
                    let number = self.copied.fetch_add(1, Ordering::SeqCst) + 1;
                    if outage::copy(&self.shared, self.id(), number, records).await {
                        return Ok(());
                    }
                }
                () = tokio::time::sleep(STALL_CHECK), if !self.journal.is_stalled() => {}
            }
        }
    }

    /// What a caller is told about a journal that failed.
    pub(crate) fn journal_failure(&self, err: &JournalError) -> Failure {
        match err {
            JournalError::Sealed(by) => Failure { moved: Some(by.clone()), ..self.moving() },
            JournalError::Closed => self.moving(),
            other => Failure::unknown(Code::PlatformUnavailable, other.to_string())
                .help("ask again with the same turn or idempotency key")
                .retry_in(OUTAGE_RETRY_MS),
        }
    }

    /// The program is on its way to another home.
    fn moving(&self) -> Failure {
        let failure = Failure::unknown(Code::HomeUnavailable, "the program is changing homes")
            .help("ask again with the same turn or idempotency key")
            .retry_in(MOVE_RETRY_MS);
        Failure { moved: self.journal.sealed_by().cloned(), ..failure }
    }

    /// Says that something did not run only while this home surely still
    /// owns the program.
    pub(crate) async fn confirmed(&self, failure: Failure) -> StepEvent {
        if failure.ran != Ran::No || failure.moved.is_some() {
            return StepEvent::Failed(failure);
        }
        match self.journal.verify().await {
            Ok(()) => StepEvent::Failed(failure),
            Err(JournalError::Sealed(by)) => {
                StepEvent::Failed(self.journal_failure(&JournalError::Sealed(by)))
            }
            // In an outage nobody can seal; a peer that still hears from us
            // would not try.
            Err(_) if self.shared.membership.suspects().is_empty() => StepEvent::Failed(failure),
            Err(_) => StepEvent::Failed(Failure { ran: Ran::Unknown, ..failure }),
        }
    }

    /// No such program here, or it is not this customer's.
    fn missing(&self, program: &ProgramId) -> Failure {
        Failure::unknown(Code::NotFound, format!("no program {program}"))
            .help("it may have ended and been forgotten, or belong to another account")
    }
}

type Submitted = tokio::sync::oneshot::Receiver<Result<gg_journal::Position, JournalError>>;

/// Time between two looks at whether the journal is held up.
const STALL_CHECK: Duration = Duration::from_millis(100);

/// Key of the object that binds an idempotency key to a program.
pub(crate) fn anchor_key(customer: &Name, key: &Name) -> String {
    let digest = blake3::hash(format!("{customer}\0{key}").as_bytes());
    format!("start/{}", digest.to_hex())
}

fn join_running(running: &Arc<Running>, request: &StepRequest, digest: &str) -> Admission {
    let is_this_step = match request.turn {
        Some(turn) => turn == running.turn,
        None => request.key.is_some() && request.key == running.key,
    };
    if !is_this_step {
        return Admission::Wait { expected: running.turn + 1 };
    }
    match running.digest == digest {
        true => Admission::Follow(running.clone()),
        false => Admission::Refused(turn_conflict(running.turn)),
    }
}

fn turn_conflict(turn: u32) -> Failure {
    let message = format!("turn {turn} was given other content before");
    Failure::not_run(Code::TurnConflict, message).help("use the next turn number for a new call")
}

fn turn_ahead(expected: u32) -> Failure {
    let message = format!("turn {expected} comes first");
    Failure::not_run(Code::TurnAhead, message)
        .help("send the turns of a program one after the other")
        .retry_in(MOVE_RETRY_MS)
}

fn ended(reason: EndReason) -> Failure {
    Failure::not_run(Code::ProgramEnded, format!("the program has ended ({reason:?})"))
        .help("start a new program")
}

fn view(program: &Program, budget: Budget, home: &JournalId) -> ProgramView {
    let state = match program.state {
        State::Running => "running".into(),
        State::Ended { .. } => "ended".into(),
    };
    let turns = program.turns.iter().enumerate().map(|(index, turn)| TurnView {
        turn: index as u32,
        upstream: turn.upstream.clone(),
        spent: turn.spent,
        at_ms: turn.at_ms,
        took_ms: turn.took_ms,
        waited_ms: turn.waited_ms,
        failed: matches!(turn.answer, Answer::Failed { .. }),
    });
    ProgramView {
        program: program.id().clone(),
        customer: program.start.customer.clone(),
        profile: program.start.profile.clone(),
        parent: program.start.parent.clone(),
        state,
        home: home.clone(),
        next_turn: program.next_turn(),
        start_ms: program.start.at_ms,
        deadline_ms: program.start.deadline_ms,
        budget: budget.limit,
        spent: budget.spent,
        turns: turns.collect(),
        history: program.history.clone(),
    }
}

/// A call's kind, for logs.
pub(crate) fn kind(call: &Call) -> &'static str {
    match call {
        Call::Chat(_) => "chat",
        Call::Service(_) => "service",
    }
}
