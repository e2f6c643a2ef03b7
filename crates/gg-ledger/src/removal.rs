//! Decides whether an instance that is being drained may be taken away.
//! Performs no I/O.

use std::time::Duration;

use crate::{LayoutPlan, LedgerSet, Member};

/// Why an instance that is being drained can't be taken away yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalBlock {
    /// It is a member, and the others are too few without it until another
    /// instance is added.
    LastCopies,
    /// It is a member, and others copy what it holds.
    Copying,
    /// Another member is down or has lost its disk.
    MemberDown,
    /// Others are members in its place, but too few of them to bear the
    /// tolerated losses.
    TooFewMembers,
}

impl RemovalBlock {
    /// Name in the log and in the status of the removal.
    pub fn as_str(self) -> &'static str {
        match self {
            RemovalBlock::LastCopies => "last_copies",
            RemovalBlock::Copying => "copying",
            RemovalBlock::MemberDown => "member_down",
            RemovalBlock::TooFewMembers => "too_few_members",
        }
    }
}

impl<S: Fn(&Member) -> Duration> LayoutPlan<'_, S> {
    /// What keeps an instance that is being drained from being taken away, if
    /// anything does. Without it, each set has to bear the tolerated losses.
    pub fn removal_block(&self, instance: &str) -> Option<RemovalBlock> {
        self.layout.partitions.iter().find_map(|set| self.block(set, instance))
    }

    fn block(&self, set: &LedgerSet, instance: &str) -> Option<RemovalBlock> {
        if set.all().iter().any(|member| *member.instance == *instance) {
            let is_due = set.next.is_some() || self.next(set).is_some();
            let is_last = set.members.len() <= set.smallest_size();
            return Some(match (is_due, is_last) {
                (true, _) => RemovalBlock::Copying,
                (false, true) => RemovalBlock::LastCopies,
                (false, false) => RemovalBlock::MemberDown,
            });
        }
        let sizes = [set.members.len(), set.next.as_ref().map_or(usize::MAX, Vec::len)];
        if sizes.into_iter().any(|size| size < set.smallest_size()) {
            return Some(RemovalBlock::TooFewMembers);
        }
        let is_down = set.members.iter().any(|member| !self.is_live(member));
        is_down.then_some(RemovalBlock::MemberDown)
    }
}
