//! Model of the machines of one partition: what they know, which disks hold one
//! write, and what may happen to them next. Changes of the layout are those that
//! [`LayoutPlan`] decides on.

use std::{sync::LazyLock, time::Duration};

use gg_ledger::{Layout, LayoutPlan, LedgerSet, Member, Registration, ReplacementTimeouts};
use gg_protocol::Name;
use indexmap::{IndexMap, IndexSet};

const MACHINES_MAX: usize = 7;

/// Disks that a machine may have had, one after the other.
const GENERATIONS: usize = 3;

/// Silence of a machine that others have noticed to be away.
const NOTICED_SILENCE: Duration = Duration::from_secs(1_000);

const REPLACEMENT: ReplacementTimeouts =
    ReplacementTimeouts { idle: Duration::from_secs(1), busy: Duration::from_secs(10) };

/// Number of changes after which a layout has to have settled.
const STEPS_MAX: usize = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Power {
    Up,
    /// Down, and taken for up by the others.
    Dark,
    /// Down, and known to be.
    Noticed,
    /// Taken away with its disk.
    Removed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    power: Power,
    /// The disk that it has, and the one that the directory names.
    disk: usize,
    registered: usize,
    is_draining: bool,
    /// The operator was told that it may be taken away.
    is_emptied: bool,
    /// It lost its disk, and the layout hasn't settled since.
    is_lost: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// One reconciliation of a machine.
    Step(usize),
    Write,
    Down(usize),
    Notice(usize),
    LoseDisk(usize),
    Return(usize),
    Drain(usize),
    /// The machine reports that it is emptied; then it is taken away.
    Report(usize),
    Remove(usize),
    /// Nothing is left to change: lost disks count no longer.
    Settle,
}

/// What is wrong with a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No read quorum that sees the acknowledged write can come back.
    Unreadable,
    /// With all machines up, the layout never bears the tolerated losses again.
    Stuck,
    /// The operator was told too early.
    EarlyRemoval,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    tolerated: usize,
    machines: Vec<Machine>,
    /// Disks of the set and of the change in progress.
    members: Vec<usize>,
    next: Option<Vec<usize>>,
    /// Disks that have copied in this change, and that hold the write.
    copied: u32,
    holders: u32,
    is_acknowledged: bool,
    /// Losses of disks and removals that may still happen.
    losses_left: usize,
    removals_left: usize,
}

impl State {
    /// `size` of `machines` are members. At most `losses` disks are lost, and at
    /// most `removals` requested.
    pub fn new(
        (machines, size): (usize, usize),
        tolerated: usize,
        losses: usize,
        removals: usize,
    ) -> Self {
        let machine = |number| Machine {
            power: Power::Up,
            disk: number * GENERATIONS,
            registered: number * GENERATIONS,
            is_draining: false,
            is_emptied: false,
            is_lost: false,
        };
        State {
            tolerated,
            machines: (0..machines).map(machine).collect(),
            members: (0..size).map(|number| number * GENERATIONS).collect(),
            next: None,
            copied: 0,
            holders: 0,
            is_acknowledged: false,
            losses_left: losses,
            removals_left: removals,
        }
    }

