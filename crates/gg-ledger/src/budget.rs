//! Keeps programs within their budgets, also if members lack turns that others
//! know. A turn is admitted by the sums that come with its reservation if these
//! suffice, otherwise by the merged accounts of a read quorum.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use gg_protocol::Name;
use tokio::time;

use crate::{
    BudgetCheck, Ledger, LedgerError, MergedAccount, OpenRequest,
    protocol::{Op, ReplyBody},
    view::PartitionView,
};

/// Number of accounts that a client reconciles at a time while no turn waits
/// for it. Those that are left out are reconciled with a later turn.
pub(crate) const RECONCILIATIONS_MAX: usize = 4;

/// Timeout of a reconciliation that no turn waits for. A round trip takes 3 ms.
const RECONCILE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why accounts could not be merged.
enum MergeError {
    /// The member with this disk refused the request.
    Refused(u64, ReplyBody),
    /// Too few members replied.
    TooFew,
}

impl Ledger {
    /// Checks that the program of a turn that is reserved has enough tokens
    /// left. The members that hold the reservation have sent `accounts`.
    pub(crate) async fn check_budget(
        &self,
        view: &PartitionView,
        request: &OpenRequest,
        accounts: &BudgetCheck,
    ) -> Result<(), LedgerError> {
        let Some((program, (budget, tokens))) = request.key.program.as_ref().zip(request.budget)
        else {
            return Ok(());
        };
        let (turn, tokens) = (&request.key.turn, u64::from(tokens));
        if accounts.spent_max() + tokens <= budget {
            if accounts.has_gap() {
                self.spawn_reconciliation(view, program);
            }
            return Ok(());
        }
        let account = match merge_accounts(view, program).await {
            Ok(account) => account,
            Err(MergeError::Refused(disk, reply)) => return Err(self.handle_refusal(disk, reply)),
            Err(MergeError::TooFew) => {
                return Err(LedgerError::Unavailable("too few members know the account"));
            }
        };
        send_missing(view, program, &account);
        let spent = account.others(turn);
        if spent + tokens <= budget {
            return Ok(());
        }
        log::info!(
            "event=budget_spent request={turn} program={program} spent={spent} most={tokens} \
             budget={budget} exact=true partition={} epoch={}",
            view.scope.partition,
            view.scope.epoch
        );
        Err(LedgerError::BudgetSpent(spent))
    }

    /// Sends members the settled turns that they lack, unless many accounts are
    /// being reconciled.
    fn spawn_reconciliation(&self, view: &PartitionView, program: &Name) {
        let Ok(permit) = Arc::clone(&self.reconciling).try_acquire_owned() else { return };
        let (view, program) = (view.clone(), program.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let merging = merge_accounts(&view, &program);
            // A failed attempt is repeated with the program's next turn.
            if let Ok(Ok(account)) = time::timeout(RECONCILE_TIMEOUT, merging).await {
                send_missing(&view, &program, &account);
            }
        });
    }
}

/// Merges the accounts that a read quorum of the members holds.
async fn merge_accounts(view: &PartitionView, program: &Name) -> Result<MergedAccount, MergeError> {
    let mut calls: FuturesUnordered<_> = view
        .readable()
        .map(async |link| {
            (link.member.disk, link.call(view.scope, Op::Account(program.clone())).await)
        })
        .collect();
    let mut answered = Vec::new();
    let mut account = MergedAccount::default();
    while !view.set.has_read_quorum(&answered) {
        match calls.next().await {
            Some((disk, Ok(ReplyBody::Account(spends)))) => {
                answered.push(disk);
                account.add(disk, spends);
            }
            Some((disk, Ok(other))) => return Err(MergeError::Refused(disk, other)),
            Some((_, Err(_))) => {}
            None => return Err(MergeError::TooFew),
        }
    }
    Ok(account)
}

/// Sends the preferred members the settled turns that they lack. Those that are
/// called only while others don't reply need none of them.
fn send_missing(view: &PartitionView, program: &Name, account: &MergedAccount) {
    for (disk, mut missed) in account.missing() {
        let link = view.links[..view.preferred].iter().find(|link| link.member.disk == disk);
        let Some((link, (turn, tokens))) = link.zip(missed.pop()) else { continue };
        log::debug!("event=turns_missed program={program} disk={disk} turns={}", missed.len() + 1);
        let settle = Some((program.clone(), tokens));
        link.notify(view.scope, Op::Close { turn, settle, record: None, run: None, missed });
    }
}
