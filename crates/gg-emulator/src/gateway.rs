//! The decisions of a gateway, made in virtual time.

use std::time::{Duration, Instant};

use gg_dispatch::{Admission, NewWork, Occupancy, Refusal};
use gg_gateway::{Candidate, ChoiceSettings, STREAM_LATE_SHARE, choose};
use gg_protocol::{OverloadStats, config::RANKS};
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};

use crate::{clock::Micros, load::Kind};

/// Bytes of conversation text per token.
const TOKEN_BYTES: f64 = 1.0;

/// Length of the prefix that all prompts of a kind share, in tokens.
const SHARED_PREFIX_TOKENS: u64 = 12_600;

/// How a replica is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// A random replica.
    Random,
    /// The replica with the fewest requests in flight from this gateway.
    LeastLoaded,
    /// The replica with the lowest expected cost, as gateways choose it.
    #[default]
    Cost,
}

/// The mechanisms that are enabled in a run.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name shown in tables and plots.
    pub name: &'static str,
    /// How a replica is chosen.
    pub placement: Placement,
    /// Whether admission refuses new work while replicas are full.
    pub admits: bool,
    /// Whether gateways exchange overload statistics.
    pub shares_stats: bool,
    /// Whether every gateway knows the replica of the previous turn and prefers
    /// it. Otherwise only the gateway that handled the previous turn does.
    pub global_affinity: bool,
    /// Whether later turns of a program bypass admission. Otherwise each turn
    /// counts as new work.
    pub begun_bypass: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            name: "gateway",
            placement: Placement::Cost,
            admits: true,
            shares_stats: true,
            global_affinity: true,
            begun_bypass: true,
        }
    }
}

impl Policy {
    /// The policy of real gateways, the baselines, and variants that each have
    /// one mechanism disabled or replaced.
    pub fn all() -> Vec<Policy> {
        let default_policy = Policy::default();
        let baseline = |name, placement| Policy {
            name,
            placement,
            admits: false,
            shares_stats: false,
            ..default_policy
        };
        vec![
            default_policy,
            baseline("random, arrival order", Placement::Random),
            baseline("least loaded, arrival order", Placement::LeastLoaded),
            Policy { name: "no admission", admits: false, ..default_policy },
            Policy { name: "no sharing", shares_stats: false, ..default_policy },
            Policy { name: "local affinity only", global_affinity: false, ..default_policy },
            Policy { name: "turns as new work", begun_bypass: false, ..default_policy },
            Policy { name: "least loaded", placement: Placement::LeastLoaded, ..default_policy },
        ]
    }
}

#[derive(Debug)]
pub(crate) struct Gateway {
    policy: Policy,
    start: Instant,
    admission: Admission,
    in_flight: [u32; RANKS],
    loads: Vec<u32>,
    /// Whether a replica has computed the shared prefix, by replica and kind.
    prefix_cached: Vec<Vec<bool>>,
    capacity: f64,
}

/// The replica chosen for a turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    pub(crate) replica: usize,
    /// Expected time to compute the uncached prompt tokens, in ms.
    pub(crate) prefill_ms: f64,
}

impl Gateway {
    pub(crate) fn new(policy: Policy, replicas: usize, kinds: usize, capacity: f64) -> Self {
        let start = Instant::now();
        Gateway {
            policy,
            start,
            admission: Admission::new(start),
            in_flight: [0; RANKS],
            loads: vec![0; replicas],
            prefix_cached: vec![vec![false; kinds]; replicas],
            capacity,
        }
    }

    fn at(&self, now: Micros) -> Instant {
        self.start + Duration::from_micros(now)
    }

    fn occupancy(&self) -> Occupancy {
        Occupancy { in_flight: self.in_flight, capacity: self.capacity }
    }

    /// Decides whether to admit new work.
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
        let (occupancy, at) = (self.occupancy(), self.at(now));
        self.admission.admit(work, occupancy, at, random.random_range(0.0..1.0))
    }

    /// Chooses a replica and counts the turn as in flight there.
    pub(crate) fn place(
        &mut self,
        rank: u8,
        kind: usize,
        history: f64,
        previous: Option<usize>,
        random: &mut StdRng,
    ) -> Placed {
        let replicas: Vec<usize> = (0..self.loads.len()).collect();
        let candidate = |replica: usize| Candidate {
            load: self.loads[replica],
            load_max: u32::MAX,
            uncached_tokens: if self.prefix_cached[replica][kind] {
                0
            } else {
                SHARED_PREFIX_TOKENS
            },
            is_previous: previous == Some(replica),
            ..Candidate::default()
        };
        let settings = ChoiceSettings::default();
        let bytes = (history * TOKEN_BYTES) as usize;
        let replica = match self.policy.placement {
            Placement::Random => replicas.choose(random).copied(),
            Placement::LeastLoaded => {
                let lowest_load = self.loads.iter().min().copied().unwrap_or(0);
                let least_loaded: Vec<usize> = replicas
                    .into_iter()
                    .filter(|replica| self.loads[*replica] == lowest_load)
                    .collect();
                least_loaded.choose(random).copied()
            }
            Placement::Cost => {
                let candidates: Vec<Candidate> = replicas.into_iter().map(candidate).collect();
                choose(&candidates, bytes, &settings, || random.random_range(0.0..2.0))
                    .map(|choice| choice.index)
            }
        };
        let replica = replica.unwrap_or(0);
        let prefill_ms = candidate(replica).prefill_ms(bytes, &settings);
        self.loads[replica] += 1;
        self.in_flight[usize::from(rank)] += 1;
        Placed { replica, prefill_ms }
    }

    /// Removes a turn from the counts of turns in flight.
    pub(crate) fn release(&mut self, rank: u8, replica: usize) {
        self.loads[replica] -= 1;
        self.in_flight[usize::from(rank)] -= 1;
    }

    /// Records the delay of a first event and that the replica has computed the
    /// shared prefix.
    pub(crate) fn record_first_event(
        &mut self,
        kind: &Kind,
        kind_index: usize,
        placed: Placed,
        delay_ms: f64,
        now: Micros,
    ) {
        self.prefix_cached[placed.replica][kind_index] = true;
        let allowed = kind.objective_ms * STREAM_LATE_SHARE + placed.prefill_ms;
        let (occupancy, at) = (self.occupancy(), self.at(now));
        self.admission.record_start(delay_ms > allowed, occupancy, at);
    }

    /// Records that a replica rejected a turn or did not start it in time.
    pub(crate) fn record_overload(&mut self, now: Micros) {
        let (occupancy, at) = (self.occupancy(), self.at(now));
        self.admission.record_start(true, occupancy, at);
    }

    /// Records the mean interval between the events of a stream.
    pub(crate) fn record_interval(&mut self, interval_ms: f64, now: Micros) {
        let (occupancy, at) = (self.occupancy(), self.at(now));
        self.admission.record_interval(interval_ms, occupancy, at);
    }

    /// Overload statistics of this gateway, for the other gateways.
    pub(crate) fn overload_stats(&mut self, now: Micros) -> OverloadStats {
        let in_flight = self.in_flight.iter().sum::<u32>() as f32;
        let at = self.at(now);
        OverloadStats { in_flight, ..self.admission.own_stats(at) }
    }

    /// Records the combined overload statistics of all gateways.
    pub(crate) fn record_shared(&mut self, stats: OverloadStats, now: Micros) {
        if self.policy.shares_stats {
            let (occupancy, at) = (self.occupancy(), self.at(now));
            self.admission.record_shared(stats, occupancy, at);
        }
    }
}
