//! A gateway's decisions in virtual time.

use std::time::{Duration, Instant};

use gg_dispatch::{Admission, Fill, NewWork, Refusal};
use gg_gateway::{Candidate, ChoiceSettings, STREAM_LATE_SHARE, choose};
use gg_protocol::{Strain, config::RANKS};
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};

use crate::{clock::Micros, load::Kind};

/// Bytes of a token in a chain's text.
const TOKEN_BYTES: f64 = 1.0;

/// Tokens of the beginning that all prompts of a kind share.
const SHARED_TOKENS: u64 = 12_600;

/// How a replica is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placing {
    /// Any.
    Random,
    /// The one that has least of this gateway.
    LeastLoaded,
    /// The one with the least expected time, as gateways do.
    #[default]
    Cost,
}

/// Which decisions are in force.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name in tables.
    pub name: &'static str,
    /// How a replica is chosen.
    pub placing: Placing,
    /// New work is refused while replicas are full.
    pub admits: bool,
    /// Gateways tell each other how answers fare.
    pub shares: bool,
    /// A turn goes back to the replica of the one before, whatever gateway it
    /// comes to; else only the gateway that had that one knows.
    pub returns: bool,
    /// A later turn is told from new work.
    pub tells_begun: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            name: "gateway",
            placing: Placing::Cost,
            admits: true,
            shares: true,
            returns: true,
            tells_begun: true,
        }
    }
}

impl Policy {
    /// The policy of gateways, the baselines, and each mechanism off.
    pub fn all() -> Vec<Policy> {
        let ours = Policy::default();
        let baseline =
            |name, placing| Policy { name, placing, admits: false, shares: false, ..ours };
        vec![
            ours,
            baseline("random, arrival order", Placing::Random),
            baseline("least loaded, arrival order", Placing::LeastLoaded),
            Policy { name: "no admission", admits: false, ..ours },
            Policy { name: "no sharing", shares: false, ..ours },
            Policy { name: "lines forgotten", returns: false, ..ours },
            Policy { name: "each turn new", tells_begun: false, ..ours },
            Policy { name: "least loaded", placing: Placing::LeastLoaded, ..ours },
        ]
    }
}

#[derive(Debug)]
pub(crate) struct Gateway {
    policy: Policy,
    start: Instant,
    admission: Admission,
    under_way: [u32; RANKS],
    loads: Vec<u32>,
    /// Shared beginnings that replicas have read, by replica and kind.
    warm: Vec<Vec<bool>>,
    places: f64,
}

/// A turn to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    pub(crate) replica: usize,
    /// Expected time of reading, in ms.
    pub(crate) reading_ms: f64,
}

impl Gateway {
    pub(crate) fn new(policy: Policy, replicas: usize, kinds: usize, places: f64) -> Self {
        let start = Instant::now();
        Gateway {
            policy,
            start,
            admission: Admission::new(start),
            under_way: [0; RANKS],
            loads: vec![0; replicas],
            warm: vec![vec![false; kinds]; replicas],
            places,
        }
    }

    fn at(&self, now: Micros) -> Instant {
        self.start + Duration::from_micros(now)
    }

    fn fill(&self) -> Fill {
        Fill { under_way: self.under_way, places: self.places }
    }

    /// Decides on a program's first turn.
    pub(crate) fn admit(
        &mut self,
        kind: &Kind,
        now: Micros,
        random: &mut StdRng,
    ) -> Result<(), Refusal> {
        if !self.policy.admits {
            return Ok(());
        }
        let objective = Duration::from_secs_f64(kind.objective_ms / 1e3);
        let work = NewWork { rank: kind.rank, objective };
        let (fill, at) = (self.fill(), self.at(now));
        self.admission.admit(work, fill, at, random.random_range(0.0..1.0))
    }

    /// Chooses a replica and takes a place there.
    pub(crate) fn place(
        &mut self,
        rank: u8,
        kind: usize,
        history: f64,
        previous: Option<usize>,
        random: &mut StdRng,
    ) -> Placed {
        let all: Vec<usize> = (0..self.loads.len()).collect();
        let candidate = |replica: usize| Candidate {
            load: self.loads[replica],
            load_max: u32::MAX,
            unread: if self.warm[replica][kind] { 0 } else { SHARED_TOKENS },
            is_previous: previous == Some(replica),
            ..Candidate::default()
        };
        let settings = ChoiceSettings::default();
        let bytes = (history * TOKEN_BYTES) as usize;
        let replica = match self.policy.placing {
            Placing::Random => all.choose(random).copied(),
            Placing::LeastLoaded => {
                let least = self.loads.iter().min().copied().unwrap_or(0);
                let free: Vec<usize> =
                    all.into_iter().filter(|replica| self.loads[*replica] == least).collect();
                free.choose(random).copied()
            }
            Placing::Cost => {
                let candidates: Vec<Candidate> = all.into_iter().map(candidate).collect();
                choose(&candidates, bytes, &settings, || random.random_range(0.0..2.0))
            }
        };
        let replica = replica.unwrap_or(0);
        let reading_ms = candidate(replica).reading_ms(bytes, &settings);
        self.loads[replica] += 1;
        self.under_way[usize::from(rank)] += 1;
        Placed { replica, reading_ms }
    }

    /// Gives a place back.
    pub(crate) fn leave(&mut self, rank: u8, replica: usize) {
        self.loads[replica] -= 1;
        self.under_way[usize::from(rank)] -= 1;
    }

    /// Takes in when a stream began.
    pub(crate) fn note_begun(
        &mut self,
        kind: &Kind,
        kind_index: usize,
        placed: Placed,
        delay_ms: f64,
        now: Micros,
    ) {
        self.warm[placed.replica][kind_index] = true;
        let allowed = kind.objective_ms * STREAM_LATE_SHARE + placed.reading_ms;
        let (fill, at) = (self.fill(), self.at(now));
        self.admission.note(delay_ms > allowed, fill, at);
    }

    /// Takes in that a replica was full.
    pub(crate) fn note_full(&mut self, now: Micros) {
        let (fill, at) = (self.fill(), self.at(now));
        self.admission.note(true, fill, at);
    }

    /// Takes in the pace of a stream.
    pub(crate) fn note_pace(&mut self, pace_ms: f64, now: Micros) {
        let (fill, at) = (self.fill(), self.at(now));
        self.admission.note_pace(pace_ms, fill, at);
    }

    /// How our answers fare, for the others.
    pub(crate) fn strain(&mut self, now: Micros) -> Strain {
        let under_way = self.under_way.iter().sum::<u32>() as f32;
        let at = self.at(now);
        Strain { under_way, ..self.admission.own(at) }
    }

    /// Takes in how those of all gateways do.
    pub(crate) fn note_shared(&mut self, strain: Strain, now: Micros) {
        if self.policy.shares {
            let (fill, at) = (self.fill(), self.at(now));
            self.admission.note_shared(strain, fill, at);
        }
    }
}
