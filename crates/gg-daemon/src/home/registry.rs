//! A home with its journal, its programs and the journals that it owns.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicU64, Ordering},
    },
};

use gg_journal::{Journal, JournalError, JournalSettings, find_owner_path};
use gg_platform::Platform;
use gg_program::{Program, ProgramTable, State};
use gg_protocol::{JournalId, ProgramId};
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{history_memory::HistoryMemory, lock::lock, running::RunningStep, shared::Shared};

/// A journal and the programs recorded in it.
pub(crate) struct Home {
    pub(crate) shared: Arc<Shared>,
    pub(crate) journal: Journal<Platform>,
    pub(crate) tasks: TaskTracker,
    pub(super) programs: RwLock<HashMap<ProgramId, Arc<HostedProgram>>>,
    pub(super) owned: RwLock<HashSet<JournalId>>,
    pub(super) next_number: AtomicU64,
    /// Held during an adoption.
    pub(crate) adoption_lock: tokio::sync::Mutex<()>,
    /// Number of the latest batch of records copied to other daemons.
    pub(super) last_copy: AtomicU64,
    /// Unfinished adoptions, with the sequence number of the next journal object
    /// at their start.
    pub(super) unfinished: Mutex<HashMap<JournalId, u64>>,
    pub(super) stop: CancellationToken,
}

/// A program at its home.
pub(crate) struct HostedProgram {
    pub(crate) program: Mutex<Program>,
    /// Memory of the program's history.
    pub(crate) memory: HistoryMemory,
    pub(crate) running: Mutex<Option<Arc<RunningStep>>>,
    /// Held while tokens are being reserved.
    pub(crate) reserve: tokio::sync::Mutex<()>,
    pub(crate) changed: watch::Sender<()>,
    /// Number of the oldest journal object needed to replay this program.
    pub(crate) oldest_object: AtomicU64,
}

impl HostedProgram {
    pub(crate) fn new(shared: &Shared, program: Program, oldest_object: u64) -> Self {
        HostedProgram {
            memory: shared.histories.count(program.history_bytes()),
            program: Mutex::new(program),
            running: Mutex::default(),
            reserve: tokio::sync::Mutex::default(),
            changed: watch::Sender::new(()),
            oldest_object: AtomicU64::new(oldest_object),
        }
    }

    /// Counts the history as it is.
    pub(crate) fn settle_memory(&self) {
        let bytes = lock(&self.program).history_bytes();
        self.memory.settle(bytes);
    }

    /// Clears the running step so that the next one may start.
    pub(crate) fn clear_running(&self) {
        lock(&self.running).take();
        self.changed.send_replace(());
    }
}

impl Home {
    /// Opens a new journal and a home for it.
    pub(crate) async fn open(shared: Arc<Shared>) -> Result<Arc<Self>, JournalError> {
        let settings = JournalSettings {
            commit_interval: shared.settings.commit_interval,
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
            next_number: AtomicU64::new(1),
            adoption_lock: tokio::sync::Mutex::default(),
            last_copy: AtomicU64::new(0),
            unfinished: Mutex::default(),
            stop,
        }))
    }

    /// The journal's identifier.
    pub(crate) fn id(&self) -> &JournalId {
        self.journal.id()
    }

    /// Stops all work, after another home has sealed the journal.
    pub(crate) fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
    }

    /// Whether this home is known to own the programs created in `journal`.
    pub(crate) fn owns(&self, journal: &JournalId) -> bool {
        self.owned.read().unwrap_or_else(|poisoned| poisoned.into_inner()).contains(journal)
    }

    /// Whether this home owns the programs created in `journal`. Reads the seals
    /// from the platform if that isn't known.
    ///
    /// A seal may name this home although its adoption is unfinished, or was
    /// abandoned before the write of the seal took effect. The adoption is then
    /// queued and has to finish first.
    pub(crate) async fn resolve_ownership(&self, journal: &JournalId) -> bool {
        if self.owns(journal) {
            return true;
        }
        let Ok(path) = find_owner_path(&self.shared.platform, journal).await else { return false };
        let [.., last, owner] = path.as_slice() else { return false };
        if owner != self.id() {
            return false;
        }
        if !self.owns(last) {
            self.track_adoption(last, false);
            return false;
        }
        self.write_owned().insert(journal.clone());
        true
    }

    /// Tracks whether an adoption is finished. Its journal record is not trimmed
    /// before then.
    pub(crate) fn track_adoption(&self, id: &JournalId, finished: bool) {
        let mut unfinished = lock(&self.unfinished);
        match finished {
            true => drop(unfinished.remove(id)),
            false => drop(unfinished.entry(id.clone()).or_insert(self.journal.next_sequence())),
        }
    }

    /// Number of the oldest journal object that an unfinished adoption needs.
    pub(crate) fn oldest_adoption(&self) -> Option<u64> {
        lock(&self.unfinished).values().min().copied()
    }

    /// Number up to which copies on other daemons are no longer needed, because
    /// all records submitted so far are durable; `None` if some are not.
    pub(crate) fn settled_copies(&self) -> Option<u64> {
        let last_copy = self.last_copy.load(Ordering::SeqCst);
        self.journal.is_durable().then_some(last_copy)
    }

    /// Journals whose adoption is unfinished.
    pub(crate) fn unfinished(&self) -> Vec<JournalId> {
        lock(&self.unfinished).keys().cloned().collect()
    }

    /// Adds the programs of an adopted journal and of the journals that it had
    /// adopted before.
    pub(crate) fn add_programs(
        &self,
        journals: &[JournalId],
        table: ProgramTable,
        oldest_object: u64,
    ) {
        let mut programs = self.write_programs();
        for (id, program) in table.programs {
            if program.state == State::Running {
                self.shared.forecast.record_start(&program.start.profile);
            }
            programs.insert(id, Arc::new(HostedProgram::new(&self.shared, program, oldest_object)));
        }
        drop(programs);
        self.write_owned().extend(journals.iter().cloned());
    }

    pub(super) fn write_owned(&self) -> std::sync::RwLockWriteGuard<'_, HashSet<JournalId>> {
        self.owned.write().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(super) fn write_programs(
        &self,
    ) -> std::sync::RwLockWriteGuard<'_, HashMap<ProgramId, Arc<HostedProgram>>> {
        self.programs.write().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// All programs of this home.
    pub(crate) fn hosted_programs(&self) -> Vec<Arc<HostedProgram>> {
        let programs = self.programs.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        programs.values().cloned().collect()
    }

    /// A program by its identifier.
    pub(crate) fn hosted(&self, program: &ProgramId) -> Option<Arc<HostedProgram>> {
        let programs = self.programs.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        programs.get(program).cloned()
    }

    /// Removes a program from memory.
    pub(crate) fn remove(&self, program: &ProgramId) {
        self.write_programs().remove(program);
    }

    /// Number of programs, and of those with a step in progress.
    pub(crate) fn load(&self) -> (usize, usize) {
        let hosted_programs = self.hosted_programs();
        let busy = hosted_programs.iter().filter(|hosted| lock(&hosted.running).is_some()).count();
        (hosted_programs.len(), busy)
    }
}
