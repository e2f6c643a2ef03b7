//! Token budget of a root program and its sub-agents.
//!
//! Tokens are reserved in blocks, and a reservation is durable before its
//! tokens are spent. After a crash, all reserved tokens count as spent, since
//! calls may have been in flight.

use serde::{Deserialize, Serialize};

/// Number of blocks that a limit is divided into. A reservation grows by at
/// least one block, as far as the limit allows, so that one commit covers
/// several turns.
const BLOCKS_PER_BUDGET: u64 = 16;

/// Token budget of one root program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Tokens that may be spent.
    pub limit: u64,
    /// Tokens reserved since the start; durable.
    pub reserved: u64,
    /// Tokens spent by finished calls.
    pub spent: u64,
    /// Upper bound on the tokens of calls in flight.
    #[serde(skip)]
    pub pending: u64,
}

impl Budget {
    /// Size of the first block of a budget of `limit` tokens.
    pub fn first_block(limit: u64) -> u64 {
        limit.div_ceil(BLOCKS_PER_BUDGET)
    }

    /// Tokens available to new calls.
    pub fn available(&self) -> u64 {
        self.limit.saturating_sub(self.spent + self.pending)
    }

    /// Checks whether the reserved tokens cover a call of at most `bound`
    /// tokens. If not, returns the total to reserve first, or `None` if the
    /// call would exceed the limit.
    pub fn check_coverage(&self, bound: u64) -> Option<Coverage> {
        let needed = self.spent + self.pending + bound;
        if needed > self.limit {
            return None;
        }
        if needed <= self.reserved {
            return Some(Coverage::Ready);
        }
        let block = Budget::first_block(self.limit);
        let total = needed.max(self.reserved + block).min(self.limit);
        Some(Coverage::Reserve { total })
    }

    /// Counts a call of at most `bound` tokens as in flight.
    pub fn begin(&mut self, bound: u64) {
        self.pending += bound;
    }

    /// Ends a call that was counted with `bound`, and charges the tokens that it
    /// used.
    pub fn settle(&mut self, bound: u64, used: u64) {
        self.pending = self.pending.saturating_sub(bound);
        self.charge(used);
    }

    /// Charges tokens without a call in flight, as read from a journal.
    pub fn charge(&mut self, tokens: u64) {
        self.spent += tokens;
    }

    /// Counts all reserved tokens as spent, after a change of owner.
    pub fn charge_reserved(&mut self) {
        self.spent = self.spent.max(self.reserved);
        self.pending = 0;
    }
}

/// What is needed before a call may spend tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Nothing: the reserved tokens suffice.
    Ready,
    /// The reservation must first grow to this total, durably.
    Reserve {
        /// New total, in tokens.
        total: u64,
    },
}
