//! Selects the replica for a request.

/// Weights of the cost function, in milliseconds of a request's time.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceSettings {
    /// Cost of one more request of this gateway on the replica. Requests share
    /// the replica's batch steps, and other gateways are assumed to send it as
    /// many requests as this one does.
    pub load_ms: f64,
    /// Cost of another data centre: the round trip, and the traffic charge for
    /// the bytes of the prompt.
    pub remote_cost_ms: f64,
    /// Cost of processing 1,000 uncached tokens of a prompt. Replicas process
    /// 170 to 260 tokens per millisecond.
    pub uncached_ms: f64,
    /// Cost of a replica other than the affinity replica of the object of a
    /// call.
    pub non_affinity_ms: f64,
    /// Cost of processing 1,000 bytes of a history whose previous turn ran on
    /// another replica.
    pub history_ms: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        ChoiceSettings {
            load_ms: 25.0,
            remote_cost_ms: 40.0,
            uncached_ms: 4.0,
            non_affinity_ms: 15.0,
            history_ms: 2.0,
        }
    }
}

/// A replica that could take the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests of this gateway that the replica runs or queues.
    pub load: u32,
    /// Limit for the requests of this gateway on the replica.
    pub load_max: u32,
    /// The replica is in another data centre.
    pub is_remote: bool,
    /// Tokens of the prompt that are estimated to be missing in the replica's
    /// prefix cache.
    pub uncached_tokens: u64,
    /// The affinity replica of the object of the call is another one.
    pub is_non_affinity: bool,
    /// The replica ran the previous turn, or the request is not a model call.
    pub is_previous: bool,
    /// The replica recently failed or refused a request; it is only chosen if
    /// there is no other.
    pub is_suspect: bool,
    /// Mean delay of the replica beyond that of the fastest one, in ms.
    pub delay_ms: f64,
    /// Expected wait for a permit to send to the replica, in ms.
    pub permit_wait_ms: f64,
}

/// The selected candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Wait for a permit, in ms, up to which the candidate remains the best
    /// one; infinite if there is no other.
    pub wait_max_ms: f64,
}

/// Selects the candidate with the least expected time for a request that
/// continues a history of `history` bytes; `None` if all candidates are full.
/// `draw` returns random costs that break ties.
pub fn choose(
    candidates: &[Candidate],
    history: usize,
    settings: &ChoiceSettings,
    mut draw: impl FnMut() -> f64,
) -> Option<Choice> {
    let open =
        candidates.iter().enumerate().filter(|(_, candidate)| candidate.load < candidate.load_max);
    let mut costs: Vec<(usize, bool, f64)> = open
        .map(|(index, candidate)| {
            (index, candidate.is_suspect, candidate.cost_ms(history, settings) + draw())
        })
        .collect();
    costs.sort_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
    let (index, is_suspect, cost) = *costs.first()?;
    let next = costs.get(1).filter(|next| next.1 == is_suspect);
    let advantage = next.map_or(f64::INFINITY, |next| next.2 - cost);
    Some(Choice { index, wait_max_ms: candidates[index].permit_wait_ms + advantage })
}

impl Candidate {
    fn cost_ms(&self, history: usize, settings: &ChoiceSettings) -> f64 {
        let mut cost =
            self.delay_ms + self.permit_wait_ms + f64::from(self.load) * settings.load_ms;
        if self.is_remote {
            cost += settings.remote_cost_ms;
        }
        if self.is_non_affinity {
            cost += settings.non_affinity_ms;
        }
        cost + self.prefill_ms(history, settings)
    }

    /// Expected time, in ms, to process the uncached part of a prompt with
    /// `history` bytes of history.
    pub fn prefill_ms(&self, history: usize, settings: &ChoiceSettings) -> f64 {
        if self.is_previous {
            return 0.0;
        }
        (settings.history_ms * history as f64 + settings.uncached_ms * self.uncached_tokens as f64)
            / 1e3
    }
}
