//! Decisions about changes in progress and about removals, one by one.

#[path = "support/layout_model.rs"]
#[allow(dead_code, reason = "the model itself is used by another test")]
mod layout_model;

use std::time::Duration;

use gg_ledger::{
    Abandonment, Layout, LayoutPlan, LedgerSet, Member, Registration, RemovalBlock,
    ReplacementTimeouts,
};
use indexmap::{IndexMap, IndexSet};
use layout_model::member;

const IDLE: Duration = Duration::from_secs(1);

/// Disks: `A` and `A + 1` are the first two disks of one instance.
const A: usize = 0;
const B: usize = 3;
const C: usize = 6;
const D: usize = 9;

/// What an instance knows: the registered disks, names that are drained, and
/// disks with their silence.
struct Known<'a> {
    registered: &'a [usize],
    draining: &'a [usize],
    silent: &'a [(usize, Duration)],
}

fn set(disks: &[usize]) -> LedgerSet {
    LedgerSet { epoch: 1, tolerated: 1, members: members(disks), next: None }
}

fn members(disks: &[usize]) -> Vec<Member> {
    disks.iter().copied().map(member).collect()
}

impl Known<'_> {
    fn decide<R>(
        &self,
        set: &LedgerSet,
        decide: impl FnOnce(&LayoutPlan<'_, &dyn Fn(&Member) -> Duration>) -> R,
    ) -> R {
        let layout = Layout { partitions: vec![set.clone()] };
        let registered: IndexMap<_, _> = members(self.registered)
            .into_iter()
            .map(|member| (member.instance.clone(), Registration { member, since_ms: 0 }))
            .collect();
        let draining: IndexSet<_> =
            members(self.draining).into_iter().map(|member| member.instance).collect();
        let silence = |member: &Member| {
            let found = self.silent.iter().find(|(disk, _)| *disk as u64 == member.disk);
            found.map_or(Duration::ZERO, |(_, silence)| *silence)
        };
        decide(&LayoutPlan {
            layout: &layout,
            registered: &registered,
            draining: &draining,
            silence: &silence as &dyn Fn(&Member) -> Duration,
            replacement: ReplacementTimeouts { idle: IDLE, busy: 10 * IDLE },
        })
    }

    fn abandonment(&self, set: &LedgerSet) -> Option<Abandonment> {
        self.decide(set, |plan| plan.abandonment(set, C as u64))
    }

    fn removal_block(&self, set: &LedgerSet) -> Option<RemovalBlock> {
        self.decide(set, |plan| plan.removal_block(&member(A).instance))
    }
}

/// The directory names the learner's new disk; nobody has noticed its silence.
#[test]
fn replaced_learner() {
    let known = Known { registered: &[A, B + 1, C], draining: &[A], silent: &[] };
    let shrinking = set(&[A, B, C]).begin(members(&[B, C]));
    assert_eq!(known.abandonment(&shrinking), Some(Abandonment::LearnerLost));
    let known = Known { registered: &[A, B, C, D + 1], draining: &[A], silent: &[] };
    let replacing = set(&[A, B, C]).begin(members(&[D, B, C]));
    assert_eq!(known.abandonment(&replacing), Some(Abandonment::LearnerLost));
}

/// A disk is lost while a member that still holds its data is replaced.
#[test]
fn lost_member_first() {
    let known = Known { registered: &[A, B + 1, C, D], draining: &[A], silent: &[] };
    let replacing = set(&[A, B, C]).begin(members(&[D, B, C]));
    assert_eq!(known.abandonment(&replacing), Some(Abandonment::MemberLost));
    let known = Known { draining: &[], ..known };
    let replacing = set(&[A, B, C]).begin(members(&[A, B + 1, C]));
    assert_eq!(known.abandonment(&replacing), None, "the lost disk is being replaced");
}

/// Two members hold up writes if one is silent; of three, one may be.
#[test]
fn silent_learner() {
    let silent = &[(B, IDLE * 2), (D, IDLE * 2)];
    let known = Known { registered: &[A, B, C, D], draining: &[A], silent };
    let shrinking = set(&[A, B, C]).begin(members(&[B, C]));
    assert_eq!(known.abandonment(&shrinking), Some(Abandonment::LearnerSilent));
    let known = Known { silent: &[(D, IDLE * 2)], ..known };
    let replacing = set(&[A, B, C]).begin(members(&[D, B, C]));
    assert_eq!(known.abandonment(&replacing), None);
    let known = Known { silent: &[(D, IDLE * 5)], ..known };
    assert_eq!(known.abandonment(&replacing), Some(Abandonment::LearnerSilent));
}

#[test]
fn removal_needs_live_members() {
    let known = Known { registered: &[A, B + 1, C], draining: &[A], silent: &[] };
    assert_eq!(known.removal_block(&set(&[B + 1, B, C])), Some(RemovalBlock::MemberDown));
    assert_eq!(known.removal_block(&set(&[B + 1, C])), None);
    let known = Known { silent: &[(C, IDLE * 2)], ..known };
    assert_eq!(known.removal_block(&set(&[B + 1, C])), Some(RemovalBlock::MemberDown));
}

/// Sets of less than two members don't bear a loss.
#[test]
fn removal_needs_copies() {
    let known = Known { registered: &[A, B, C], draining: &[A, B], silent: &[] };
    assert_eq!(known.removal_block(&set(&[A, B, C])), Some(RemovalBlock::Copying));
    assert_eq!(known.removal_block(&set(&[A, C])), Some(RemovalBlock::LastCopies));
    assert_eq!(known.removal_block(&set(&[C])), Some(RemovalBlock::TooFewMembers));
    let shrinking = set(&[B, C]).begin(members(&[C]));
    assert_eq!(known.removal_block(&shrinking), Some(RemovalBlock::TooFewMembers));
    assert_eq!(known.abandonment(&shrinking), Some(Abandonment::TooFewMembers));
}
