//! One run: programs, gateways and replicas in virtual time.

use gg_protocol::Strain;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    EngineSettings, Load, Outcome, Policy,
    clock::{Agenda, Micros, micros},
    engine::{Engine, Progress, Work},
    gateway::{Gateway, Placed},
    load::{Kind, ProgramPlan},
    report::KindOutcome,
};

/// Way from a client over a gateway to a replica and back, in ms.
const WAY_MS: f64 = 8.0;

/// The same as targets allow for it, as on the users' sheets.
const TARGET_WAY_MS: f64 = 46.0;

/// Time between two rounds in which gateways tell each other how answers fare.
const SHARE_MS: f64 = 300.0;

/// Attempts of a turn before it counts as failed, and times that a failed
/// turn is sent again from its start.
const ATTEMPTS: u32 = 2;
const RESTARTS: u32 = 2;

/// Pause before a failed turn is sent again, in ms.
const RESTART_MS: std::ops::Range<f64> = 100.0..400.0;

/// A client leaves a turn without a first event after this time, in ms.
const PATIENCE_MS: f64 = 4_000.0;

/// Fewest events that tell a pace.
const PACE_EVENTS_MIN: u32 = 4;

/// Replicas that work slower for a while.
#[derive(Clone, Debug)]
pub struct Slowdown {
    /// How many.
    pub replicas: usize,
    /// First second.
    pub from: f64,
    /// Last second.
    pub to: f64,
    /// Factor on their times.
    pub factor: f64,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Gateways.
    pub gateways: usize,
    /// Replicas.
    pub replicas: usize,
    /// Each replica.
    pub engine: EngineSettings,
    /// Programs.
    pub load: Load,
    /// Decisions in force.
    pub policy: Policy,
    /// Faults.
    pub slowdowns: Vec<Slowdown>,
}

