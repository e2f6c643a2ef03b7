//! Order of a program's steps: steps run one at a time and once each. A
//! repeated request for a running step receives that step's events.

use std::sync::Arc;

use gg_program::{TurnStatus, call_digest};
use gg_protocol::{Answer, Code, Failure, StepEvent, StepRequest, clock::until_ms};
use tokio::sync::mpsc;

use crate::{
    home::{Home, HostedProgram, MOVE_RETRY_MS, program_ended},
    lock::lock,
    running::RunningStep,
    step::Step,
};

/// How a request for a step is handled.
enum Admission {
    /// The step is running: forward its events.
    Join(Arc<RunningStep>),
    /// The step is next: execute it.
    Run(Arc<RunningStep>),
    /// The turn is finished: return its answer.
    Answered(u32, Answer),
    /// Another turn has to finish first; `expected` is the next turn that may
    /// start.
    Wait {
        expected: u32,
    },
    Refused(Failure),
}

impl Home {
    /// Executes a step, or joins the running one, and sends its events.
    pub(crate) async fn step(self: &Arc<Self>, request: StepRequest, out: mpsc::Sender<StepEvent>) {
        let Some(hosted) = self.hosted(&request.program) else {
            let failure = self.not_found(&request.program);
            let _ = out.send(StepEvent::Failed(failure)).await;
            return;
        };
        let digest = call_digest(&request.call);
        let timeout = self.shared.settings.timing.order_wait.min(until_ms(request.deadline_ms));
        let wait_until = tokio::time::Instant::now() + timeout;
        let mut changed = hosted.changed.subscribe();
        let event = loop {
            match self.admit_step(&hosted, &request, &digest) {
                Admission::Join(running) => {
                    return running.subscribe().forward_events(request.stream, &out).await;
                }
                Admission::Run(running) => {
                    let subscriber = running.subscribe();
                    let step = Step::new(self.clone(), hosted.clone(), running, request.clone());
                    self.tasks.spawn(step.run());
                    return subscriber.forward_events(request.stream, &out).await;
                }
                Admission::Answered(turn, answer) => break StepEvent::Done { turn, answer },
                Admission::Refused(failure) => break self.confirm_failure(failure).await,
                Admission::Wait { expected } => {
                    tokio::select! {
                        _ = changed.changed() => {}
                        () = out.closed() => return,
                        () = tokio::time::sleep_until(wait_until) => {
                            break self.confirm_failure(turn_ahead(expected)).await;
                        }
                    }
                }
            }
        };
        let _ = out.send(event).await;
    }

    fn admit_step(&self, hosted: &HostedProgram, request: &StepRequest, digest: &str) -> Admission {
        let mut running = lock(&hosted.running);
        let program = lock(&hosted.program);
        if program.start.customer != request.customer {
            return Admission::Refused(self.not_found(&request.program));
        }
        if let Some(running) = running.as_ref() {
            return join_running(running, request, digest);
        }
        if self.is_closing() {
            return Admission::Refused(self.home_moved());
        }
        match program.turn_status(request.turn, request.key.as_ref(), digest) {
            TurnStatus::Finished(turn) => {
                Admission::Answered(turn, program.turns[turn as usize].answer.clone())
            }
            TurnStatus::Conflict(turn) => Admission::Refused(turn_conflict(turn)),
            TurnStatus::Ahead { expected } => Admission::Wait { expected },
            TurnStatus::Ended(reason) => Admission::Refused(program_ended(reason)),
            TurnStatus::Next(turn) => {
                let step = Arc::new(RunningStep::new(turn, digest.into(), request.key.clone()));
                *running = Some(step.clone());
                Admission::Run(step)
            }
        }
    }

    /// Whether this home refuses new steps.
    fn is_closing(&self) -> bool {
        self.shared.is_draining() || self.journal.sealed_by().is_some()
    }
}

fn join_running(running: &Arc<RunningStep>, request: &StepRequest, digest: &str) -> Admission {
    let is_this_step = match request.turn {
        Some(turn) => turn == running.turn,
        None => request.key.is_some() && request.key == running.key,
    };
    if !is_this_step {
        return Admission::Wait { expected: running.turn + 1 };
    }
    match running.digest == digest {
        true => Admission::Join(running.clone()),
        false => Admission::Refused(turn_conflict(running.turn)),
    }
}

fn turn_conflict(turn: u32) -> Failure {
    let message = format!("turn {turn} was requested before with different content");
    Failure::unexecuted(Code::TurnConflict, message).help("use the next turn number for a new call")
}

fn turn_ahead(expected: u32) -> Failure {
    let message = format!("turn {expected} comes first");
    Failure::unexecuted(Code::TurnAhead, message)
        .help("send the turns of a program in order")
        .retry_in(MOVE_RETRY_MS)
}
