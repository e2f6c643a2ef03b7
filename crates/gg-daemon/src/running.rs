//! A step in progress and the callers subscribed to its events.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use gg_protocol::{Name, StepEvent};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

/// Time in which a caller may rejoin a started step before it is cancelled.
const REJOIN_GRACE: Duration = Duration::from_secs(1);

/// A step in progress.
#[derive(Debug)]
pub(crate) struct RunningStep {
    pub(crate) turn: u32,
    pub(crate) digest: String,
    pub(crate) key: Option<Name>,
    /// Cancelled when the program ends.
    pub(crate) cancelled: CancellationToken,
    state: Mutex<Progress>,
    changed: watch::Sender<()>,
    subscribers: AtomicUsize,
    text_sent: AtomicBool,
}

/// Events of a step so far.
#[derive(Debug, Default)]
struct Progress {
    upstream: Option<Name>,
    started: bool,
    text: String,
    last: Option<StepEvent>,
}

impl RunningStep {
    pub(crate) fn new(turn: u32, digest: String, key: Option<Name>) -> Self {
        RunningStep {
            turn,
            digest,
            key,
            cancelled: CancellationToken::new(),
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            subscribers: AtomicUsize::new(0),
            text_sent: AtomicBool::new(false),
        }
    }

    /// Records that the step was started on `upstream`.
    pub(crate) fn start(&self, upstream: Option<&Name>) {
        let mut state = self.lock();
        state.started = true;
        state.upstream = upstream.cloned();
        drop(state);
        self.changed.send_replace(());
    }

    /// Appends generated text.
    pub(crate) fn push(&self, text: &str) {
        self.lock().text.push_str(text);
        self.changed.send_replace(());
    }

    /// The text generated so far.
    pub(crate) fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Discards the text, so that another attempt may generate different text.
    /// Returns `false` if a subscriber may have received some of it.
    pub(crate) fn discard_text(&self) -> bool {
        let mut state = self.lock();
        if self.text_sent.load(Ordering::SeqCst) && !state.text.is_empty() {
            return false;
        }
        state.text.clear();
        true
    }

    /// Publishes the last event to all subscribers.
    pub(crate) fn finish(&self, last: StepEvent) {
        self.lock().last.get_or_insert(last);
        self.changed.send_replace(());
    }

    /// Adds a subscriber.
    pub(crate) fn subscribe(self: &Arc<Self>) -> Subscriber {
        self.subscribers.fetch_add(1, Ordering::SeqCst);
        self.changed.send_replace(());
        Subscriber(self.clone())
    }

    /// Resolves when the step has no subscribers: immediately if it has not
    /// started, otherwise after a grace period in which a caller may rejoin. Also
    /// resolves when the step is cancelled.
    pub(crate) async fn abandoned(&self) {
        let mut changed = self.changed.subscribe();
        let mut idle_since = None;
        loop {
            if self.has_subscribers() {
                idle_since = None;
            } else if !self.lock().started {
                return;
            } else {
                idle_since.get_or_insert_with(Instant::now);
            }
            // New text must not restart the grace period.
            let grace = async {
                match idle_since {
                    Some(idle_since) => time::sleep_until(idle_since + REJOIN_GRACE).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = grace => return,
                () = self.cancelled.cancelled() => return,
                _ = changed.changed() => {}
            }
        }
    }

    fn has_subscribers(&self) -> bool {
        self.subscribers.load(Ordering::SeqCst) > 0
    }

    /// Events that a subscriber has not received yet.
    fn unsent_events(&self, stream: bool, started: &mut bool, sent: &mut usize) -> Vec<StepEvent> {
        let state = self.lock();
        let mut unsent_events = Vec::new();
        if state.started && !*started {
            *started = true;
            unsent_events
                .push(StepEvent::Begun { turn: self.turn, upstream: state.upstream.clone() });
        }
        if stream && state.text.len() > *sent {
            self.text_sent.store(true, Ordering::SeqCst);
            let text = state.text[*sent..].to_owned();
            unsent_events.push(StepEvent::Text { at: *sent, text });
            *sent = state.text.len();
        }
        unsent_events.extend(state.last.clone());
        unsent_events
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A subscription to a step's events; ends when dropped.
pub(crate) struct Subscriber(Arc<RunningStep>);

impl Subscriber {
    /// Sends the step's events until the last one was sent or the receiver is
    /// closed.
    pub(crate) async fn forward_events(self, stream: bool, out: &mpsc::Sender<StepEvent>) {
        let mut changed = self.0.changed.subscribe();
        let mut sent = 0;
        let mut started = false;
        loop {
            for event in self.0.unsent_events(stream, &mut started, &mut sent) {
                let last = matches!(event, StepEvent::Done { .. } | StepEvent::Failed(_));
                if out.send(event).await.is_err() || last {
                    return;
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = out.closed() => return,
            }
        }
    }
}

impl Drop for Subscriber {
    fn drop(&mut self) {
        self.0.subscribers.fetch_sub(1, Ordering::SeqCst);
        self.0.changed.send_replace(());
    }
}
