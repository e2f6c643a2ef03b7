//! Choice of a replica for a model call.

use gg_protocol::Name;
use rand::seq::IndexedRandom;

/// Cost estimates used for placement.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Prompt tokens that a replica processes per millisecond.
    pub prefill_per_ms: f64,
    /// Extra cost of a replica in another data centre, in ms of waiting.
    pub remote_cost_ms: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings { prefill_per_ms: 8.0, remote_cost_ms: 5 }
    }
}

/// A replica that could run the call.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub name: Name,
    /// Expected wait for a slot, in ms.
    pub wait_ms: u64,
    /// Prompt tokens that are expected to be in the replica's prefix cache.
    pub cached_tokens: u64,
    /// Whether the replica is in another data centre.
    pub is_remote: bool,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceReason {
    /// The replica has the prefix cached, and waiting for it costs less than
    /// recomputing the prefix elsewhere.
    Warm,
    /// Recomputing the prefix on another replica costs less than waiting for
    /// the one that has it cached.
    Moved,
    /// No replica has the prefix cached; the better of two random replicas.
    Cold,
}

impl PlaceReason {
    /// Text used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PlaceReason::Warm => "warm",
            PlaceReason::Moved => "moved",
            PlaceReason::Cold => "cold",
        }
    }
}

/// The chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub name: Name,
    /// Reason for the choice.
    pub reason: PlaceReason,
    /// Maximum wait for which the choice is still the best, in ms; `None` if
    /// there is no alternative, or if the call moves away from a replica that
    /// has its prefix cached.
    pub max_wait_ms: Option<u64>,
}

/// Chooses a replica for a call with a prompt of `tokens` tokens.
pub fn choose(
    candidates: &[Candidate],
    tokens: u64,
    settings: &PlacementSettings,
) -> Option<Choice> {
    let cost = |candidate: &Candidate| {
        let remote_ms = if candidate.is_remote { settings.remote_cost_ms } else { 0 };
        candidate.wait_ms
            + remote_ms
            + prefill_ms(tokens - candidate.cached_tokens.min(tokens), settings)
    };
    let warm = candidates.iter().filter(|candidate| candidate.cached_tokens > 0);
    let warm = warm.min_by_key(|candidate| cost(candidate));
    let others: Vec<&Candidate> = match warm {
        Some(warm) => candidates.iter().filter(|other| other.name != warm.name).collect(),
        None => candidates.iter().collect(),
    };
    let sampled: Vec<&&Candidate> = others.choose_multiple(&mut rand::rng(), 2).collect();
    let cold = sampled.into_iter().min_by_key(|candidate| cost(candidate));
    match (warm, cold) {
        (None, None) => None,
        (None, Some(cold)) => Some(Choice {
            name: cold.name.clone(),
            reason: PlaceReason::Cold,
            max_wait_ms: (others.len() > 1).then(|| cost(cold) + settings.remote_cost_ms),
        }),
        (Some(warm), None) => Some(choice(warm, PlaceReason::Warm, None)),
        (Some(warm), Some(cold)) if cost(warm) <= cost(cold) => {
            let margin = cost(cold) - cost(warm) + warm.wait_ms;
            Some(choice(warm, PlaceReason::Warm, Some(margin + settings.remote_cost_ms)))
        }
        (Some(_), Some(cold)) => Some(choice(cold, PlaceReason::Moved, None)),
    }
}

fn choice(candidate: &Candidate, reason: PlaceReason, max_wait_ms: Option<u64>) -> Choice {
    Choice { name: candidate.name.clone(), reason, max_wait_ms }
}

fn prefill_ms(tokens: u64, settings: &PlacementSettings) -> u64 {
    (tokens as f64 / settings.prefill_per_ms) as u64
}
