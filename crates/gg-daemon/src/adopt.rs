//! Adoption: taking over the programs of a daemon that is gone.

use std::sync::Arc;

use gg_dispatch::owner;
use gg_journal::{JournalError, find_path, incarnations, remove_records, replay, seal};
use gg_program::{Book, Record, RuleError};
use gg_protocol::{JournalId, Name, clock::wall_ms};
use quick_error::quick_error;

use crate::{home::Home, outage, shared::Shared};

quick_error! {
    /// Why an adoption did not finish.
    #[derive(Debug)]
    pub enum AdoptError {
        /// A journal could not be read or written.
        Journal(err: JournalError) {
            from()
            display("{err}")
        }
        /// Daemons that may hold the only copies of records don't answer.
        Copies(journal: JournalId) {
            display("copies of {journal} may be with daemons that don't answer")
        }
        /// The records break the rules.
        Rule(err: RuleError) {
            from()
            display("{err}")
        }
    }
}

/// Adopts what belongs to us of the dead daemons' journals.
pub(crate) async fn adopt_dead(shared: &Arc<Shared>, home: &Arc<Home>) {
    for name in shared.membership.dead() {
        let members = shared.members();
        let adopter = owner(&name, None, &members).map(|member| &member.name);
        log::debug!("event=dead instance={name} adopter={adopter:?}");
        if adopter != Some(&shared.settings.instance) {
            continue;
        }
        match adopt_instance(home, &name, None).await {
            Ok(()) => shared.membership.forget(&name),
            Err(err) => log::warn!("event=adopt_failed instance={name} error={err:?}"),
        }
    }
}

/// Finishes adoptions that were begun, or drops those whose seal is not ours.
pub(crate) async fn finish_begun(home: &Arc<Home>) {
    for journal in home.unfinished() {
        if let Err(err) = finish(home, &journal).await {
            log::warn!("event=adopt_failed journal={journal} error={err:?}");
        }
    }
}

async fn finish(home: &Arc<Home>, journal: &JournalId) -> Result<(), AdoptError> {
    let path = find_path(&home.shared.platform, journal).await?;
    if path.get(1) == Some(home.id()) {
        adopt(home, journal).await?;
        return Ok(());
    }
    home.journal.append(&[Record::Adopted { journal: journal.clone() }]).await?;
    home.note_adoption(journal, true);
    Ok(())
}

/// Adopts every open journal of an instance but `except`.
pub(crate) async fn adopt_instance(
    home: &Arc<Home>,
    instance: &str,
    except: Option<&JournalId>,
) -> Result<(), AdoptError> {
    let known = incarnations(&home.shared.platform, Some(instance)).await;
    for journal in known.map_err(JournalError::from)? {
        if Some(&journal) != except && !home.owns(&journal) {
            adopt(home, &journal).await?;
        }
    }
    Ok(())
}

/// Adopts one journal unless another has, or finishes an adoption that its
/// adopter did not.
pub(crate) async fn adopt(home: &Arc<Home>, journal: &JournalId) -> Result<bool, AdoptError> {
    let began = tokio::time::Instant::now();
    let _turn = home.adopting.lock().await;
    if home.owns(journal) {
        home.note_adoption(journal, true);
        return Ok(true);
    }
    let platform = &home.shared.platform;
    // A sealed journal has its adopter; nothing is written for it.
    let found = replay::<Record, _>(platform, journal).await?;
    if found.sealed_by.as_ref().is_some_and(|by| by != home.id()) {
        home.note_adoption(journal, true);
        return Ok(false);
    }
    home.note_adoption(journal, false);
    home.journal.append(&[Record::Adopting { journal: journal.clone() }]).await?;
    let by = seal(platform, journal, home.id()).await?;
    if by != *home.id() {
        home.journal.append(&[Record::Adopted { journal: journal.clone() }]).await?;
        home.note_adoption(journal, true);
        return Ok(false);
    }
    let mut journals = Vec::new();
    let mut book = read_sealed(home, journal, &mut journals).await?;
    book.take_over(wall_ms())?;
    note_engines(home, &mut book);
    let oldest = home.journal.length();
    let count = book.programs.len();
    commit_snapshots(home, &book).await?;
    home.install(&journals, book, oldest);
    home.shared.dispatcher.drop_home(journal);
    home.journal.append(&[Record::Adopted { journal: journal.clone() }]).await?;
    home.note_adoption(journal, true);
    for journal in &journals {
        remove_records(platform, journal).await?;
    }
    outage::drop_copies(&home.shared, journal, u64::MAX).await;
    log::info!(
        "event=adopt journal={journal} programs={count} took_ms={}",
        began.elapsed().as_millis()
    );
    Ok(true)
}

