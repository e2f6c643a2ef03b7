//! A step under way, followed by any number of callers.

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

/// Time in which a follower of a begun step may come back.
const REJOIN_PAUSE: Duration = Duration::from_secs(1);

/// A step under way.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) turn: u32,
    pub(crate) digest: String,
    pub(crate) key: Option<Name>,
    /// Cancelled when the program ends.
    pub(crate) cancelled: CancellationToken,
    state: Mutex<Progress>,
    changed: watch::Sender<()>,
    followers: AtomicUsize,
    exposed: AtomicBool,
}

#[derive(Debug, Default)]
struct Progress {
    upstream: Option<Name>,
    begun: bool,
    text: String,
    last: Option<StepEvent>,
}

impl Running {
    pub(crate) fn new(turn: u32, digest: String, key: Option<Name>) -> Self {
        Running {
            turn,
            digest,
            key,
            cancelled: CancellationToken::new(),
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            followers: AtomicUsize::new(0),
            exposed: AtomicBool::new(false),
        }
    }

    /// Notes that `upstream` works on the step.
    pub(crate) fn begin(&self, upstream: Option<&Name>) {
        let mut state = self.lock();
        state.begun = true;
        state.upstream = upstream.cloned();
        drop(state);
        self.changed.send_replace(());
    }

    /// Adds generated text.
    pub(crate) fn push(&self, text: &str) {
        self.lock().text.push_str(text);
        self.changed.send_replace(());
    }

    /// Text so far.
    pub(crate) fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Forgets text that no follower has seen, so that another try may
    /// generate other text. Returns whether that was possible.
    pub(crate) fn restart(&self) -> bool {
        let mut state = self.lock();
        if self.exposed.load(Ordering::SeqCst) && !state.text.is_empty() {
            return false;
        }
        state.text.clear();
        true
    }

    /// Tells the last event to all followers.
    pub(crate) fn finish(&self, last: StepEvent) {
        self.lock().last.get_or_insert(last);
        self.changed.send_replace(());
    }

    /// Adds a follower.
    pub(crate) fn join(self: &Arc<Self>) -> Follower {
        self.followers.fetch_add(1, Ordering::SeqCst);
        self.changed.send_replace(());
        Follower(self.clone())
    }

    /// Resolves once nobody wants the step any more: at once while it waits,
    /// and after a pause in which a follower may come back once it has begun.
    pub(crate) async fn deserted(&self) {
        let mut changed = self.changed.subscribe();
        let mut since = None;
        loop {
            if self.has_followers() {
                since = None;
            } else if !self.lock().begun {
                return;
            } else {
                since.get_or_insert_with(Instant::now);
            }
            // New text must not begin the pause anew.
            let pause = async {
                match since {
                    Some(since) => time::sleep_until(since + REJOIN_PAUSE).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = pause => return,
                () = self.cancelled.cancelled() => return,
                _ = changed.changed() => {}
            }
        }
    }

    fn has_followers(&self) -> bool {
        self.followers.load(Ordering::SeqCst) > 0
    }

    fn news(&self, stream: bool, begun: &mut bool, sent: &mut usize) -> Vec<StepEvent> {
        let state = self.lock();
        let mut news = Vec::new();
        if state.begun && !*begun {
            *begun = true;
            news.push(StepEvent::Begun { turn: self.turn, upstream: state.upstream.clone() });
        }
        if stream && state.text.len() > *sent {
            self.exposed.store(true, Ordering::SeqCst);
            let text = state.text[*sent..].to_owned();
            news.push(StepEvent::Text { at: *sent, text });
            *sent = state.text.len();
        }
        news.extend(state.last.clone());
        news
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// One who follows a step; counted out when dropped.
pub(crate) struct Follower(Arc<Running>);

impl Follower {
    /// Sends the step's events until the last one, or until the reader goes.
    pub(crate) async fn follow(self, stream: bool, out: &mpsc::Sender<StepEvent>) {
        let mut changed = self.0.changed.subscribe();
        let mut sent = 0;
        let mut begun = false;
        loop {
            for event in self.0.news(stream, &mut begun, &mut sent) {
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

impl Drop for Follower {
    fn drop(&mut self) {
        self.0.followers.fetch_sub(1, Ordering::SeqCst);
        self.0.changed.send_replace(());
    }
}
