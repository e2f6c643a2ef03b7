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
    /// Tokens read so far when the part was last used.
    used: HashMap<Name, u64>,
    /// Tokens that the replica is believed to have read so far, for all
    /// gateways.
    read: u64,
}

impl KeptParts {
    /// Tokens of a prompt that the replica has to read: those after the
    /// longest run of parts that it is believed to keep. It keeps `room`
    /// tokens and forgets those not used for longest.
    pub fn unread(&self, parts: &[Part], room: u64) -> u64 {
        let is_kept =
            |part: &&Part| self.used.get(&part.id).is_some_and(|used| self.read - used < room);
        let kept = parts.iter().take_while(is_kept).count();
        parts[kept..].iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// The replica has read a prompt. As many gateways as `readers` are
    /// believed to send it as much as this one does.
    pub fn note(&mut self, parts: &[Part], room: u64, readers: u32) {
        self.read += self.unread(parts, room) * u64::from(readers.max(1));
        for part in parts {
            self.used.insert(part.id.clone(), self.read);
        }
        if self.used.len() > PARTS_MAX {
            let mut ages: Vec<u64> = self.used.values().copied().collect();
            ages.sort_unstable();
            let oldest = ages[ages.len() - PARTS_MAX / 2];
            let read = self.read;
            self.used.retain(|_, used| *used >= oldest && read - *used < room);
        }
    }
}
