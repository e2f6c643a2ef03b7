//! Choice of a replica for a model call.

use gg_protocol::Name;
use rand::seq::IndexedRandom;

/// Rates that placement reckons with.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Prompt tokens that a replica computes in a millisecond.
    pub prefill_per_ms: f64,
    /// Extra wait that a replica in another data centre counts as, in ms.
    pub far_ms: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings { prefill_per_ms: 8.0, far_ms: 5 }
    }
}

/// A replica that could take the call.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub name: Name,
    /// Expected wait for a slot, in ms.
    pub wait_ms: u64,
    /// Prompt tokens believed to be in its cache.
    pub warm: u64,
    /// Whether it stands in another data centre.
    pub far: bool,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceReason {
    /// It holds the prefix, and waiting there costs less than recomputing.
    Warm,
    /// Recomputing elsewhere costs less than waiting for the warm one.
    Moved,
    /// No replica holds the prefix; the better of two at random.
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

/// A chosen replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub name: Name,
    /// Why.
    pub reason: PlaceReason,
    /// Longest wait for which the choice holds, in ms; none if there is no
    /// alternative.
    pub max_wait_ms: Option<u64>,
}

/// Chooses a replica for a call with a prompt of `tokens`.
pub fn choose(
    candidates: &[Candidate],
    tokens: u64,
    settings: &PlacementSettings,
) -> Option<Choice> {
    let cost = |candidate: &Candidate| {
        let far = if candidate.far { settings.far_ms } else { 0 };
        candidate.wait_ms + far + prefill_ms(tokens - candidate.warm.min(tokens), settings)
    };
    let warm = candidates.iter().filter(|candidate| candidate.warm > 0);
    let warm = warm.min_by_key(|candidate| cost(candidate));
    let others: Vec<&Candidate> = match warm {
        Some(warm) => candidates.iter().filter(|other| other.name != warm.name).collect(),
        None => candidates.iter().collect(),
    };
    let pair: Vec<&&Candidate> = others.choose_multiple(&mut rand::rng(), 2).collect();
    let cold = pair.into_iter().min_by_key(|candidate| cost(candidate));
    match (warm, cold) {
        (None, None) => None,
        (None, Some(cold)) => Some(Choice {
            name: cold.name.clone(),
            reason: PlaceReason::Cold,
            max_wait_ms: (others.len() > 1).then(|| cost(cold) + settings.far_ms),
        }),
        (Some(warm), None) => Some(chosen(warm, PlaceReason::Warm, None)),
        (Some(warm), Some(cold)) if cost(warm) <= cost(cold) => {
            let spare = cost(cold) - cost(warm) + warm.wait_ms;
            Some(chosen(warm, PlaceReason::Warm, Some(spare + settings.far_ms)))
        }
        (Some(_), Some(cold)) => Some(chosen(cold, PlaceReason::Moved, None)),
    }
}

fn chosen(candidate: &Candidate, reason: PlaceReason, max_wait_ms: Option<u64>) -> Choice {
    Choice { name: candidate.name.clone(), reason, max_wait_ms }
}

fn prefill_ms(tokens: u64, settings: &PlacementSettings) -> u64 {
    (tokens as f64 / settings.prefill_per_ms) as u64
}
