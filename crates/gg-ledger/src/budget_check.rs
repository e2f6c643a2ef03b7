//! Decides from the replies of several members what the turns of a program have
//! spent together. Each member may lack turns that another one knows, because
//! it was down or slow. Performs no I/O.

use gg_protocol::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{SettledTurns, TurnSpend};

/// What one member knows of a program's turns other than the one that is
/// opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReport {
    /// Tokens that these turns spent or reserved.
    pub others: u64,
    /// Those of them that are settled; unknown from earlier versions.
    pub settled: Option<SettledTurns>,
}

/// Reports of the members that hold a turn's reservation.
#[derive(Clone, Debug, Default)]
pub struct BudgetCheck {
    reports: Vec<AccountReport>,
}

impl BudgetCheck {
    /// Adds the report of a member.
    pub fn add(&mut self, report: AccountReport) {
        self.reports.push(report);
    }

    /// Upper bound of the tokens that the members know together. It is exact if
    /// all hold the same settled turns and no turn is running.
    pub fn spent_max(&self) -> u64 {
        let others = self.reports.iter().map(|report| report.others);
        match self.same_settled() {
            Some(settled) => {
                settled + others.map(|others| others.saturating_sub(settled)).sum::<u64>()
            }
            None => others.sum(),
        }
    }

    /// Tokens of the settled turns if all members hold the same ones.
    fn same_settled(&self) -> Option<u64> {
        let (first, rest) = self.reports.split_first()?;
        let settled = first.settled?;
        rest.iter().all(|report| report.settled == first.settled).then_some(settled.tokens)
    }

    /// Whether members are known to hold different settled turns. It is unknown
    /// of earlier versions.
    pub fn has_gap(&self) -> bool {
        let mut known = self.reports.iter().filter_map(|report| report.settled);
        known.next().is_some_and(|first| known.any(|settled| settled != first))
    }
}

/// Account of a program, merged from what several members hold.
#[derive(Clone, Debug, Default)]
pub struct MergedAccount {
    turns: IndexMap<Name, TurnSpend>,
    members: Vec<(u64, IndexMap<Name, TurnSpend>)>,
}

impl MergedAccount {
    /// Adds what the member with this disk holds. A settlement known to any
    /// member overrides a reservation.
    pub fn add(&mut self, disk: u64, spends: Vec<TurnSpend>) {
        for spend in &spends {
            let known = self.turns.entry(spend.turn.clone()).or_insert_with(|| spend.clone());
            if rank(spend) > rank(known) {
                *known = spend.clone();
            }
        }
        let spends = spends.into_iter().map(|spend| (spend.turn.clone(), spend));
        self.members.push((disk, spends.collect()));
    }

    /// Tokens that turns other than `turn` spent or reserved.
    pub fn others(&self, turn: &str) -> u64 {
        let others = self.turns.values().filter(|spend| *spend.turn != *turn);
        others.map(|spend| u64::from(spend.tokens)).sum()
    }

    /// Settled turns that each member lacks, with their tokens. Running turns
    /// reach the members by themselves when they end.
    pub fn missing(&self) -> impl Iterator<Item = (u64, Vec<(Name, u32)>)> {
        self.members.iter().map(|(disk, held)| {
            let settled = self.turns.values().filter(|spend| spend.is_settled);
            let lacking = settled.filter(|spend| match held.get(&spend.turn) {
                Some(held) => held != *spend,
                None => spend.tokens > 0,
            });
            (*disk, lacking.map(|spend| (spend.turn.clone(), spend.tokens)).collect())
        })
    }
}

/// Of two spends of one turn, the one with the higher rank counts.
fn rank(spend: &TurnSpend) -> (bool, u32) {
    (spend.is_settled, spend.tokens)
}
