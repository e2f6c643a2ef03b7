//! A home, its journal, and the programs and journals that it owns.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicU64, Ordering},
    },
};

use gg_journal::{Journal, JournalError, JournalSettings, find_path};
use gg_platform::Platform;
use gg_program::{Book, Program, State};
use gg_protocol::{JournalId, ProgramId};
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{lock::lock, running::Running, shared::Shared};

/// Programs of one journal, and the journal.
pub(crate) struct Home {
    pub(crate) shared: Arc<Shared>,
    pub(crate) journal: Journal<Platform>,
    pub(crate) tasks: TaskTracker,
    pub(super) programs: RwLock<HashMap<ProgramId, Arc<Resident>>>,
    pub(super) owned: RwLock<HashSet<JournalId>>,
    pub(super) next: AtomicU64,
    /// Held during an adoption.
    pub(crate) adopting: tokio::sync::Mutex<()>,
    /// Number of the last records that other daemons got a copy of.
    pub(super) copied: AtomicU64,
    /// Adoptions begun and not finished, with the journal object after which
    /// they were begun.
    pub(super) unfinished: Mutex<HashMap<JournalId, u64>>,
    pub(super) stop: CancellationToken,
}

/// One program at its home.
pub(crate) struct Resident {
    pub(crate) program: Mutex<Program>,
    pub(crate) running: Mutex<Option<Arc<Running>>>,
    /// Held while tokens are being set aside.
    pub(crate) reserve: tokio::sync::Mutex<()>,
    pub(crate) changed: watch::Sender<()>,
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

    pub(super) fn write_owned(&self) -> std::sync::RwLockWriteGuard<'_, HashSet<JournalId>> {
        self.owned.write().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(super) fn write_programs(
        &self,
    ) -> std::sync::RwLockWriteGuard<'_, HashMap<ProgramId, Arc<Resident>>> {
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
}
