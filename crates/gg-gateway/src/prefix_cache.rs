//! Model of a replica's prefix cache: estimates which prompt parts are cached. A
//! pure data type. It lets long conversations whose prompts arrive complete
//! return to a replica that has processed their history.

use std::collections::HashMap;

use gg_protocol::Name;
use gg_route::PromptPart;

/// Maximum number of prompt parts tracked per replica; the least recently used
/// ones are dropped. With 130 replicas this takes some 10 MB at most.
const CACHED_PARTS_MAX: usize = 1_024;

/// Prompt parts that one replica has processed.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    cached: HashMap<Name, Entry>,
    /// Estimate of the tokens that the replica has processed so far for all
    /// gateways.
    processed: u64,
}

/// A processed prompt part.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Its length when it was last processed; the last part of a conversation's
    /// prompt grows.
    tokens: u32,
    /// Value of `processed` when the part was last used.
    used_at: u64,
}

impl PrefixCache {
    /// Tokens of a prompt that the replica has to process: those after its
    /// longest cached prefix. The replica caches `capacity` tokens and evicts
    /// the least recently used ones.
    pub fn uncached_tokens(&self, parts: &[PromptPart], capacity: u64) -> u64 {
        let mut uncached = 0;
        let is_cached =
            |entry: &&Entry| self.processed - entry.used_at + u64::from(entry.tokens) <= capacity;
        for part in parts {
            let cached = self.cached.get(&part.id).filter(is_cached);
            let cached = cached.map_or(0, |entry| entry.tokens);
            // Tokens after an uncached one have to be processed as well, cached
            // or not.
            let is_after_miss = uncached > 0;
            uncached += u64::from(if is_after_miss {
                part.tokens
            } else {
                part.tokens.saturating_sub(cached)
            });
        }
        uncached
    }

    /// Records that the replica has processed a prompt. Each of `gateways`
    /// gateways is assumed to send it as many tokens as this one does.
    pub fn record_prompt(&mut self, parts: &[PromptPart], capacity: u64, gateways: u32) {
        self.processed += self.uncached_tokens(parts, capacity) * u64::from(gateways.max(1));
        for part in parts {
            self.cached
                .insert(part.id.clone(), Entry { tokens: part.tokens, used_at: self.processed });
        }
        if self.cached.len() > CACHED_PARTS_MAX {
            let mut uses: Vec<u64> = self.cached.values().map(|entry| entry.used_at).collect();
            uses.sort_unstable();
            let oldest = uses[uses.len() - CACHED_PARTS_MAX / 2];
            let processed = self.processed;
            self.cached
                .retain(|_, entry| entry.used_at >= oldest && processed - entry.used_at < capacity);
        }
    }
}
