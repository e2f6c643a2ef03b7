//! Rendezvous hashing: every daemon that knows the same members names the
//! same owner, and a change of members moves only what it must.

use gg_protocol::Name;

/// A member that may own things.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
}

/// The owner of `key`: members of `centre` go before all others.
pub fn owner<'a>(key: &str, centre: Option<&str>, members: &'a [Member]) -> Option<&'a Member> {
    members.iter().max_by_key(|member| weight(key, centre, member))
}

/// All members, the owner of `key` first.
pub fn ranking<'a>(key: &str, centre: Option<&str>, members: &'a [Member]) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse(weight(key, centre, member)));
    ranked
}

fn weight(key: &str, centre: Option<&str>, member: &Member) -> (bool, u64) {
    let near = centre.is_some_and(|centre| centre == &*member.centre);
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.name.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    (near, u64::from_le_bytes(bytes))
}
