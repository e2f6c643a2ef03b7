//! What a replica is believed to keep of the prompts that it has read. A plain
//! type; answers the load of long lines of turns whose prompts come whole.

use std::collections::HashMap;

use gg_protocol::Name;
use gg_route::Part;

/// Parts that are remembered of one replica; those read last stay. With 130
/// replicas this takes some 10 MB at most.
const PARTS_MAX: usize = 1_024;

/// Parts of prompts that one replica has read.
#[derive(Clone, Debug, Default)]
pub struct KeptParts {
    kept: HashMap<Name, Kept>,
    /// Tokens that the replica is believed to have read so far, for all
    /// gateways.
    read: u64,
}

/// A part that was read.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// Its length then; the last part of a line's prompt grows.
    tokens: u32,
    /// Tokens read so far when it was last used.
    used: u64,
}

impl KeptParts {
    /// Tokens of a prompt that the replica has to read: those after the
    /// longest run of parts that it is believed to keep. It keeps `room`
    /// tokens and forgets those not used for longest.
    pub fn unread(&self, parts: &[Part], room: u64) -> u64 {
        let mut unread = 0;
        let has_room = |kept: &&Kept| self.read - kept.used + u64::from(kept.tokens) <= room;
        for part in parts {
            let kept = self.kept.get(&part.id).filter(has_room);
            let kept = kept.map_or(0, |kept| kept.tokens);
            // What follows a token that is read is read as well.
            let is_read_on = unread > 0;
            unread +=
                u64::from(if is_read_on { part.tokens } else { part.tokens.saturating_sub(kept) });
        }
        unread
    }

    /// The replica has read a prompt. As many gateways as `readers` are
    /// believed to send it as much as this one does.
    pub fn note(&mut self, parts: &[Part], room: u64, readers: u32) {
        self.read += self.unread(parts, room) * u64::from(readers.max(1));
        for part in parts {
            self.kept.insert(part.id.clone(), Kept { tokens: part.tokens, used: self.read });
        }
        if self.kept.len() > PARTS_MAX {
            let mut uses: Vec<u64> = self.kept.values().map(|kept| kept.used).collect();
            uses.sort_unstable();
            let oldest = uses[uses.len() - PARTS_MAX / 2];
            let read = self.read;
            self.kept.retain(|_, kept| kept.used >= oldest && read - kept.used < room);
        }
    }
}
