//! Soak test of what instances hold after restarts, torn writes and damage.
//!
//! Random turns are stored while instances restart and old segments are removed.
//! What was acknowledged is recorded in a model, and compared after each restart.
//!
//! `GG_SOAK_SEEDS=50 cargo test -p gg-ledger --test recovery_soak -- --nocapture`
//! runs more seeds, `GG_SOAK_SEED=7` only that one.

#[path = "support/log_faults.rs"]
mod log_faults;
#[path = "support/model.rs"]
mod model;
mod support;

use std::{net::SocketAddr, path::Path, time::Duration};

use gg_fakes::Random;
use gg_ledger::{
    Layout, Ledger, LedgerError, LedgerSet, Member, Node, OpenRequest, OpenedTurn, TurnRecord,
};
use gg_metrics::{Metrics, Registry};
use log_faults::{advance_clock, segment_number, segments};
use model::{Model, Program, Turn};
use support::{Disks, WAIT_TIMEOUT, free_address, key, record, settings};
use tokio::{
    net::TcpListener,
    time::{self, Instant},
};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Seeds of the short run: one without damage, and one with.
const SEEDS: [u64; 2] = [4, 6];

/// Seeds in which one instance misses a turn and another one its continuation.
/// The use of the turn was recorded on one instance only, expired on the other
/// one that held it, and a quorum denied it.
const GAP_SEEDS: [u64; 2] = [1012, 1034];

const INSTANCES: usize = 3;

/// Faults injected in one run.
const FAULTS: usize = 10;

/// Retention of turns and accounts, and the log time that passes at once. What
/// was used before the last such step but one has expired, and what was used
/// later hasn't, however long the run takes.
const KEEP_MS: u32 = 3_600_000;
const TIME_STEP: Duration = Duration::from_secs(2_400);

/// Size of the texts that one turn may continue, in bytes.
const CHAIN_BYTES_MAX: usize = 1 << 20;

/// Upper limits of the size of a text in bytes, one of which is chosen.
const TEXT_BYTES: [u64; 5] = [1, 64, 8 << 10, 8 << 10, 200 << 10];

/// Memory limit of an instance in bytes. A quarter of it holds recent texts.
const MEMORY_BYTES: usize = 8 << 20;

/// Largest number of tokens that a turn reserves.
const TOKENS_MAX: u64 = 100;

/// Time that instances have to write the same turns before one is damaged.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between checks of a condition that must occur.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct Instance {
    node: Node,
    stop: CancellationToken,
}