/// Notes every engine that may hold something of the adopted programs. The
/// former owner may have been lost after an engine finished a turn and before
/// the turn was recorded.
fn note_engines(home: &Home, book: &mut Book) {
    let config = home.shared.config.get();
    for program in book.programs.values_mut() {
        let engines: Vec<Name> = match program.model() {
            Some(model) => config.engines(model).into_iter().map(|(name, _)| name).collect(),
            None => config.all_engines(),
        };
        let known = std::mem::take(&mut program.upstreams);
        let unknown = engines.into_iter().filter(|engine| !known.contains(engine));
        program.upstreams = unknown.collect();
        // The last one is taken for warm, so those that are known come last.
        program.upstreams.extend(known);
    }
}

/// Writes the adopted programs to our own journal, some at a time, so that
/// an adoption of many neither fills the backlog nor holds up other commits.
async fn commit_snapshots(home: &Arc<Home>, book: &Book) -> Result<(), AdoptError> {
    let mut snapshots = Vec::new();
    let mut messages = 0;
    for program in book.programs.values() {
        messages += program.history.len() + program.turns.len();
        snapshots.push(Record::Snapshot(Box::new(program.clone())));
        if messages >= SNAPSHOT_MESSAGES {
            home.journal.append(&std::mem::take(&mut snapshots)).await?;
            messages = 0;
        }
    }
    home.journal.append(&snapshots).await?;
    Ok(())
}

/// Messages and turns after which snapshots are committed.
const SNAPSHOT_MESSAGES: usize = 2_000;

/// Builds up the programs of a sealed journal, with those whose adoption it
/// had begun and not finished. Adds the journals read to `journals`.
async fn read_sealed(
    home: &Arc<Home>,
    journal: &JournalId,
    journals: &mut Vec<JournalId>,
) -> Result<Book, AdoptError> {
    let found = replay::<Record, _>(&home.shared.platform, journal).await?;
    let mut book = Book::default();
    apply(&mut book, found.records);
    let copies = outage::collect(&home.shared, journal).await;
    apply(&mut book, copies.ok_or_else(|| AdoptError::Copies(journal.clone()))?);
    journals.push(journal.clone());
    for unfinished in std::mem::take(&mut book.adopting) {
        let inner = replay::<Record, _>(&home.shared.platform, &unfinished).await?;
        if inner.sealed_by.as_ref() != Some(journal) {
            continue;
        }
        let mut earlier = Box::pin(read_sealed(home, &unfinished, journals)).await?;
        earlier.take_over(wall_ms())?;
        for (id, program) in earlier.programs {
            // A snapshot in the later journal has gone further.
            book.programs.entry(id).or_insert(program);
        }
    }
    Ok(book)
}

/// Applies records; one that breaks the rules is reported and left out, so
/// that a single program can't keep all others from being adopted.
fn apply(book: &mut Book, records: Vec<Record>) {
    for record in records {
        if let Err(err) = book.apply(record) {
            log::error!("event=record_refused error={err:?}");
        }
    }
}

/// The daemon that is to adopt our journal in a planned stop.
pub(crate) fn successor(shared: &Shared) -> Option<Name> {
    let members = shared.members();
    let others: Vec<_> =
        members.into_iter().filter(|member| member.name != shared.settings.instance).collect();
    owner(&shared.settings.instance, None, &others).map(|member| member.name.clone())
}
