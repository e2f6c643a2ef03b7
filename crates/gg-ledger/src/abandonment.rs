//! Decides whether a change in progress is given up. Performs no I/O.

use std::time::Duration;

use crate::{LayoutPlan, LedgerSet, Member};

/// A change that doesn't hold up writes is abandoned when a learner has been
/// silent this many times longer than a member that is replaced. Waiting costs
/// little until then.
const ABANDON_FACTOR: u32 = 4;

/// Why a change in progress is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abandonment {
    /// A learner's disk is lost: it can never complete its copy.
    LearnerLost,
    /// A learner is silent.
    LearnerSilent,
    /// It keeps a member whose disk is lost, only to let one leave that still
    /// holds its data, or to add one.
    MemberLost,
    /// The set would not bear the tolerated losses. Instances of older versions
    /// start such changes.
    TooFewMembers,
}

impl Abandonment {
    /// Name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Abandonment::LearnerLost => "learner_lost",
            Abandonment::LearnerSilent => "learner_silent",
            Abandonment::MemberLost => "member_lost",
            Abandonment::TooFewMembers => "too_few_members",
        }
    }
}

impl<S: Fn(&Member) -> Duration> LayoutPlan<'_, S> {
    /// Whether the instance with `disk` abandons the change in progress of a
    /// set. Only a current member that reaches a read quorum decides this, as
    /// it is not cut off itself.
    pub fn abandonment(&self, set: &LedgerSet, disk: u64) -> Option<Abandonment> {
        let next = set.next.as_ref()?;
        let live = self.live_disks(set.all());
        if !set.contains_disk(disk) || !set.has_read_quorum(&live) {
            return None;
        }
        let learners = set.learners();
        if learners.iter().any(|member| self.is_lost(member)) {
            return Some(Abandonment::LearnerLost);
        }
        if next.len() < set.smallest_size().min(set.members.len()) {
            return Some(Abandonment::TooFewMembers);
        }
        if self.is_held_up(set, next) {
            return Some(Abandonment::MemberLost);
        }
        let before = set.abandon();
        let stops_writes = before.has_write_quorum(&live) && !set.has_write_quorum(&live);
        let factor = if stops_writes { 1 } else { ABANDON_FACTOR };
        let timeout = self.replacement.idle * factor;
        let is_silent = |member: &&Member| (self.silence)(member) > timeout;
        learners.iter().any(is_silent).then_some(Abandonment::LearnerSilent)
    }

    /// Whether a change of lesser need keeps a lost disk in the set that could
    /// leave it now.
    fn is_held_up(&self, set: &LedgerSet, next: &[Member]) -> bool {
        let mut leaving = set.members.iter().filter(|member| !next.contains(member));
        if leaving.any(|member| !self.is_live(member)) {
            return false;
        }
        let mut lost = set.members.iter().filter(|member| self.is_lost(member));
        let better = self.next(&set.abandon()).unwrap_or_else(|| set.members.clone());
        lost.any(|member| !better.contains(member))
    }
}