struct Soak {
    seed: u64,
    random: Random,
    model: Model,
    ledger: Ledger,
    disks: Disks,
    addresses: Vec<SocketAddr>,
    instances: Vec<Option<Instance>>,
    /// The instance whose log may be damaged. The others hold all that is
    /// acknowledged.
    damaged: Option<usize>,
    next_name: u64,
    _stop: DropGuard,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let stop = CancellationToken::new();
        let damaged = random.chance(0.4).then(|| random.between(0, INSTANCES as u64) as usize);
        let mut soak = Soak {
            seed,
            random,
            model: Model::default(),
            ledger: Ledger::new("client".into(), "centre-0".into(), stop.clone()),
            disks: Disks::new(),
            addresses: (0..INSTANCES).map(|_| free_address()).collect(),
            instances: (0..INSTANCES).map(|_| None).collect(),
            damaged,
            next_name: 0,
            _stop: stop.drop_guard(),
        };
        for number in 0..INSTANCES {
            soak.start_instance(number).await;
        }
        soak.connect().await;
        soak
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.instances.iter().flatten().map(|instance| &instance.node)
    }

    fn layout(&self) -> Layout {
        let members = self.running().enumerate().map(|(number, node)| Member {
            instance: format!("ledger-{number}").into(),
            disk: node.disk(),
            address: self.addresses[number],
            centre: format!("centre-{number}").into(),
        });
        let members = members.collect();
        Layout { partitions: vec![LedgerSet { epoch: 1, tolerated: 1, members, next: None }] }
    }

    fn folder(&self, number: usize) -> &Path {
        self.disks.0[number].path()
    }

    async fn start_instance(&mut self, number: usize) {
        let address = self.addresses[number];
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while TcpListener::bind(address).await.is_err() {
            assert!(Instant::now() < deadline, "the address stays in use");
            time::sleep(POLL_INTERVAL).await;
        }
        let settings = settings(address, self.folder(number), MEMORY_BYTES);
        let stop = CancellationToken::new();
        let metrics = Metrics::new(&Registry::default());
        let node = Node::start(settings, metrics, stop.clone()).await.expect("a node");
        self.instances[number] = Some(Instance { node, stop });
    }

    async fn stop_instance(&mut self, number: usize) {
        let Some(instance) = self.instances[number].take() else { return };
        instance.stop.cancel();
        instance.node.log_closed().await;
    }

    /// Announces the layout and waits until the client is connected.
    async fn connect(&self) {
        let layout = self.layout();
        self.running().for_each(|node| node.set_layout(layout.clone()));
        self.ledger.set_layout(layout);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.ledger.connected() < INSTANCES {
            assert!(Instant::now() < deadline, "seed {}: not connected", self.seed);
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the instances other than the damaged one have written the
    /// same turns.
    async fn wait_for_copies(&mut self) {
        let deadline = Instant::now() + COPY_TIMEOUT;
        loop {
            let sound: Vec<&Node> = self
                .instances
                .iter()
                .enumerate()
                .filter(|(number, _)| Some(*number) != self.damaged)
                .filter_map(|(_, instance)| instance.as_ref().map(|instance| &instance.node))
                .collect();
            let is_same = sound.windows(2).all(|pair| pair[0].len() == pair[1].len());
            if is_same && sound.iter().all(|node| node.usage().backlog == 0) {
                return;
            }
            // One of them may have missed a turn that a quorum holds. Damage to
            // another one is then more than the instances tolerate.
            if Instant::now() >= deadline {
                println!("seed {}: the copies differ, so no more damage", self.seed);
                self.damaged = None;
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    fn name(&mut self, kind: &str) -> String {
        self.next_name += 1;
        format!("{kind}-{}", self.next_name)
    }

    fn open_request(&self, program: &str, turn: &str, budget: (u64, u32)) -> OpenRequest {
        OpenRequest {
            key: key(program, turn),
            previous: None,
            budget: Some(budget),
            branch: None,
            keep_ms: Some(KEEP_MS),
        }
    }

    async fn close(&self, program: &str, tokens: u32, stored: TurnRecord) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let key = key(program, &stored.turn);
        while let Err(err) = self.ledger.close(&key, Some(tokens), stored.clone()).await {
            assert!(Instant::now() < deadline, "seed {}: close: {err}", self.seed);
        }
    }

    /// Opens a turn under a new name until there is an answer. Attempts without
    /// one are ended, so that they reserve nothing.
    async fn open(
        &mut self,
        program: &str,
        previous: Option<usize>,
        budget: (u64, u32),
    ) -> (String, Result<OpenedTurn, LedgerError>) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let turn = self.name("turn");
            let previous = previous.map(|number| self.model.turns[number].name.as_str().into());
            let request = OpenRequest { previous, ..self.open_request(program, &turn, budget) };
            match self.ledger.open(&request, deadline).await {
                Err(LedgerError::Unavailable(text)) => {
                    assert!(Instant::now() < deadline, "seed {}: open: {text}", self.seed);
                    self.end(program, turn).await;
                }
                result => return (turn, result),
            }
        }
    }

    /// Stores the end of a turn that spent nothing.
    async fn end(&mut self, program: &str, turn: String) {
        let stored = TurnRecord { keep_ms: KEEP_MS, ..record(&turn, None, String::new()) };
        self.close(program, 0, stored).await;
        let used = self.model.steps;
        self.model.turns.push(Turn { name: turn, previous: None, text: String::new(), used });
    }

    /// Number of a program in progress, or of a new one.
    fn choose_program(&mut self) -> usize {
        let retained = |program: &Program| self.model.is_retained(program.used);
        let known = self.model.programs.iter().enumerate().filter(|(_, known)| retained(known));
        let known: Vec<usize> = known.map(|(number, _)| number).collect();
        if !known.is_empty() && self.random.chance(0.8) {
            return known[self.random.between(0, known.len() as u64) as usize];
        }
        let name = self.name("program");
        let used = self.model.steps;
        self.model.programs.push(Program { name, spent_min: 0, spent_max: 0, used });
        self.model.programs.len() - 1
    }

    fn choose_previous(&mut self) -> Option<usize> {
        let turns = &self.model.turns;
        let retained: Vec<usize> =
            (0..turns.len()).filter(|number| self.model.is_retained(turns[*number].used)).collect();
        if retained.is_empty() || self.random.chance(0.3) {
            return None;
        }
        let chosen = retained[self.random.between(0, retained.len() as u64) as usize];
        (self.model.text(Some(chosen)).len() <= CHAIN_BYTES_MAX).then_some(chosen)
    }

    /// Opens a turn with just enough budget and ends it.
    async fn run_turn(&mut self) {
        let number = self.choose_program();
        let previous = self.choose_previous();
        let program = self.model.programs[number].name.clone();
        let most = self.random.between(1, TOKENS_MAX);
        let budget = (self.model.programs[number].spent_max + most, most as u32);
        let (turn, opened) = self.open(&program, previous, budget).await;
        let OpenedTurn { history, needs_history, .. } = opened.unwrap_or_else(|err| {
            panic!("seed {}: {turn} of {program} after {previous:?}: {err}", self.seed)
        });
        let history = String::from_utf8_lossy(&history);
        assert!(history == self.model.text(previous), "seed {}: wrong history", self.seed);
        let tokens = self.random.between(0, most + 1);
        if self.random.chance(0.2) {
            self.ledger.settle(&key(&program, &turn), tokens as u32, None);
            self.record_spend(number, tokens, most);
            return;
        }
        let kind = self.random.between(0, TEXT_BYTES.len() as u64) as usize;
        let bytes = self.random.between(0, TEXT_BYTES[kind]) as usize;
        let mut text = format!("[{turn}]").repeat(bytes / turn.len() + 1);
        text.truncate(bytes);
        // As gateways do: the turn no longer depends on those before it.
        let previous = previous.filter(|_| !needs_history);
        if needs_history {
            text.insert_str(0, &history);
        }
        let name = previous.map(|previous| self.model.turns[previous].name.as_str());
        let stored = TurnRecord { keep_ms: KEEP_MS, ..record(&turn, name, text.clone()) };
        self.close(&program, tokens as u32, stored).await;
        self.record_spend(number, tokens, tokens);
        self.model.mark_used(previous);
        let used = self.model.steps;
        self.model.turns.push(Turn { name: turn, previous, text, used });
    }

    fn record_spend(&mut self, number: usize, min: u64, max: u64) {
        let program = &mut self.model.programs[number];
        program.spent_min += min;
        program.spent_max += max;
        program.used = self.model.steps;
    }

    async fn run_turns(&mut self, count: u64) {
        for _ in 0..count {
            self.run_turn().await;
        }
    }

    /// Restarts one instance while the others go on, or all.
    async fn inject_fault(&mut self) {
        if self.random.chance(0.5) {
            let any = self.random.between(0, INSTANCES as u64) as usize;
            let number = self.damaged.unwrap_or(any);
            self.stop_instance(number).await;
            let turns = self.random.between(0, 8);
            self.run_turns(turns).await;
            self.spoil_log(number);
            self.start_instance(number).await;
            self.connect().await;
        } else {
            let is_later = self.random.chance(0.7);
            self.restart_all(is_later).await;
        }
    }

    /// Restarts all instances, with `is_later` after a [`TIME_STEP`].
    async fn restart_all(&mut self, is_later: bool) {
        if self.damaged.is_some() {
            self.wait_for_copies().await;
        }
        for number in 0..INSTANCES {
            self.stop_instance(number).await;
        }
        self.model.steps += usize::from(is_later);
        for number in 0..INSTANCES {
            if is_later {
                advance_clock(self.folder(number), TIME_STEP);
            }
            self.spoil_log(number);
            self.start_instance(number).await;
        }
        self.connect().await;
    }

    /// Leaves an interrupted write at the end of a stopped instance's log, and
    /// damages an older segment of the one that may be damaged.
    fn spoil_log(&mut self, number: usize) {
        let folder = self.disks.0[number].path();
        if self.random.chance(0.6) {
            log_faults::tear(folder, &mut self.random);
        }
        if self.damaged == Some(number) {
            log_faults::damage(folder, &mut self.random);
        }
    }

    /// Compares all that is retained with the model.
    async fn check(&mut self) {
        for number in 0..self.model.turns.len() {
            if !self.model.is_retained(self.model.turns[number].used) {
                continue;
            }
            let text = self.read_chain(&self.model.turns[number].name).await;
            let expected = self.model.text(Some(number));
            let name = &self.model.turns[number].name;
            let text = text.unwrap_or_else(|err| panic!("seed {}: {name}: {err}", self.seed));
            assert!(text == expected, "seed {}: wrong chain of {name}", self.seed);
        }
        let unknown = self.read_chain("unknown").await;
        assert_eq!(unknown, Err(LedgerError::NoSuchTurn), "seed {}", self.seed);
        for number in 0..self.model.programs.len() {
            if self.model.is_retained(self.model.programs[number].used) {
                self.check_budget(number).await;
            }
        }
    }

    async fn read_chain(&self, turn: &str) -> Result<String, LedgerError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let request = OpenRequest {
            key: key("reader", "reading"),
            previous: Some(turn.into()),
            budget: None,
            branch: None,
            keep_ms: None,
        };
        loop {
            match self.ledger.open(&request, deadline).await {
                Err(LedgerError::Unavailable(_)) if Instant::now() < deadline => {}
                result => {
                    return result
                        .map(|opened| String::from_utf8_lossy(&opened.history).into_owned());
                }
            }
        }
    }

    /// A turn that needs one token more than what remains is refused.
    async fn check_budget(&mut self, number: usize) {
        let Program { name, spent_min, spent_max, .. } = &self.model.programs[number];
        let (name, min, max) = (name.clone(), *spent_min, *spent_max);
        // So large a turn makes the client merge the accounts of a read quorum.
        let most = max + 1;
        let (turn, opened) = self.open(&name, None, (min + most - 1, most as u32)).await;
        let Err(LedgerError::BudgetSpent(spent)) = opened else {
            panic!("seed {}: {name} overspends: {opened:?}", self.seed)
        };
        assert!(
            (min..=max).contains(&spent),
            "seed {}: {name} spent {spent}, not {min} to {max}",
            self.seed
        );
        self.end(&name, turn).await;
        self.model.programs[number].used = self.model.steps;
    }

    /// Waits until no segment has to be removed any more. Returns how many were.
    async fn check_logs(&self) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut removed = 0;
        for (number, node) in self.running().enumerate() {
            loop {
                let found = segments(self.folder(number));
                let bytes_max = node.capacity().log_bytes(node.usage().needed);
                if found.len() == 1 || node.log_bytes() <= bytes_max {
                    let last: usize = segment_number(&found[found.len() - 1].0);
                    removed += last - found.len();
                    break;
                }
                let bytes = node.log_bytes();
                assert!(Instant::now() < deadline, "seed {}: {bytes} of {bytes_max}", self.seed);
                time::sleep(POLL_INTERVAL).await;
            }
        }
        removed
    }
}

async fn run(seed: u64) {
    let mut soak = Soak::start(seed).await;
    for _ in 0..FAULTS {
        let turns = soak.random.between(5, 20);
        soak.run_turns(turns).await;
        soak.inject_fault().await;
        soak.check().await;
    }
    // All but what the last check stored expires, so segments have to vanish.
    soak.restart_all(true).await;
    soak.restart_all(true).await;
    let removed = soak.check_logs().await;
    soak.check().await;
    assert!(removed > 0, "seed {seed}: no segment was removed");
    println!(
        "seed {seed}: turns={} programs={} time_steps={} removed_segments={removed} damaged={:?}",
        soak.model.turns.len(),
        soak.model.programs.len(),
        soak.model.steps,
        soak.damaged
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_state_survives() {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> = match (number("GG_SOAK_SEED"), number("GG_SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (1_000..1_000 + count).collect(),
        (None, None) => SEEDS.to_vec(),
    };
    for seed in seeds {
        run(seed).await;
    }
}

/// Turns that others continue are retained, also where instances miss some.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chains_with_gaps_survive() {
    for seed in GAP_SEEDS {
        run(seed).await;
    }
}
