//! Decides whether an instance that is being drained may be taken away.
//! Performs no I/O.

use std::time::Duration;

use crate::{LayoutPlan, LedgerSet, Member};

/// Why an instance that is being drained can't be taken away yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalBlock {
    /// It is a member, and others copy what it holds.
    Copying,
    /// Others are members in its place, but one of them is down or has lost its
    /// disk.
    MemberDown,
}

impl RemovalBlock {
    /// Name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RemovalBlock::Copying => "copying",
            RemovalBlock::MemberDown => "member_down",
        }
    }
}

impl<S: Fn(&Member) -> Duration> LayoutPlan<'_, S> {
    /// What keeps an instance that is being drained from being taken away, if
    /// anything does.
    pub fn removal_block(&self, instance: &str) -> Option<RemovalBlock> {
        self.layout.partitions.iter().find_map(|set| self.block(set, instance))
    }

    fn block(&self, set: &LedgerSet, instance: &str) -> Option<RemovalBlock> {
        if set.all().iter().any(|member| *member.instance == *instance) {
            return Some(RemovalBlock::Copying);
        }
        let is_down = set.members.iter().any(|member| !self.is_live(member));
        is_down.then_some(RemovalBlock::MemberDown)
    }
}
