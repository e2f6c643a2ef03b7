//! Quorums of a member set, and a model of its changes with losses between
//! steps.

use std::collections::{BTreeMap, BTreeSet};

use gg_ledger::{LedgerSet, Member};
use proptest::{collection::vec, prelude::*, sample::subsequence};

fn member(disk: u64) -> Member {
    Member {
        instance: format!("store-{disk}").into(),
        disk,
        address: ([127, 0, 0, 1], 1).into(),
        centre: "a".into(),
    }
}

fn set(disks: impl IntoIterator<Item = u64>, tolerated: usize) -> LedgerSet {
    let members = disks.into_iter().map(member).collect();
    LedgerSet { epoch: 1, tolerated, members, next: None }
}

proptest! {
    /// Every read quorum intersects every write quorum, even after the
    /// tolerated number of the writers' disks is lost.
    #[test]
    fn quorums_intersect(
        (size, tolerated) in (1usize..8).prop_flat_map(|size| (Just(size), 0..size)),
        seed in any::<u64>(),
    ) {
        let set = set(0..size as u64, tolerated);
        let writers = set.write_quorum(size);
        let readers = set.read_quorum(size);
        // The writers hold the entry; the tolerated losses affect writers
        // first.
        let lost = tolerated.min(writers - 1);
        let holders: BTreeSet<u64> = (lost as u64..writers as u64).collect();
        let remaining: Vec<u64> = (lost as u64..size as u64).collect();
        prop_assume!(readers <= remaining.len());
        let start = seed as usize % remaining.len();
        let read: Vec<u64> = remaining.iter().cycle().skip(start).take(readers).copied().collect();
        prop_assert!(set.has_read_quorum(&read));
        prop_assert!(read.iter().any(|disk| holders.contains(disk)), "{:?} {:?}", read, holders);
    }
}

#[test]
fn joint_set_needs_both_quorums() {
    let joint = set(0..3, 1).begin(vec![member(0), member(1), member(3)]);
    assert!(joint.has_write_quorum(&[0, 1]), "quorums of both sets");
    assert!(!joint.has_write_quorum(&[1, 2]), "quorum of the current set only");
    assert!(!joint.has_write_quorum(&[0, 3]), "quorum of the next set only");
    assert!(joint.has_write_quorum(&[0, 2, 3]));
    assert_eq!(joint.learners(), [&member(3)]);
    let shrinking = set(0..3, 1).begin(vec![member(0), member(1)]);
    assert_eq!(shrinking.learners().len(), 2, "a read quorum of two members is one member");
}

/// One step of the model.
#[derive(Clone, Debug)]
enum Step {
    /// A client that knows the set of `age` changes ago writes; `reachable` are
    /// the disks that its calls reach.
    Write { age: usize, reachable: Vec<u64> },
    /// A change to these members starts.
    Begin(Vec<u64>),
    /// A learner copies from the members that it reaches.
    Copy { learner: u64, reachable: Vec<u64> },
    /// The change completes if all learners have copied.
    Finish,
    /// The change is abandoned.
    Abandon,
    /// Reads all acknowledged writes; `reachable` are the disks that reply.
    Read { reachable: Vec<u64> },
}

const DISKS: u64 = 6;

fn step() -> impl Strategy<Value = Step> {
    let disks = || subsequence((0..DISKS).collect::<Vec<_>>(), 0..=DISKS as usize);
    let sized = |size| subsequence((0..DISKS).collect::<Vec<_>>(), size);
    prop_oneof![
        4 => (0usize..3, disks()).prop_map(|(age, reachable)| Step::Write { age, reachable }),
        2 => (2usize..=3).prop_flat_map(sized).prop_map(Step::Begin),
        3 => (0..DISKS, disks()).prop_map(|(learner, reachable)| Step::Copy { learner, reachable }),
        2 => Just(Step::Finish),
        1 => Just(Step::Abandon),
        2 => disks().prop_map(|reachable| Step::Read { reachable }),
    ]
}

/// Disks with the writes that they hold and the epoch below which they refuse
/// requests.
#[derive(Default)]
struct Model {
    sets: Vec<LedgerSet>,
    stored: BTreeMap<u64, BTreeSet<u64>>,
    epochs: BTreeMap<u64, u64>,
    copied: BTreeMap<u64, u64>,
    acknowledged: BTreeSet<u64>,
    written: u64,
}

