//! Carries out changes of the layout that are in progress: copies, and whether
//! all of them are made.

use std::time::Duration;

use gg_route::Deployment;
use tokio::time;

use crate::{
    LayoutController, LayoutPlan, LedgerSet, Member,
    link::Scope,
    node::lock,
    protocol::{Op, ReplyBody},
};

/// Timeout of a status request to another instance.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

impl<D: Deployment> LayoutController<D> {
    /// Completes changes in progress, or abandons those that the plan gives up.
    pub(crate) async fn advance_changes<S: Fn(&Member) -> Duration>(
        &self,
        plan: &LayoutPlan<'_, S>,
    ) -> Vec<(usize, LedgerSet)> {
        let mut changes = Vec::new();
        for (number, set) in plan.layout.partitions.iter().enumerate() {
            if set.next.is_none() {
                continue;
            }
            let partition = number as u16;
            self.ensure_copied(partition, set).await;
            if self.is_copied(partition, set).await {
                changes.push((number, set.finish()));
            } else if let Some(abandonment) = plan.abandonment(set, self.node.disk()) {
                let reason = abandonment.as_str();
                log::warn!("event=layout_change_abandoned partition={partition} reason={reason}");
                changes.push((number, set.abandon()));
            }
        }
        changes
    }

    /// Copies a partition that this instance is to hold.
    async fn ensure_copied(&self, partition: u16, set: &LedgerSet) {
        let is_learner = set.learners().iter().any(|member| member.disk == self.node.disk());
        if !is_learner || self.has_copied(partition, set) {
            return;
        }
        match self.node.copy_partition(partition, set).await {
            Ok(()) => log::info!("event=ledger_copied partition={partition} epoch={}", set.epoch),
            Err(err) => log::warn!("event=ledger_copy_failed partition={partition} error={err}"),
        }
    }

    fn has_copied(&self, partition: u16, set: &LedgerSet) -> bool {
        self.node.store().copied(partition).is_some_and(|epoch| epoch >= set.epoch)
    }

    /// Whether this instance is the one that completes the change, and all
    /// learners have copied the partition.
    async fn is_copied(&self, partition: u16, set: &LedgerSet) -> bool {
        let learners = set.learners();
        let is_finisher = learners.first().is_some_and(|member| member.disk == self.node.disk());
        if !is_finisher {
            return false;
        }
        for member in learners {
            let copied = match member.disk == self.node.disk() {
                true => self.has_copied(partition, set),
                false => self.query_copied(member, partition, set).await,
            };
            if !copied {
                return false;
            }
        }
        true
    }

    async fn query_copied(&self, member: &Member, partition: u16, set: &LedgerSet) -> bool {
        let Some(link) = lock(&self.links).get(member.disk).cloned() else { return false };
        let call = link.call(Scope { partition, epoch: set.epoch }, Op::Status);
        match time::timeout(STATUS_TIMEOUT, call).await {
            Ok(Ok(ReplyBody::Status { copied })) => copied.is_some_and(|epoch| epoch >= set.epoch),
            other => {
                log::info!("event=learner_silent instance={} answer={other:?}", member.instance);
                false
            }
        }
    }
}
