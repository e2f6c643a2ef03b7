//! Programs and when they begin.

use rand::{Rng, rngs::StdRng};

use crate::clock::{Micros, micros};

/// A kind of program.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Programs that begin in a second.
    pub rate: f64,
    /// Mean number of turns; uniform between half and one and a half of it.
    pub turns: f64,
    /// New prompt tokens of a turn, on average.
    pub input_tokens: f64,
    /// Events of a turn, on average.
    pub events: f64,
    /// Time between two turns: tools and thought, in ms.
    pub pause_ms: f64,
    /// A program is in target within this many times its time on free
    /// replicas, and `objective_ms` more.
    pub target_x: f64,
    /// Objective for the first event, in ms.
    pub objective_ms: f64,
}

/// More programs of one kind for a while.
#[derive(Clone, Debug)]
pub struct Flood {
    /// Index of the kind; all if none is given.
    pub kind: Option<usize>,
    /// First second.
    pub from: f64,
    /// Last second.
    pub to: f64,
    /// Factor on the rate.
    pub factor: f64,
}

/// What begins in a run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Kinds of programs.
    pub kinds: Vec<Kind>,
    /// Floods.
    pub floods: Vec<Flood>,
    /// Seconds in which programs begin.
    pub seconds: f64,
    /// Share of the turns that come to another gateway than the one before.
    pub wander: f64,
}

impl Default for Load {
    /// Two kinds of agent programs as the users' sheets have them.
    fn default() -> Self {
        let urgent = Kind {
            name: "draft",
            rank: 0,
            rate: 14.0,
            turns: 4.0,
            input_tokens: 1_680.0,
            events: 13.0,
            pause_ms: 200.0,
            target_x: 1.9,
            objective_ms: 250.0,
        };
        let other = Kind {
            name: "chat",
            rank: 2,
            rate: 6.0,
            turns: 9.0,
            input_tokens: 840.0,
            pause_ms: 100.0,
            target_x: 2.1,
            objective_ms: 500.0,
            ..urgent.clone()
        };
        Load { kinds: vec![urgent, other], floods: Vec::new(), seconds: 30.0, wander: 0.0 }
    }
}

/// One turn to come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnPlan {
    pub(crate) input_tokens: f64,
    pub(crate) events: u32,
}

/// A program as it will ask.
#[derive(Clone, Debug)]
pub(crate) struct ProgramPlan {
    pub(crate) kind: usize,
    pub(crate) begins: Micros,
    pub(crate) turns: Vec<TurnPlan>,
}

impl Load {
    /// The programs of a run, in the order in which they begin.
    pub(crate) fn programs(&self, random: &mut StdRng) -> Vec<ProgramPlan> {
        let mut programs = Vec::new();
        for (index, kind) in self.kinds.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let rate = kind.rate * self.factor(index, at);
                at += -random.random_range(f64::EPSILON..1.0).ln() / rate;
                if at >= self.seconds {
                    break;
                }
                let count = spread(random, kind.turns).round().max(1.0) as usize;
                let turn = |_| TurnPlan {
                    input_tokens: spread(random, kind.input_tokens),
                    events: spread(random, kind.events).round().max(1.0) as u32,
                };
                let turns = (0..count).map(turn).collect();
                programs.push(ProgramPlan { kind: index, begins: micros(at * 1e3), turns });
            }
        }
        programs.sort_by_key(|program| program.begins);
        programs
    }

    fn factor(&self, kind: usize, at: f64) -> f64 {
        let floods = self.floods.iter();
        let meant = floods.filter(|flood| flood.kind.is_none_or(|only| only == kind));
        meant
            .filter(|flood| (flood.from..flood.to).contains(&at))
            .map(|flood| flood.factor)
            .product()
    }
}

fn spread(random: &mut StdRng, mean: f64) -> f64 {
    mean * random.random_range(0.5..1.5)
}
