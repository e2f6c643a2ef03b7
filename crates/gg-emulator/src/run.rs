//! Runs programs, gateways and replicas as a discrete-event simulation.

use gg_protocol::OverloadStats;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    EngineSettings, Load, Outcome, Policy,
    clock::{EventQueue, Micros, micros},
    engine::{Engine, Progress, TurnAttempt},
    gateway::{Gateway, Placed},
    load::{Kind, ProgramPlan},
    report::KindOutcome,
};

/// Round trip from a client through a gateway to a replica.
const ROUND_TRIP_MS: f64 = 8.0;

/// Round trip that the latency targets include, as the users' documentation gives
/// it.
const TARGET_ROUND_TRIP_MS: f64 = 46.0;

/// Interval at which gateways exchange overload statistics.
const EXCHANGE_INTERVAL_MS: f64 = 300.0;

/// Attempts of a turn before it counts as failed, and the number of times that a
/// client restarts a failed turn.
const ATTEMPTS_MAX: u32 = 2;
const RESTARTS_MAX: u32 = 2;

/// Delay before a client restarts a failed turn.
const RESTART_DELAY_MS: std::ops::Range<f64> = 100.0..400.0;

/// Time after which a client abandons an attempt without a first event.
const FIRST_EVENT_TIMEOUT_MS: f64 = 4_000.0;

/// Minimum number of events for a meaningful mean interval.
const INTERVAL_EVENTS_MIN: u32 = 4;

/// A period in which some replicas are slower.
#[derive(Clone, Debug)]
pub struct Slowdown {
    /// Number of slow replicas.
    pub replicas: usize,
    /// Start, in seconds of the run.
    pub from: f64,
    /// End, in seconds of the run.
    pub to: f64,
    /// Factor applied to their durations.
    pub factor: f64,
}

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Model of each replica.
    pub engine: EngineSettings,
    /// Programs that arrive.
    pub load: Load,
    /// Mechanisms that are enabled.
    pub policy: Policy,
    /// Periods with slow replicas.
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
    /// A program sends its current turn.
    Send(usize),
    /// A replica runs a step.
    Step(usize),
    /// Gateways exchange overload statistics.
    Exchange,
    /// A client abandons an attempt that has no first event yet.
    Abandon(usize),
    /// The time factor of a replica changes.
    TimeFactor(usize, f64),
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
    /// Gateway that handled the previous turn.
    last_gateway: Option<usize>,
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
    events: EventQueue<Event>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    gateways: Vec<Gateway>,
    programs: Vec<Program>,
    attempts: Vec<Attempt>,
    outcomes: Vec<KindOutcome>,
    unfinished: usize,
}

/// Runs an experiment with the given seed.
pub fn run(experiment: &Experiment, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let plans = experiment.load.programs(&mut random);
    let kinds = &experiment.load.kinds;
    let total_slots = (experiment.replicas * experiment.engine.slots) as f64;
    let capacity = total_slots / experiment.gateways as f64;
    let gateway = |_| Gateway::new(experiment.policy, experiment.replicas, kinds.len(), capacity);
    let mut run = Run {
        experiment,
        events: EventQueue::new(),
        engines: (0..experiment.replicas).map(|_| Engine::new(experiment.engine.clone())).collect(),
        stepping: vec![false; experiment.replicas],
        gateways: (0..experiment.gateways).map(gateway).collect(),
        programs: Vec::new(),
        attempts: Vec::new(),
        outcomes: kinds.iter().map(|kind| KindOutcome::new(kind.name, kind.rank)).collect(),
        unfinished: plans.len(),
        random,
    };
    run.schedule(plans);
    run.process_events();
    Outcome { policy: experiment.policy.name, kinds: run.outcomes }
}