impl Model {
    fn set(&self) -> LedgerSet {
        self.sets.last().cloned().expect("a set")
    }

    /// Whether a disk accepts a request of `epoch`. It adopts newer epochs.
    fn accepts(&mut self, disk: u64, epoch: u64) -> bool {
        let known = self.epochs.entry(disk).or_default();
        let accepts = epoch >= *known;
        *known = epoch.max(*known);
        accepts
    }

    fn write(&mut self, age: usize, reachable: &[u64]) {
        let set = self.sets[self.sets.len().saturating_sub(age + 1)].clone();
        let id = self.written;
        self.written += 1;
        let targets: Vec<u64> = set.all().iter().map(|member| member.disk).collect();
        let mut holders = Vec::new();
        for disk in targets.into_iter().filter(|disk| reachable.contains(disk)) {
            if self.accepts(disk, set.epoch) {
                self.stored.entry(disk).or_default().insert(id);
                holders.push(disk);
            }
        }
        if set.has_write_quorum(&holders) {
            self.acknowledged.insert(id);
        }
    }

    fn copy(&mut self, learner: u64, reachable: &[u64]) {
        let set = self.set();
        if !set.learners().iter().any(|member| member.disk == learner) {
            return;
        }
        let mut sources = Vec::new();
        for member in &set.members {
            let own = member.disk == learner;
            if (own || reachable.contains(&member.disk)) && self.accepts(member.disk, set.epoch) {
                let all = self.stored.get(&member.disk).cloned().unwrap_or_default();
                self.stored.entry(learner).or_default().extend(all);
                sources.push(member.disk);
            }
        }
        if set.has_read_quorum(&sources) {
            self.copied.insert(learner, set.epoch);
        }
    }

    fn apply(&mut self, step: &Step) {
        let set = self.set();
        match step {
            Step::Write { age, reachable } => self.write(*age, reachable),
            Step::Begin(next) if set.next.is_none() => {
                let kept = set.members.iter().filter(|m| next.contains(&m.disk)).count();
                // The layout controller replaces, adds or removes one member at
                // a time.
                if kept + 1 >= set.members.len() && next.len() <= kept + 1 && kept > 0 {
                    self.sets.push(set.begin(next.iter().copied().map(member).collect()));
                }
            }
            Step::Begin(_) => {}
            Step::Copy { learner, reachable } => self.copy(*learner, reachable),
            Step::Finish => {
                let done = |m: &&Member| self.copied.get(&m.disk).is_some_and(|e| *e >= set.epoch);
                if set.next.is_some() && set.learners().iter().all(done) {
                    self.sets.push(set.finish());
                }
            }
            Step::Abandon if set.next.is_some() => self.sets.push(set.abandon()),
            Step::Abandon => {}
            Step::Read { reachable } => self.read(&set, reachable),
        }
    }

    fn read(&self, set: &LedgerSet, reachable: &[u64]) {
        let members: Vec<u64> = set.members.iter().map(|member| member.disk).collect();
        let readers: Vec<u64> =
            members.into_iter().filter(|disk| reachable.contains(disk)).collect();
        if !set.has_read_quorum(&readers) {
            return;
        }
        for id in &self.acknowledged {
            let seen =
                readers.iter().any(|disk| self.stored.get(disk).is_some_and(|h| h.contains(id)));
            assert!(seen, "acknowledged write {id} is not seen by {readers:?} of {set:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// No acknowledged write is missed by any later read quorum, whatever
    /// changes of the set, outdated clients and unreachable disks occur in
    /// between.
    #[test]
    fn changes_keep_acknowledged_writes(steps in vec(step(), 1..40)) {
        let mut model = Model { sets: vec![set(0..3, 1)], ..Model::default() };
        for step in &steps {
            model.apply(step);
        }
        let all: Vec<u64> = (0..DISKS).collect();
        let set = model.set();
        // Each smallest read quorum of the last set sees all acknowledged
        // writes.
        let members: Vec<u64> = set.members.iter().map(|member| member.disk).collect();
        let quorum = set.read_quorum(members.len());
        for start in 0..members.len() {
            let reachable: Vec<u64> =
                members.iter().cycle().skip(start).take(quorum).copied().collect();
            model.read(&set, &reachable);
        }
        model.read(&set, &all);
    }
}
