//! Compares the gateway's policy with baselines under overload and slow replicas.
//! Runs are in virtual time, so results don't depend on the host.

use gg_emulator::{Experiment, Flood, Load, Outcome, Placement, Policy, Slowdown, run};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Minimum acceptance rate of a rank relative to that of all programs: the
/// `FLOOR_SHARE` of admission, of which the tests require nine tenths.
const FLOOR_SHARE: f64 = 0.3 * 0.9;

fn arrival_order_policies() -> [Policy; 2] {
    [Placement::Random, Placement::LeastLoaded].map(|placement| Policy {
        name: "arrival order",
        placement,
        admits: false,
        shares_stats: false,
        ..Policy::default()
    })
}

fn run_seeds(experiment: &Experiment, policy: Policy) -> Outcome {
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

/// Share of the programs that were not refused, for one kind or for all.
fn accepted_share(outcome: &Outcome, kind: Option<usize>) -> f64 {
    let matching = outcome.kinds.iter().enumerate();
    let matching = matching.filter(|(index, _)| kind.is_none_or(|selected| selected == *index));
    let (offered, refused) = matching.fold((0, 0), |(offered, refused), (_, result)| {
        (offered + result.offered, refused + result.refused)
    });
    1.0 - f64::from(refused) / f64::from(offered)
}

#[test]
fn normal_load_refuses_nothing() {
    let load = Load { seconds: 15.0, ..Load::default() };
    let outcome = run_seeds(&Experiment { load, ..Experiment::default() }, Policy::default());
    for kind in &outcome.kinds {
        assert_eq!((kind.in_target, kind.refusals), (kind.offered, 0), "{}", kind.name);
    }
}

/// Two slow replicas out of nine must not cause refused programs.
#[test]
fn slow_replicas_refuse_nothing() {
    let slowdowns = vec![Slowdown { replicas: 2, from: 3.0, to: 10.0, factor: 4.0 }];
    let load = Load { seconds: 15.0, ..Load::default() };
    let experiment = Experiment { load, slowdowns, ..Experiment::default() };
    let outcome = run_seeds(&experiment, Policy::default());
    let refused: u32 = outcome.kinds.iter().map(|kind| kind.refused).sum();
    assert_eq!(refused, 0, "{outcome:?}");
}

/// With both kinds at four times the usual rate, more programs finish in target
/// than with any baseline.
#[test]
fn overload_by_all_kinds() {
    let experiment = flood(None, 4.0);
    let achieved = in_target(&run_seeds(&experiment, Policy::default()));
    for baseline in arrival_order_policies() {
        let reference = in_target(&run_seeds(&experiment, baseline));
        assert!(
            achieved > 2 * reference,
            "{achieved} in target, {reference} with {:?}",
            baseline.placement
        );
    }
    let no_admission = Policy { admits: false, ..Policy::default() };
    let reference = in_target(&run_seeds(&experiment, no_admission));
    assert!(2 * achieved > 3 * reference, "{achieved} in target, {reference} without admission");
}

/// With the lower rank at eight times the usual rate, the urgent rank keeps its
/// targets and the lower rank its floor.
#[test]
fn overload_by_lower_rank() {
    let experiment = flood(Some(1), 8.0);
    let outcome = run_seeds(&experiment, Policy::default());
    assert!(outcome.kinds[0].share() >= 0.99, "{:.3}", outcome.kinds[0].share());
    assert!(accepted_share(&outcome, Some(1)) >= FLOOR_SHARE * accepted_share(&outcome, None));
    for baseline in arrival_order_policies() {
        let reference = run_seeds(&experiment, baseline);
        assert!(reference.kinds[0].share() < 0.5, "{:.3}", reference.kinds[0].share());
        assert!(reference.kinds[1].in_target < outcome.kinds[1].in_target);
    }
}

/// With the urgent rank at eight times the usual rate, the lower rank keeps its
/// floor.
#[test]
fn overload_by_urgent_rank() {
    let experiment = flood(Some(0), 8.0);
    let outcome = run_seeds(&experiment, Policy::default());
    assert!(accepted_share(&outcome, Some(1)) >= FLOOR_SHARE * accepted_share(&outcome, None));
    for baseline in arrival_order_policies() {
        let reference = run_seeds(&experiment, baseline);
        assert!(reference.kinds[0].in_target < outcome.kinds[0].in_target);
        assert!(reference.kinds[1].in_target < outcome.kinds[1].in_target);
    }
}

/// Overload by one kind while half of the turns arrive at a random gateway: without
/// shared affinity, replicas compute prompts again that another replica has
/// cached, which costs more than waiting for that replica.
#[test]
fn affinity_across_gateways() {
    let mut experiment = flood(Some(0), 4.0);
    experiment.load.switch_share = 0.5;
    let achieved = in_target(&run_seeds(&experiment, Policy::default()));
    let local_affinity = Policy { global_affinity: false, ..Policy::default() };
    let reference = in_target(&run_seeds(&experiment, local_affinity));
    assert!(achieved > reference, "{achieved} in target, {reference} with local affinity only");
}

/// Admitted programs must be able to finish: if admission treats each turn as new
/// work, it refuses programs halfway.
#[test]
fn later_turns_bypass_admission() {
    let experiment = flood(None, 4.0);
    let achieved = in_target(&run_seeds(&experiment, Policy::default()));
    let turns_as_new = Policy { begun_bypass: false, ..Policy::default() };
    let reference = in_target(&run_seeds(&experiment, turns_as_new));
    assert!(achieved > reference, "{achieved} in target, {reference} if each turn is new work");
}
