//! Adoption: takes over the programs of a daemon that has stopped or died.

use std::sync::Arc;

use gg_dispatch::owner;
use gg_journal::{JournalError, find_owner_path, incarnations, remove_records, replay, seal};
use gg_program::{ProgramTable, Record, RecordError};
use gg_protocol::{JournalId, Name, clock::wall_ms};
use quick_error::quick_error;

use crate::{home::Home, outage, shared::Shared};

quick_error! {
    /// Why an adoption failed.
    #[derive(Debug)]
    pub enum AdoptError {
        /// A journal could not be read or written.
        Journal(err: JournalError) {
            from()
            display("{err}")
        }
        /// Daemons that may hold the only copies of some records don't respond.
        Copies(journal: JournalId) {
            display("copies of {journal} may be held by daemons that don't respond")
        }
        /// The records violate the program rules.
        Rule(err: RecordError) {
            from()
            display("{err}")
        }
    }
}

/// Adopts the journals of those dead daemons whose adopter is this daemon.
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

/// Finishes started adoptions, or drops those whose journal this home has not
/// sealed.
pub(crate) async fn finish_adoptions(home: &Arc<Home>) {
    for journal in home.unfinished() {
        if let Err(err) = finish_adoption(home, &journal).await {
            log::warn!("event=adopt_failed journal={journal} error={err:?}");
        }
    }
}

async fn finish_adoption(home: &Arc<Home>, journal: &JournalId) -> Result<(), AdoptError> {
    let path = find_owner_path(&home.shared.platform, journal).await?;
    if path.get(1) == Some(home.id()) {
        adopt(home, journal).await?;
        return Ok(());
    }
    home.journal.append(&[Record::Adopted { journal: journal.clone() }]).await?;
    home.track_adoption(journal, true);
    Ok(())
}

/// Adopts every open journal of an instance except `except`.
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

/// Adopts one journal unless another daemon has sealed it, or finishes an
/// adoption that this home started earlier. Returns whether this home owns
/// the journal.
pub(crate) async fn adopt(home: &Arc<Home>, journal: &JournalId) -> Result<bool, AdoptError> {
    let started_at = tokio::time::Instant::now();
    let _guard = home.adoption_lock.lock().await;
    if home.owns(journal) {
        home.track_adoption(journal, true);
        return Ok(true);
    }
    let platform = &home.shared.platform;
    // A seal by another home means that the journal has its adopter, so no
    // record is written here.
    let replayed = replay::<Record, _>(platform, journal).await?;
    if replayed.sealed_by.as_ref().is_some_and(|by| by != home.id()) {
        home.track_adoption(journal, true);
        return Ok(false);
    }
    home.track_adoption(journal, false);
    home.journal.append(&[Record::Adopting { journal: journal.clone() }]).await?;
    let by = seal(platform, journal, home.id()).await?;
    if by != *home.id() {
        home.journal.append(&[Record::Adopted { journal: journal.clone() }]).await?;
        home.track_adoption(journal, true);
        return Ok(false);
    }
    let mut journals = Vec::new();
    let mut table = read_sealed(home, journal, &mut journals).await?;
    table.change_owner(wall_ms())?;
    add_engines(home, &mut table);
    let oldest_object = home.journal.next_sequence();
    let count = table.programs.len();
    commit_snapshots(home, &table).await?;
    home.add_programs(&journals, table, oldest_object);
    home.shared.dispatcher.release_home(journal);
    home.journal.append(&[Record::Adopted { journal: journal.clone() }]).await?;
    home.track_adoption(journal, true);
    for journal in &journals {
        remove_records(platform, journal).await?;
    }
    outage::drop_copies(&home.shared, journal, u64::MAX).await;
    log::info!(
        "event=adopt journal={journal} programs={count} took_ms={}",
        started_at.elapsed().as_millis()
    );
    Ok(true)
}

/// Adds every engine that may hold a cached prefix of the adopted programs. The
/// previous owner may have died after an engine finished a turn and before the
/// turn was recorded.
fn add_engines(home: &Home, table: &mut ProgramTable) {
    let config = home.shared.config.get();
    for program in table.programs.values_mut() {
        let engines: Vec<Name> = match program.model() {
            Some(model) => config.engines(model).into_iter().map(|(name, _)| name).collect(),
            None => config.all_engines(),
        };
        let known = std::mem::take(&mut program.upstreams);
        let unknown = engines.into_iter().filter(|engine| !known.contains(engine));
        program.upstreams = unknown.collect();
        // Placement treats the last upstream as the one with the cached prefix,
        // so the known ones come last.
        program.upstreams.extend(known);
    }
}

/// Writes the adopted programs to this home's journal in batches, so that a
/// large adoption neither fills the backlog nor delays other commits.
async fn commit_snapshots(home: &Arc<Home>, table: &ProgramTable) -> Result<(), AdoptError> {
    let mut snapshots = Vec::new();
    let mut messages = 0;
    for program in table.programs.values() {
        messages += program.history.len() + program.turns.len();
        snapshots.push(Record::Snapshot(Box::new(program.clone())));
        if messages >= SNAPSHOT_BATCH_MESSAGES {
            home.journal.append(&std::mem::take(&mut snapshots)).await?;
            messages = 0;
        }
    }
    home.journal.append(&snapshots).await?;
    Ok(())
}

/// Messages and turns after which a batch of snapshots is committed.
const SNAPSHOT_BATCH_MESSAGES: usize = 2_000;

/// Rebuilds the programs of a sealed journal, including those of adoptions
/// that it started and did not finish. Adds the journals read to `journals`.
async fn read_sealed(
    home: &Arc<Home>,
    journal: &JournalId,
    journals: &mut Vec<JournalId>,
) -> Result<ProgramTable, AdoptError> {
    let replayed = replay::<Record, _>(&home.shared.platform, journal).await?;
    let mut table = ProgramTable::default();
    apply(&mut table, replayed.records);
    let copies = outage::collect(&home.shared, journal).await;
    apply(&mut table, copies.ok_or_else(|| AdoptError::Copies(journal.clone()))?);
    journals.push(journal.clone());
    for unfinished in std::mem::take(&mut table.adopting) {
        let inner = replay::<Record, _>(&home.shared.platform, &unfinished).await?;
        if inner.sealed_by.as_ref() != Some(journal) {
            continue;
        }
        let mut adopted = Box::pin(read_sealed(home, &unfinished, journals)).await?;
        adopted.change_owner(wall_ms())?;
        for (id, program) in adopted.programs {
            // A snapshot in the later journal is more recent.
            table.programs.entry(id).or_insert(program);
        }
    }
    Ok(table)
}

/// Applies records. A record that violates the rules is logged and skipped,
/// so that one program can't block the adoption of all others.
fn apply(table: &mut ProgramTable, records: Vec<Record>) {
    for record in records {
        if let Err(err) = table.apply(record) {
            log::error!("event=record_refused error={err:?}");
        }
    }
}

/// The daemon that adopts this daemon's journal in a planned stop.
pub(crate) fn successor(shared: &Shared) -> Option<Name> {
    let members = shared.members();
    let others: Vec<_> =
        members.into_iter().filter(|member| member.name != shared.settings.instance).collect();
    owner(&shared.settings.instance, None, &others).map(|member| member.name.clone())
}