impl Default for Experiment {
    fn default() -> Self {
        Experiment {
            gateways: 8,
            replicas: 9,
            engine: EngineSettings::default(),
            load: Load::default(),
            policy: Policy::default(),
            slowdowns: Vec::new(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A program sends its present turn.
    Send(usize),
    /// A replica does a step.
    Step(usize),
    /// Gateways tell each other how answers fare.
    Share,
    /// A client gives an attempt up if it has not begun.
    Leave(usize),
    /// A replica's speed changes.
    Speed(usize, f64),
}

#[derive(Debug)]
struct Program {
    plan: ProgramPlan,
    turn: usize,
    attempts: u32,
    restarts: u32,
    history: f64,
    previous: Option<usize>,
    gateway: usize,
    /// Gateway that had the turn before.
    had_by: Option<usize>,
}

#[derive(Debug)]
struct Attempt {
    program: usize,
    gateway: usize,
    placed: Placed,
    sent: Micros,
    begun: Option<Micros>,
    is_over: bool,
}

struct Run<'a> {
    experiment: &'a Experiment,
    random: StdRng,
    agenda: Agenda<Event>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    gateways: Vec<Gateway>,
    programs: Vec<Program>,
    attempts: Vec<Attempt>,
    outcomes: Vec<KindOutcome>,
    open: usize,
}

/// Plays an experiment with a seed.
pub fn run(experiment: &Experiment, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let plans = experiment.load.programs(&mut random);
    let kinds = &experiment.load.kinds;
    let all_places = (experiment.replicas * experiment.engine.slots) as f64;
    let places = all_places / experiment.gateways as f64;
    let gateway = |_| Gateway::new(experiment.policy, experiment.replicas, kinds.len(), places);
    let mut run = Run {
        experiment,
        agenda: Agenda::new(),
        engines: (0..experiment.replicas).map(|_| Engine::new(experiment.engine.clone())).collect(),
        stepping: vec![false; experiment.replicas],
        gateways: (0..experiment.gateways).map(gateway).collect(),
        programs: Vec::new(),
        attempts: Vec::new(),
        outcomes: kinds.iter().map(|kind| KindOutcome::new(kind.name, kind.rank)).collect(),
        open: plans.len(),
        random,
    };
    run.begin(plans);
    run.play();
    Outcome { policy: experiment.policy.name, kinds: run.outcomes }
}

impl Run<'_> {
    fn begin(&mut self, plans: Vec<ProgramPlan>) {
        for (number, plan) in plans.into_iter().enumerate() {
            self.agenda.add(plan.begins, Event::Send(number));
            self.outcomes[plan.kind].offered += 1;
            let gateway = self.random.random_range(0..self.gateways.len());
            self.programs.push(Program {
                plan,
                turn: 0,
                attempts: 0,
                restarts: 0,
                history: 0.0,
                previous: None,
                gateway,
                had_by: None,
            });
        }
        self.agenda.add(micros(SHARE_MS), Event::Share);
        for slowdown in &self.experiment.slowdowns {
            for replica in 0..slowdown.replicas.min(self.engines.len()) {
                self.agenda
                    .add(micros(slowdown.from * 1e3), Event::Speed(replica, slowdown.factor));
                self.agenda.add(micros(slowdown.to * 1e3), Event::Speed(replica, 1.0));
            }
        }
    }

    fn play(&mut self) {
        while self.open > 0 {
            let Some((now, event)) = self.agenda.pop() else { break };
            match event {
                Event::Send(program) => self.send(program, now),
                Event::Step(replica) => self.step(replica, now),
                Event::Share => self.share(now),
                Event::Leave(attempt) => self.leave(attempt, now),
                Event::Speed(replica, factor) => self.engines[replica].slowness = factor,
            }
        }
    }

    fn kind(&self, program: usize) -> &Kind {
        &self.experiment.load.kinds[self.programs[program].plan.kind]
    }

    fn send(&mut self, number: usize, now: Micros) {
        let kind = self.kind(number).clone();
        let program = &self.programs[number];
        let gateway = program.gateway;
        let policy = &self.experiment.policy;
        let is_known = policy.returns || program.had_by == Some(gateway);
        let previous = program.previous.filter(|_| is_known);
        if (program.turn == 0 || !policy.tells_begun)
            && let Err(refusal) = self.gateways[gateway].admit(&kind, now, &mut self.random)
        {
            self.outcomes[program.plan.kind].refusals += 1;
            self.retry(number, now, refusal.retry.as_secs_f64() * 1e3);
            return;
        }
        let (index, turn) = (program.plan.kind, program.plan.turns[program.turn]);
        let placed = self.gateways[gateway].place(
            kind.rank,
            index,
            program.history,
            previous,
            &mut self.random,
        );
        let work = Work {
            attempt: self.attempts.len(),
            kind: index,
            program: number,
            history: program.history,
            input: turn.input_tokens,
            events: turn.events,
        };
        if !self.engines[placed.replica].take(work) {
            self.gateways[gateway].leave(kind.rank, placed.replica);
            self.gateways[gateway].note_full(now);
            self.retry(number, now, kind.objective_ms / 2.0);
            return;
        }
        self.agenda.add(now + micros(PATIENCE_MS), Event::Leave(self.attempts.len()));
        let (sent, begun, is_over) = (now, None, false);
        self.attempts.push(Attempt { program: number, gateway, placed, sent, begun, is_over });
        self.wake(placed.replica, now);
    }

    fn wake(&mut self, replica: usize, now: Micros) {
        if !self.stepping[replica] {
            self.stepping[replica] = true;
            self.agenda.add(now, Event::Step(replica));
        }
    }

    fn step(&mut self, replica: usize, now: Micros) {
        let (time, progress) = self.engines[replica].step();
        let end = now + time;
        for one in progress {
            match one {
                Progress::Begun(attempt) => self.begun(attempt, end),
                Progress::Ended(attempt) => self.ended(attempt, end),
            }
        }
        self.stepping[replica] = self.engines[replica].is_busy();
        if self.stepping[replica] {
            self.agenda.add(end, Event::Step(replica));
        }
    }

    fn begun(&mut self, number: usize, now: Micros) {
        let attempt = &mut self.attempts[number];
        if attempt.is_over {
            return;
        }
        attempt.begun = Some(now);
        let (program, gateway, placed) = (attempt.program, attempt.gateway, attempt.placed);
        let delay_ms = (now - attempt.sent) as f64 / 1e3;
        let (kind, index) = (self.kind(program).clone(), self.programs[program].plan.kind);
        self.outcomes[index].first_ms.push(delay_ms);
        self.gateways[gateway].note_begun(&kind, index, placed, delay_ms, now);
    }

    fn ended(&mut self, number: usize, now: Micros) {
        let attempt = &mut self.attempts[number];
        if attempt.is_over {
            return;
        }
        attempt.is_over = true;
        let (program, gateway, placed) = (attempt.program, attempt.gateway, attempt.placed);
        let begun = attempt.begun.unwrap_or(now);
        let kind = self.kind(program).clone();
        self.gateways[gateway].leave(kind.rank, placed.replica);
        let turn = self.programs[program].plan.turns[self.programs[program].turn];
        if turn.events >= PACE_EVENTS_MIN {
            let pace_ms = (now - begun) as f64 / 1e3 / f64::from(turn.events - 1);
            self.gateways[gateway].note_pace(pace_ms, now);
        }
        let made = f64::from(turn.events * self.experiment.engine.event_tokens);
        let wander = self.experiment.load.wander;
        let wanders = wander > 0.0 && self.random.random_bool(wander);
        let next = if wanders { self.random.random_range(0..self.gateways.len()) } else { gateway };
        let known = &mut self.programs[program];
        known.history += turn.input_tokens + made;
        known.previous = Some(placed.replica);
        (known.had_by, known.gateway) = (Some(gateway), next);
        known.turn += 1;
        (known.attempts, known.restarts) = (0, 0);
        if known.turn < known.plan.turns.len() {
            self.agenda.add(now + micros(WAY_MS + kind.pause_ms), Event::Send(program));
        } else {
            self.finish(program, now);
        }
    }

    fn finish(&mut self, number: usize, now: Micros) {
        self.open -= 1;
        let plan = &self.programs[number].plan;
        let took_ms = (now - plan.begins) as f64 / 1e3;
        let is_in_target = took_ms <= self.target_ms(plan);
        let outcome = &mut self.outcomes[plan.kind];
        match is_in_target {
            true => outcome.in_target += 1,
            false => outcome.late += 1,
        }
    }

    /// Target of a program, from its time on free replicas.
    fn target_ms(&self, plan: &ProgramPlan) -> f64 {
        let (kind, engine) = (&self.experiment.load.kinds[plan.kind], &self.experiment.engine);
        let turn_ms = plan.turns.iter().map(|turn| {
            let tokens = f64::from(turn.events * engine.event_tokens);
            TARGET_WAY_MS + turn.input_tokens / engine.read_tokens + tokens * engine.step_ms
        });
        let pauses = kind.pause_ms * (plan.turns.len() - 1) as f64;
        kind.target_x * (turn_ms.sum::<f64>() + pauses) + kind.objective_ms
    }

    /// The client tries again, or gives the program up.
    fn retry(&mut self, number: usize, now: Micros, retry_ms: f64) {
        let gateways = self.gateways.len();
        let restart_ms = self.random.random_range(RESTART_MS);
        let program = &mut self.programs[number];
        program.gateway = (program.gateway + 1) % gateways;
        program.attempts += 1;
        let pause_ms = if program.attempts < ATTEMPTS {
            retry_ms
        } else if program.restarts < RESTARTS {
            program.attempts = 0;
            program.restarts += 1;
            restart_ms
        } else {
            self.open -= 1;
            self.outcomes[program.plan.kind].refused += 1;
            return;
        };
        self.agenda.add(now + micros(pause_ms), Event::Send(number));
    }

    fn leave(&mut self, number: usize, now: Micros) {
        let attempt = &mut self.attempts[number];
        if attempt.is_over || attempt.begun.is_some() {
            return;
        }
        attempt.is_over = true;
        let (program, gateway, replica) =
            (attempt.program, attempt.gateway, attempt.placed.replica);
        let rank = self.kind(program).rank;
        self.gateways[gateway].leave(rank, replica);
        self.gateways[gateway].note_full(now);
        self.retry(program, now, 0.0);
    }

    fn share(&mut self, now: Micros) {
        let mut all = Strain::default();
        self.gateways.iter_mut().for_each(|gateway| all.add(&gateway.strain(now)));
        self.gateways.iter_mut().for_each(|gateway| gateway.note_shared(all, now));
        self.agenda.add(now + micros(SHARE_MS), Event::Share);
    }
}
