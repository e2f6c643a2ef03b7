//! Token budget of a root program and its sub-agents.
//!
//! Tokens are set aside in blocks that are durable before they are spent.
//! After a crash everything set aside counts as spent, since calls may have
//! been under way.

use serde::{Deserialize, Serialize};

/// Blocks are at least this share of the limit, so that several turns need
/// one commit.
const BLOCKS_PER_BUDGET: u64 = 16;

/// Account of one root program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Tokens that may be spent.
    pub limit: u64,
    /// Tokens set aside since the start, durable.
    pub reserved: u64,
    /// Tokens spent by finished calls.
    pub spent: u64,
    /// Bound on the tokens of calls under way.
    #[serde(skip)]
    pub pending: u64,
}

impl Budget {
    /// First block of a budget of `limit` tokens.
    pub fn first_block(limit: u64) -> u64 {
        limit.div_ceil(BLOCKS_PER_BUDGET)
    }

    /// Tokens that can still be given to new calls.
    pub fn left(&self) -> u64 {
        self.limit.saturating_sub(self.spent + self.pending)
    }

    /// Whether a call of at most `bound` tokens is covered by what is set
    /// aside; if not, the total that has to be set aside first, or `None` if
    /// the limit does not allow it.
    pub fn cover(&self, bound: u64) -> Option<Cover> {
        let need = self.spent + self.pending + bound;
        if need > self.limit {
            return None;
        }
        if need <= self.reserved {
            return Some(Cover::Ready);
        }
        let block = Budget::first_block(self.limit);
        let total = need.max(self.reserved + block).min(self.limit);
        Some(Cover::Reserve { total })
    }

    /// Counts a call as under way.
    pub fn begin(&mut self, bound: u64) {
        self.pending += bound;
    }

    /// Ends a call under way that was counted with `bound`.
    pub fn end(&mut self, bound: u64) {
        self.pending = self.pending.saturating_sub(bound);
    }

    /// Charges a finished call.
    pub fn charge(&mut self, tokens: u64) {
        self.spent += tokens;
    }

    /// Treats all that was set aside as spent, after a change of owner.
    pub fn forfeit(&mut self) {
        self.spent = self.spent.max(self.reserved);
        self.pending = 0;
    }
}

/// What has to happen before a call may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cover {
    /// Nothing: enough is set aside.
    Ready,
    /// The total set aside has to become this, durably.
    Reserve {
        /// New total, in tokens.
        total: u64,
    },
}
