//! The decisions about the layout as a model: whatever happens next, at most the
//! tolerated losses at once, what is acknowledged stays readable, and the set
//! bears the losses again.

#[path = "support/layout_model.rs"]
mod layout_model;

use std::collections::HashMap;

use proptest::{collection::vec, prelude::*};

use layout_model::{Event, Fault, State};

/// First faults found by a search, each with the events that lead to it.
#[derive(Debug, Default)]
struct Findings {
    faults: Vec<(Fault, Vec<Event>, State)>,
    states: usize,
}

/// Visits all reachable states, nearest first.
fn explore(start: State) -> Findings {
    let mut known: HashMap<State, usize> = HashMap::from([(start.clone(), 0)]);
    let mut states: Vec<(State, Option<(usize, Event)>)> = vec![(start, None)];
    let mut findings = Findings::default();
    let mut recovering: HashMap<State, bool> = HashMap::new();
    let mut number = 0;
    while number < states.len() {
        let state = states[number].0.clone();
        let mut fault = (!state.is_readable()).then_some(Fault::Unreadable);
        if fault.is_none() && state.are_all_up() && !recovers(&state, &mut recovering) {
            fault = Some(Fault::Stuck);
        }
        for event in state.events() {
            if fault.is_some() {
                break;
            }
            match state.after(event) {
                Ok(Some(next)) if !known.contains_key(&next) => {
                    known.insert(next.clone(), states.len());
                    states.push((next, Some((number, event))));
                }
                Ok(_) => {}
                Err(found) => fault = Some(found),
            }
        }
        if let Some(fault) = fault
            && findings.faults.iter().all(|(found, ..)| *found != fault)
        {
            findings.faults.push((fault, path(&states, number), state));
        }
        number += 1;
    }
    findings.states = number;
    findings
}

/// [`State::recovers`] with memory.
fn recovers(state: &State, known: &mut HashMap<State, bool>) -> bool {
    let mut passed = Vec::new();
    let mut state = state.clone();
    let recovers = loop {
        if let Some(known) = known.get(&state) {
            break *known;
        }
        // A state that is met again on the way leads nowhere.
        known.insert(state.clone(), false);
        passed.push(state.clone());
        match state.progress() {
            Some(next) => state = next,
            None => break state.recovers(),
        }
    };
    known.extend(passed.into_iter().map(|state| (state, recovers)));
    recovers
}

fn path(states: &[(State, Option<(usize, Event)>)], mut number: usize) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some((before, event)) = states[number].1 {
        events.push(event);
        number = before;
    }
    events.reverse();
    events
}

fn assert_sound(start: State) {
    let findings = explore(start);
    assert!(findings.faults.is_empty(), "{findings:#?}");
}

#[test]
fn removal_beside_loss() {
    assert_sound(State::new((3, 3), 1, 1, 1));
}

#[test]
fn two_removals() {
    assert_sound(State::new((3, 3), 1, 1, 2));
}

#[test]
#[ignore = "more than 100,000 states; run by hand with --release"]
fn losses_and_removals() {
    assert_sound(State::new((3, 3), 1, 2, 2));
}

#[test]
#[ignore = "more than 100,000 states; run by hand with --release"]
fn standby_and_removals() {
    assert_sound(State::new((4, 3), 1, 1, 2));
}

/// Lets events happen, chosen from those that may.
fn walk(mut state: State, choices: Vec<u16>) -> Result<(), TestCaseError> {
    let mut passed = Vec::new();
    for choice in choices {
        let events = state.events();
        let event = events[usize::from(choice) % events.len()];
        passed.push(event);
        match state.after(event) {
            Ok(next) => state = next.unwrap_or(state),
            Err(fault) => prop_assert!(false, "{:?} after {:?}", fault, passed),
        }
        prop_assert!(state.is_readable(), "unreadable after {:?}: {:?}", passed, state);
        let recovers = !state.are_all_up() || state.recovers();
        prop_assert!(recovers, "stuck after {:?}: {:?}", passed, state);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn three_members(machines in 3usize..=5, choices in vec(any::<u16>(), 1..80)) {
        walk(State::new((machines, 3), 1, 4, 2), choices)?;
    }

    #[test]
    fn five_members(machines in 5usize..=7, choices in vec(any::<u16>(), 1..80)) {
        walk(State::new((machines, 5), 2, 5, 2), choices)?;
    }
}
