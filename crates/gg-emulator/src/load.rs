//! Generates programs and their arrival times.

use rand::{Rng, rngs::StdRng};

use crate::clock::{Micros, micros};

/// A kind of program.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Arrival rate, in programs per second.
    pub rate: f64,
    /// Mean number of turns, distributed uniformly from 0.5 to 1.5 times the mean.
    pub turns: f64,
    /// Mean number of prompt tokens that a turn adds.
    pub input_tokens: f64,
    /// Mean number of stream events per turn.
    pub events: f64,
    /// Pause between two turns, as for tool calls, in ms.
    pub pause_ms: f64,
    /// Latency target as a multiple of the program's duration on idle replicas;
    /// `objective_ms` is added to it.
    pub target_factor: f64,
    /// Latency objective for the first event, in ms.
    pub objective_ms: f64,
}

/// A period with a raised arrival rate.
#[derive(Clone, Debug)]
pub struct Flood {
    /// Index of the affected kind; `None` affects all kinds.
    pub kind: Option<usize>,
    /// Start, in seconds of the run.
    pub from: f64,
    /// End, in seconds of the run.
    pub to: f64,
    /// Factor applied to the arrival rate.
    pub factor: f64,
}

/// The programs that arrive in a run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Kinds of programs.
    pub kinds: Vec<Kind>,
    /// Periods with a raised arrival rate.
    pub floods: Vec<Flood>,
    /// Period in which programs arrive, in seconds.
    pub seconds: f64,
    /// Share of the turns that arrive at a random gateway instead of the gateway of
    /// the previous turn.
    pub switch_share: f64,
}

impl Default for Load {
    /// Two kinds of agent programs, as the users' documentation describes them.
    fn default() -> Self {
        let urgent = Kind {
            name: "draft",
            rank: 0,
            rate: 14.0,
            turns: 4.0,
            input_tokens: 1_680.0,
            events: 13.0,
            pause_ms: 200.0,
            target_factor: 1.9,
            objective_ms: 250.0,
        };
        let other = Kind {
            name: "chat",
            rank: 2,
            rate: 6.0,
            turns: 9.0,
            input_tokens: 840.0,
            pause_ms: 100.0,
            target_factor: 2.1,
            objective_ms: 500.0,
            ..urgent.clone()
        };
        Load { kinds: vec![urgent, other], floods: Vec::new(), seconds: 30.0, switch_share: 0.0 }
    }
}

/// Size of one turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnPlan {
    pub(crate) input_tokens: f64,
    pub(crate) events: u32,
}

/// Arrival and turns of one program.
#[derive(Clone, Debug)]
pub(crate) struct ProgramPlan {
    pub(crate) kind: usize,
    pub(crate) arrival: Micros,
    pub(crate) turns: Vec<TurnPlan>,
}

impl Load {
    /// Generates the programs of a run in order of arrival.
    pub(crate) fn programs(&self, random: &mut StdRng) -> Vec<ProgramPlan> {
        let mut programs = Vec::new();
        for (index, kind) in self.kinds.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let rate = kind.rate * self.rate_factor(index, at);
                at += -random.random_range(f64::EPSILON..1.0).ln() / rate;
                if at >= self.seconds {
                    break;
                }
                let count = sample(random, kind.turns).round().max(1.0) as usize;
                let turn = |_| TurnPlan {
                    input_tokens: sample(random, kind.input_tokens),
                    events: sample(random, kind.events).round().max(1.0) as u32,
                };
                let turns = (0..count).map(turn).collect();
                programs.push(ProgramPlan { kind: index, arrival: micros(at * 1e3), turns });
            }
        }
        programs.sort_by_key(|program| program.arrival);
        programs
    }

    fn rate_factor(&self, kind: usize, at: f64) -> f64 {
        let floods = self.floods.iter();
        let matching = floods.filter(|flood| flood.kind.is_none_or(|affected| affected == kind));
        matching
            .filter(|flood| (flood.from..flood.to).contains(&at))
            .map(|flood| flood.factor)
            .product()
    }
}

fn sample(random: &mut StdRng, mean: f64) -> f64 {
    mean * random.random_range(0.5..1.5)
}