impl Run<'_> {
    fn schedule(&mut self, plans: Vec<ProgramPlan>) {
        for (number, plan) in plans.into_iter().enumerate() {
            self.events.add(plan.arrival, Event::Send(number));
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
                last_gateway: None,
            });
        }
        self.events.add(micros(EXCHANGE_INTERVAL_MS), Event::Exchange);
        for slowdown in &self.experiment.slowdowns {
            for replica in 0..slowdown.replicas.min(self.engines.len()) {
                self.events
                    .add(micros(slowdown.from * 1e3), Event::TimeFactor(replica, slowdown.factor));
                self.events.add(micros(slowdown.to * 1e3), Event::TimeFactor(replica, 1.0));
            }
        }
    }

    fn process_events(&mut self) {
        while self.unfinished > 0 {
            let Some((now, event)) = self.events.pop() else { break };
            match event {
                Event::Send(program) => self.send(program, now),
                Event::Step(replica) => self.step(replica, now),
                Event::Exchange => self.exchange(now),
                Event::Abandon(attempt) => self.abandon(attempt, now),
                Event::TimeFactor(replica, factor) => self.engines[replica].time_factor = factor,
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
        let has_affinity = policy.global_affinity || program.last_gateway == Some(gateway);
        let previous = program.previous.filter(|_| has_affinity);
        if (program.turn == 0 || !policy.begun_bypass)
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
        let turn_attempt = TurnAttempt {
            attempt: self.attempts.len(),
            kind: index,
            program: number,
            history: program.history,
            input: turn.input_tokens,
            events: turn.events,
        };
        if !self.engines[placed.replica].enqueue(turn_attempt) {
            self.gateways[gateway].release(kind.rank, placed.replica);
            self.gateways[gateway].record_overload(now);
            self.retry(number, now, kind.objective_ms / 2.0);
            return;
        }
        self.events.add(now + micros(FIRST_EVENT_TIMEOUT_MS), Event::Abandon(self.attempts.len()));
        let (sent, begun, is_over) = (now, None, false);
        self.attempts.push(Attempt { program: number, gateway, placed, sent, begun, is_over });
        self.wake(placed.replica, now);
    }

    fn wake(&mut self, replica: usize, now: Micros) {
        if !self.stepping[replica] {
            self.stepping[replica] = true;
            self.events.add(now, Event::Step(replica));
        }
    }

    fn step(&mut self, replica: usize, now: Micros) {
        let (time, progress) = self.engines[replica].step();
        let end = now + time;
        for item in progress {
            match item {
                Progress::Begun(attempt) => self.begun(attempt, end),
                Progress::Ended(attempt) => self.ended(attempt, end),
            }
        }
        self.stepping[replica] = self.engines[replica].is_busy();
        if self.stepping[replica] {
            self.events.add(end, Event::Step(replica));
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
        self.gateways[gateway].record_first_event(&kind, index, placed, delay_ms, now);
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
        self.gateways[gateway].release(kind.rank, placed.replica);
        let turn = self.programs[program].plan.turns[self.programs[program].turn];
        if turn.events >= INTERVAL_EVENTS_MIN {
            let interval_ms = (now - begun) as f64 / 1e3 / f64::from(turn.events - 1);
            self.gateways[gateway].record_interval(interval_ms, now);
        }
        let generated = f64::from(turn.events * self.experiment.engine.event_tokens);
        let switch_share = self.experiment.load.switch_share;
        let switches = switch_share > 0.0 && self.random.random_bool(switch_share);
        let next =
            if switches { self.random.random_range(0..self.gateways.len()) } else { gateway };
        let state = &mut self.programs[program];
        state.history += turn.input_tokens + generated;
        state.previous = Some(placed.replica);
        (state.last_gateway, state.gateway) = (Some(gateway), next);
        state.turn += 1;
        (state.attempts, state.restarts) = (0, 0);
        if state.turn < state.plan.turns.len() {
            self.events.add(now + micros(ROUND_TRIP_MS + kind.pause_ms), Event::Send(program));
        } else {
            self.finish(program, now);
        }
    }

    fn finish(&mut self, number: usize, now: Micros) {
        self.unfinished -= 1;
        let plan = &self.programs[number].plan;
        let took_ms = (now - plan.arrival) as f64 / 1e3;
        let is_in_target = took_ms <= self.target_ms(plan);
        let outcome = &mut self.outcomes[plan.kind];
        match is_in_target {
            true => outcome.in_target += 1,
            false => outcome.late += 1,
        }
    }

    /// Latency target of a program, based on its duration on idle replicas.
    fn target_ms(&self, plan: &ProgramPlan) -> f64 {
        let (kind, engine) = (&self.experiment.load.kinds[plan.kind], &self.experiment.engine);
        let turn_ms = plan.turns.iter().map(|turn| {
            let tokens = f64::from(turn.events * engine.event_tokens);
            TARGET_ROUND_TRIP_MS + turn.input_tokens / engine.prefill_rate + tokens * engine.step_ms
        });
        let pauses = kind.pause_ms * (plan.turns.len() - 1) as f64;
        kind.target_factor * (turn_ms.sum::<f64>() + pauses) + kind.objective_ms
    }

    /// Retries the turn on the next gateway, or abandons the program.
    fn retry(&mut self, number: usize, now: Micros, retry_ms: f64) {
        let gateways = self.gateways.len();
        let restart_ms = self.random.random_range(RESTART_DELAY_MS);
        let program = &mut self.programs[number];
        program.gateway = (program.gateway + 1) % gateways;
        program.attempts += 1;
        let pause_ms = if program.attempts < ATTEMPTS_MAX {
            retry_ms
        } else if program.restarts < RESTARTS_MAX {
            program.attempts = 0;
            program.restarts += 1;
            restart_ms
        } else {
            self.unfinished -= 1;
            self.outcomes[program.plan.kind].refused += 1;
            return;
        };
        self.events.add(now + micros(pause_ms), Event::Send(number));
    }

    fn abandon(&mut self, number: usize, now: Micros) {
        let attempt = &mut self.attempts[number];
        if attempt.is_over || attempt.begun.is_some() {
            return;
        }
        attempt.is_over = true;
        let (program, gateway, replica) =
            (attempt.program, attempt.gateway, attempt.placed.replica);
        let rank = self.kind(program).rank;
        self.gateways[gateway].release(rank, replica);
        self.gateways[gateway].record_overload(now);
        self.retry(program, now, 0.0);
    }

    fn exchange(&mut self, now: Micros) {
        let mut stats = OverloadStats::default();
        self.gateways.iter_mut().for_each(|gateway| stats.add(&gateway.overload_stats(now)));
        self.gateways.iter_mut().for_each(|gateway| gateway.record_shared(stats, now));
        self.events.add(now + micros(EXCHANGE_INTERVAL_MS), Event::Exchange);
    }
}
