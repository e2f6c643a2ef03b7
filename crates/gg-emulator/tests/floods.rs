//! Loads that the decisions of gateways answer, against baselines of the same
//! run. Virtual time: the same verdict on every machine.

use gg_emulator::{Experiment, Flood, Load, Outcome, Placing, Policy, Slowdown, run};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// A rank gets in at least this share as often as all do (`FLOOR_SHARE` of
/// admission); nine tenths of it must be seen.
const FLOOR_SHARE: f64 = 0.3 * 0.9;

fn baselines() -> [Policy; 2] {
    [Placing::Random, Placing::LeastLoaded].map(|placing| Policy {
        name: "arrival order",
        placing,
        admits: false,
        shares: false,
        ..Policy::default()
    })
}

fn play(experiment: &Experiment, policy: Policy) -> Outcome {
    let experiment = Experiment { policy, ..experiment.clone() };
    Outcome::sum(&SEEDS.map(|seed| run(&experiment, seed)).collect::<Vec<_>>())
}

fn flood(kind: Option<usize>, factor: f64) -> Experiment {
    let floods = vec![Flood { kind, from: 4.0, to: 14.0, factor }];
    let load = Load { floods, seconds: 20.0, ..Load::default() };
    Experiment { load, ..Experiment::default() }
}

fn in_target(outcome: &Outcome) -> u32 {
    outcome.kinds.iter().map(|kind| kind.in_target).sum()
}

/// Share of the programs that were let in, for a kind or all.
fn let_in(outcome: &Outcome, kind: Option<usize>) -> f64 {
    let meant = outcome.kinds.iter().enumerate();
    let meant = meant.filter(|(index, _)| kind.is_none_or(|only| only == *index));
    let (offered, refused) = meant.fold((0, 0), |(offered, refused), (_, one)| {
        (offered + one.offered, refused + one.refused)
    });
    1.0 - f64::from(refused) / f64::from(offered)
}

#[test]
fn calm_refuses_none() {
    let load = Load { seconds: 15.0, ..Load::default() };
    let outcome = play(&Experiment { load, ..Experiment::default() }, Policy::default());
    for kind in &outcome.kinds {
        assert_eq!((kind.in_target, kind.refusals), (kind.offered, 0), "{}", kind.name);
    }
}

/// Two slow replicas of nine are no overload.
#[test]
fn slow_replicas() {
    let slowdowns = vec![Slowdown { replicas: 2, from: 3.0, to: 10.0, factor: 4.0 }];
    let load = Load { seconds: 15.0, ..Load::default() };
    let experiment = Experiment { load, slowdowns, ..Experiment::default() };
    let outcome = play(&experiment, Policy::default());
    let refused: u32 = outcome.kinds.iter().map(|kind| kind.refused).sum();
    assert_eq!(refused, 0, "{outcome:?}");
}

/// Both kinds at four times the usual rate: more programs finish in target
/// than by any baseline.
#[test]
fn flood_of_all() {
    let experiment = flood(None, 4.0);
    let ours = in_target(&play(&experiment, Policy::default()));
    for baseline in baselines() {
        let theirs = in_target(&play(&experiment, baseline));
        assert!(ours > 2 * theirs, "{ours} against {theirs} of {:?}", baseline.placing);
    }
    let open = Policy { admits: false, ..Policy::default() };
    let theirs = in_target(&play(&experiment, open));
    assert!(2 * ours > 3 * theirs, "{ours} against {theirs} without admission");
}

/// The lower rank at eight times the usual rate.
#[test]
fn flood_of_lower() {
    let experiment = flood(Some(1), 8.0);
    let outcome = play(&experiment, Policy::default());
    assert!(outcome.kinds[0].share() >= 0.99, "{:.3}", outcome.kinds[0].share());
    assert!(let_in(&outcome, Some(1)) >= FLOOR_SHARE * let_in(&outcome, None));
    for baseline in baselines() {
        let theirs = play(&experiment, baseline);
        assert!(theirs.kinds[0].share() < 0.5, "{:.3}", theirs.kinds[0].share());
        assert!(theirs.kinds[1].in_target < outcome.kinds[1].in_target);
    }
}

/// The urgent rank at eight times the usual rate: the lower one keeps its
/// floor.
#[test]
fn flood_of_urgent() {
    let experiment = flood(Some(0), 8.0);
    let outcome = play(&experiment, Policy::default());
    assert!(let_in(&outcome, Some(1)) >= FLOOR_SHARE * let_in(&outcome, None));
    for baseline in baselines() {
        let theirs = play(&experiment, baseline);
        assert!(theirs.kinds[0].in_target < outcome.kinds[0].in_target);
        assert!(theirs.kinds[1].in_target < outcome.kinds[1].in_target);
    }
}

/// A flood of one kind while half of the turns come to other gateways: reading
/// prompts again elsewhere costs more than waiting for the replica that has.
#[test]
fn wandering_lines() {
    let mut experiment = flood(Some(0), 4.0);
    experiment.load.wander = 0.5;
    let ours = in_target(&play(&experiment, Policy::default()));
    let forgotten = Policy { returns: false, ..Policy::default() };
    let theirs = in_target(&play(&experiment, forgotten));
    assert!(ours > theirs, "{ours} against {theirs} where lines are forgotten");
}

/// What was let in finishes: where each turn is taken for new work, programs end
/// in the middle.
#[test]
fn begun_work() {
    let experiment = flood(None, 4.0);
    let ours = in_target(&play(&experiment, Policy::default()));
    let each_new = Policy { tells_begun: false, ..Policy::default() };
    let theirs = in_target(&play(&experiment, each_new));
    assert!(ours > theirs, "{ours} against {theirs} where each turn is new");
}