    /// Everything that may happen, with at most the tolerated losses at once.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if !self.is_acknowledged {
            events.push(Event::Write);
        }
        if self.machines.iter().any(|machine| machine.is_lost && machine.power == Power::Up) {
            events.push(Event::Settle);
        }
        let counts = |machine: &&Machine| {
            machine.is_lost || matches!(machine.power, Power::Dark | Power::Noticed)
        };
        let may_lose = self.machines.iter().filter(counts).count() < self.tolerated;
        for (number, machine) in self.machines.iter().enumerate() {
            match machine.power {
                Power::Up => {
                    events.push(Event::Step(number));
                    if may_lose || machine.is_lost {
                        events.push(Event::Down(number));
                    }
                    match (machine.is_draining, machine.is_emptied) {
                        (false, _) if self.removals_left > 0 => events.push(Event::Drain(number)),
                        (true, false) => events.push(Event::Report(number)),
                        _ => {}
                    }
                }
                Power::Dark | Power::Noticed => {
                    events.push(Event::Return(number));
                    if machine.power == Power::Dark {
                        events.push(Event::Notice(number));
                    }
                    if self.losses_left > 0 && (machine.disk + 1) % GENERATIONS != 0 {
                        events.push(Event::LoseDisk(number));
                    }
                }
                Power::Removed => {}
            }
            if machine.is_emptied && machine.power != Power::Removed {
                events.push(Event::Remove(number));
            }
        }
        events
    }

    /// The state after an event, if that changes it.
    pub fn after(&self, event: Event) -> Result<Option<State>, Fault> {
        let mut state = self.clone();
        match event {
            Event::Step(number) => return Ok(self.step(number)),
            Event::Write => state.write(),
            Event::Down(number) => state.machines[number].power = Power::Dark,
            Event::Notice(number) => state.machines[number].power = Power::Noticed,
            Event::LoseDisk(number) => {
                state.losses_left -= 1;
                let machine = &mut state.machines[number];
                (machine.disk, machine.is_lost) = (machine.disk + 1, true);
            }
            Event::Return(number) => {
                let machine = &mut state.machines[number];
                (machine.power, machine.registered) = (Power::Up, machine.disk);
            }
            Event::Drain(number) => {
                state.removals_left -= 1;
                state.machines[number].is_draining = true;
            }
            Event::Report(number) => state.report(number)?,
            Event::Remove(number) => state.machines[number].power = Power::Removed,
            Event::Settle if self.is_settled() => {
                let up = state.machines.iter_mut().filter(|machine| machine.power == Power::Up);
                up.for_each(|machine| machine.is_lost = false);
            }
            Event::Settle => {}
        }
        Ok((state != *self).then_some(state))
    }

    /// Whether acknowledged turns can be read once all machines are back.
    pub fn is_readable(&self) -> bool {
        let set = self.set();
        let present: Vec<usize> =
            self.members.iter().copied().filter(|disk| self.is_present(*disk)).collect();
        let quorum = set.read_quorum(self.members.len());
        present.len() >= quorum && self.is_seen(&present, quorum)
    }

    /// Whether any `quorum` of these disks see the write.
    fn is_seen(&self, disks: &[usize], quorum: usize) -> bool {
        let blank = disks.iter().filter(|disk| self.holders & (1 << **disk) == 0).count();
        !self.is_acknowledged || blank < quorum
    }

    pub fn are_all_up(&self) -> bool {
        let is_back = |machine: &Machine| matches!(machine.power, Power::Up | Power::Removed);
        self.machines.iter().all(is_back)
    }

    /// The next change that is due at any machine.
    pub fn progress(&self) -> Option<State> {
        (0..self.machines.len()).find_map(|number| self.step(number))
    }

    /// Whether the layout bears the tolerated losses after the changes that are
    /// due, and turns can be opened.
    pub fn recovers(&self) -> bool {
        let mut state = self.clone();
        for _ in 0..STEPS_MAX {
            match state.progress() {
                Some(next) => state = next,
                None => return state.bears_losses(),
            }
        }
        false
    }

    fn bears_losses(&self) -> bool {
        self.next.is_none()
            && self.members.len() > self.tolerated
            && self.members.iter().all(|disk| self.is_present(*disk))
            && self.is_readable()
    }

    /// Whether no change is due, also once those that are down are noticed.
    fn is_settled(&self) -> bool {
        let mut noticed = self.clone();
        for machine in noticed.machines.iter_mut().filter(|m| m.power == Power::Dark) {
            machine.power = Power::Noticed;
        }
        self.next.is_none() && noticed.progress().is_none()
    }

    fn is_present(&self, disk: usize) -> bool {
        let machine = &self.machines[disk / GENERATIONS];
        machine.disk == disk && machine.power != Power::Removed
    }

    fn is_reachable(&self, disk: usize) -> bool {
        self.is_present(disk) && self.machines[disk / GENERATIONS].power == Power::Up
    }

    fn set(&self) -> LedgerSet {
        let members = |disks: &Vec<usize>| disks.iter().copied().map(member).collect();
        LedgerSet {
            epoch: 1,
            tolerated: self.tolerated,
            members: members(&self.members),
            next: self.next.as_ref().map(members),
        }
    }

    /// The smallest write quorum of reachable disks that tells the most: one
    /// with as few current members as possible.
    fn write(&mut self) {
        let set = self.set();
        let mut holders: Vec<u64> = set
            .all()
            .iter()
            .map(|member| member.disk)
            .filter(|d| self.is_reachable(*d as usize))
            .collect();
        if self.is_acknowledged || !set.has_write_quorum(&holders) {
            return;
        }
        for disk in holders.clone() {
            let fewer: Vec<u64> = holders.iter().copied().filter(|other| *other != disk).collect();
            if set.has_write_quorum(&fewer) {
                holders = fewer;
            }
        }
        self.is_acknowledged = true;
        self.holders = holders.iter().map(|disk| 1 << disk).sum();
    }

    fn report(&mut self, number: usize) -> Result<(), Fault> {
        if self.with_plan(number, |plan, _| plan.removal_block(&name(number))).is_some() {
            return Ok(());
        }
        self.machines[number].is_emptied = true;
        let own = |disk: &usize| disk / GENERATIONS == number;
        let is_early = self.members.iter().chain(self.next.iter().flatten()).any(own)
            || self.members.len() <= self.tolerated
            || !self
                .members
                .iter()
                .all(|disk| self.is_present(*disk) || !self.is_known_lost(*disk));
        if is_early { Err(Fault::EarlyRemoval) } else { Ok(()) }
    }

    /// Whether the directory shows that a disk is lost.
    fn is_known_lost(&self, disk: usize) -> bool {
        self.machines[disk / GENERATIONS].registered != disk
    }

    /// What a machine does about the layout, if anything.
    fn step(&self, number: usize) -> Option<State> {
        let machine = &self.machines[number];
        if machine.power != Power::Up {
            return None;
        }
        let disk = machine.disk;
        let mut state = self.clone();
        if self.next.is_none() {
            let changes = self.with_plan(number, |plan, _| plan.changes(disk as u64));
            let (_, set) = changes.into_iter().next()?;
            state.begin(set);
            return Some(state);
        }
        let set = self.set();
        let learners: Vec<usize> =
            set.learners().iter().map(|member| member.disk as usize).collect();
        if learners.contains(&disk) && self.copied & (1 << disk) == 0 && state.copy(disk, &set) {
            return Some(state);
        }
        let has_copied = |disk: &usize| self.copied & (1 << disk) != 0 && self.is_reachable(*disk);
        if learners.first() == Some(&disk) && learners.iter().all(has_copied) {
            state.begin(set.finish());
            return Some(state);
        }
        self.with_plan(number, |plan, set| plan.abandonment(set, disk as u64))?;
        state.begin(set.abandon());
        Some(state)
    }

    fn begin(&mut self, set: LedgerSet) {
        self.members = disks(&set.members);
        self.next = set.next.as_deref().map(disks);
        self.copied = 0;
    }

    /// Copies from the read quorum that knows the least.
    fn copy(&mut self, disk: usize, set: &LedgerSet) -> bool {
        let sources: Vec<usize> =
            self.members.iter().copied().filter(|member| self.is_reachable(*member)).collect();
        let quorum = set.read_quorum(self.members.len());
        if sources.len() < quorum {
            return false;
        }
        self.copied |= 1 << disk;
        if self.is_acknowledged && self.is_seen(&sources, quorum) {
            self.holders |= 1 << disk;
        }
        true
    }

    fn with_plan<R>(
        &self,
        observer: usize,
        decide: impl FnOnce(&LayoutPlan<'_, &dyn Fn(&Member) -> Duration>, &LedgerSet) -> R,
    ) -> R {
        let layout = Layout { partitions: vec![self.set()] };
        let registered: IndexMap<_, _> = self
            .machines
            .iter()
            .enumerate()
            .map(|(number, machine)| {
                let member = member(machine.registered);
                (name(number), Registration { member, since_ms: number as u64 })
            })
            .collect();
        let draining: IndexSet<_> = (0..self.machines.len())
            .filter(|number| self.machines[*number].is_draining)
            .map(name)
            .collect();
        let silence = |member: &Member| self.silence(member.disk as usize, observer);
        let plan = LayoutPlan {
            layout: &layout,
            registered: &registered,
            draining: &draining,
            silence: &silence as &dyn Fn(&Member) -> Duration,
            replacement: REPLACEMENT,
        };
        decide(&plan, &layout.partitions[0])
    }

    fn silence(&self, disk: usize, observer: usize) -> Duration {
        let machine = &self.machines[disk / GENERATIONS];
        match machine.power {
            _ if self.machines[observer].disk == disk => Duration::ZERO,
            Power::Up if machine.disk == disk => Duration::ZERO,
            Power::Dark if !self.is_known_lost(disk) => Duration::ZERO,
            _ => NOTICED_SILENCE,
        }
    }
}

fn disks(members: &[Member]) -> Vec<usize> {
    members.iter().map(|member| member.disk as usize).collect()
}

fn name(number: usize) -> Name {
    member(number * GENERATIONS).instance
}

/// A disk as a member.
pub fn member(disk: usize) -> Member {
    static MEMBERS: LazyLock<Vec<Member>> = LazyLock::new(|| {
        let member = |disk| Member {
            instance: format!("store-{}", disk / GENERATIONS).into(),
            disk: disk as u64,
            address: ([127, 0, 0, 1], 1).into(),
            centre: "a".into(),
        };
        (0..MACHINES_MAX * GENERATIONS).map(member).collect()
    });
    MEMBERS[disk].clone()
}
