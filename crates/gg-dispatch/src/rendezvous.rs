//! Rendezvous hashing: all daemons with the same set of members choose the same
//! owner, and adding or removing a member moves only the keys that it owns.

use gg_protocol::Name;

/// A member that can own keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
}

/// Returns the owner of `key`. Members in `centre` are preferred over all
/// others.
pub fn owner<'a>(key: &str, centre: Option<&str>, members: &'a [Member]) -> Option<&'a Member> {
    members.iter().max_by_key(|member| weight(key, centre, member))
}

/// Returns all members in order of preference; the first one owns `key`.
pub fn ranking<'a>(key: &str, centre: Option<&str>, members: &'a [Member]) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse(weight(key, centre, member)));
    ranked
}

fn weight(key: &str, centre: Option<&str>, member: &Member) -> (bool, u64) {
    let is_local = centre.is_some_and(|centre| centre == &*member.centre);
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.name.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    (is_local, u64::from_le_bytes(bytes))
}
