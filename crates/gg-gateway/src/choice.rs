//! Which replica a request goes to.

/// Costs that the choice weighs, in milliseconds of a request's time.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceSettings {
    /// One more request of ours on the replica: the others share its steps,
    /// and other gateways are believed to send it as much as we do.
    pub load_ms: f64,
    /// Another data centre: the way there and back, and the bytes of the
    /// prompt, which are priced.
    pub far_ms: f64,
    /// Reading 1,000 tokens of a prompt that the replica has not read yet:
    /// replicas read 170 to 260 in a millisecond.
    pub unread_ms: f64,
    /// Another replica than the one that handles the object of a call.
    pub stray_ms: f64,
    /// Reading 1,000 bytes of a chain that another replica ran before.
    pub moved_ms: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        ChoiceSettings {
            load_ms: 25.0,
            far_ms: 40.0,
            unread_ms: 4.0,
            stray_ms: 15.0,
            moved_ms: 2.0,
        }
    }
}

/// A replica that could take the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests of ours that it works on or queues.
    pub load: u32,
    /// Most requests of ours that it may have.
    pub load_max: u32,
    /// It stands in another data centre.
    pub is_far: bool,
    /// Tokens of the prompt that it is believed not to have read.
    pub unread: u64,
    /// Other replicas handle the object of the call.
    pub is_stray: bool,
    /// It ran the turn before.
    pub is_previous: bool,
    /// It failed or refused lately; only taken if no other is there.
    pub is_suspect: bool,
    /// Time that it takes beyond what others do, in ms.
    pub delay_ms: f64,
}

/// Index of the candidate with the least expected time for a request that
/// continues a chain of `history` bytes; draws are random and break ties.
/// `None` if all are full.
pub fn choose(
    candidates: &[Candidate],
    history: usize,
    settings: &ChoiceSettings,
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    let open =
        candidates.iter().enumerate().filter(|(_, candidate)| candidate.load < candidate.load_max);
    let costs = open.map(|(index, candidate)| {
        (index, candidate.is_suspect, candidate.cost_ms(history, settings) + draw())
    });
    let best = costs.min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
    best.map(|(index, _, _)| index)
}

impl Candidate {
    fn cost_ms(&self, history: usize, settings: &ChoiceSettings) -> f64 {
        let mut cost = self.delay_ms + f64::from(self.load) * settings.load_ms;
        if self.is_far {
            cost += settings.far_ms;
        }
        if self.is_stray {
            cost += settings.stray_ms;
        }
        cost + self.reading_ms(history, settings)
    }

    /// Time that it is expected to take to read what it has not read yet of
    /// a prompt with `history` bytes, in ms.
    pub fn reading_ms(&self, history: usize, settings: &ChoiceSettings) -> f64 {
        if self.is_previous {
            return 0.0;
        }
        (settings.moved_ms * history as f64 + settings.unread_ms * self.unread as f64) / 1e3
    }
}
