//! Order of a program's steps: one at a time, each once; a step that is asked
//! for again joins the one that runs.

use std::sync::Arc;

use gg_program::{Place, call_digest};
use gg_protocol::{Answer, Code, Failure, StepEvent, StepRequest, clock::until_ms};
use tokio::sync::mpsc;

use crate::{
    home::{Home, MOVE_RETRY_MS, Resident, ended},
    lock::lock,
    running::Running,
    step::Step,
};

/// What to do with a request for a step.
enum Admission {
    Follow(Arc<Running>),
    Run(Arc<Running>),
    Told(u32, Answer),
    Wait { expected: u32 },
    Refused(Failure),
}

impl Home {
    /// Carries out a step and sends its events.
    pub(crate) async fn step(self: &Arc<Self>, request: StepRequest, out: mpsc::Sender<StepEvent>) {
        let Some(resident) = self.resident(&request.program) else {
            let failure = self.missing(&request.program);
            let _ = out.send(StepEvent::Failed(failure)).await;
            return;
        };
        let digest = call_digest(&request.call);
        let patience = self.shared.settings.timing.order_wait.min(until_ms(request.deadline_ms));
        let give_up = tokio::time::Instant::now() + patience;
        let mut changed = resident.changed.subscribe();
        let event = loop {
            match self.admit_step(&resident, &request, &digest) {
                Admission::Follow(running) => {
                    return running.join().follow(request.stream, &out).await;
                }
                Admission::Run(running) => {
                    let follower = running.join();
                    let step = Step::new(self.clone(), resident.clone(), running, request.clone());
                    self.tasks.spawn(step.run());
                    return follower.follow(request.stream, &out).await;
                }
                Admission::Told(turn, answer) => break StepEvent::Done { turn, answer },
                Admission::Refused(failure) => break self.confirmed(failure).await,
                Admission::Wait { expected } => {
                    tokio::select! {
                        _ = changed.changed() => {}
                        () = out.closed() => return,
                        () = tokio::time::sleep_until(give_up) => {
                            break self.confirmed(turn_ahead(expected)).await;
                        }
                    }
                }
            }
        };
        let _ = out.send(event).await;
    }

    fn admit_step(&self, resident: &Resident, request: &StepRequest, digest: &str) -> Admission {
        let mut running = lock(&resident.running);
        let program = lock(&resident.program);
        if program.start.customer != request.customer {
            return Admission::Refused(self.missing(&request.program));
        }
        if let Some(running) = running.as_ref() {
            return join_running(running, request, digest);
        }
        if self.is_closing() {
            return Admission::Refused(self.moving());
        }
        match program.place(request.turn, request.key.as_ref(), digest) {
            Place::Finished(turn) => {
                Admission::Told(turn, program.turns[turn as usize].answer.clone())
            }
            Place::Conflict(turn) => Admission::Refused(turn_conflict(turn)),
            Place::Ahead { expected } => Admission::Wait { expected },
            Place::Ended(reason) => Admission::Refused(ended(reason)),
            Place::Next(turn) => {
                let step = Arc::new(Running::new(turn, digest.into(), request.key.clone()));
                *running = Some(step.clone());
                Admission::Run(step)
            }
        }
    }

    /// Whether no new step may begin here.
    fn is_closing(&self) -> bool {
        self.shared.is_draining() || self.journal.sealed_by().is_some()
    }
}

fn join_running(running: &Arc<Running>, request: &StepRequest, digest: &str) -> Admission {
    let is_this_step = match request.turn {
        Some(turn) => turn == running.turn,
        None => request.key.is_some() && request.key == running.key,
    };
    if !is_this_step {
        return Admission::Wait { expected: running.turn + 1 };
    }
    match running.digest == digest {
        true => Admission::Follow(running.clone()),
        false => Admission::Refused(turn_conflict(running.turn)),
    }
}

fn turn_conflict(turn: u32) -> Failure {
    let message = format!("turn {turn} was given other content before");
    Failure::not_run(Code::TurnConflict, message).help("use the next turn number for a new call")
}

fn turn_ahead(expected: u32) -> Failure {
    let message = format!("turn {expected} comes first");
    Failure::not_run(Code::TurnAhead, message)
        .help("send the turns of a program one after the other")
        .retry_in(MOVE_RETRY_MS)
}
