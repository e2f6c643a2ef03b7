//! A writer that never blocks its callers.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::Duration,
};

/// Bytes that may wait to be written; lines beyond are dropped and counted.
const WAITING_MAX: usize = 256 << 10;

/// Lines that come within this time are written with one system call; a
/// process that is killed loses no more than these.
const GATHER: Duration = Duration::from_millis(250);

/// Longest wait of a flush for a sink that is stuck.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    /// Lines dropped since the last that were written.
    dropped: u64,
    /// The thread is writing what it has taken.
    is_writing: bool,
    is_flushing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Hands lines to a thread that writes them. Each `write` is one line; one
/// that finds no room is dropped whole.
#[derive(Clone, Debug)]
pub struct LineWriter {
    shared: Arc<Shared>,
}

impl LineWriter {
    /// Starts the thread that writes to `sink`. It sleeps while there is
    /// nothing to write.
    pub fn new(mut sink: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writing = shared.clone();
        let run = move || {
            loop {
                let content = take(&writing);
                // A sink that fails leaves nobody to tell.
                let _ = sink.write_all(&content).and_then(|()| sink.flush());
                writing.lock().is_writing = false;
                writing.changed.notify_all();
            }
        };
        thread::Builder::new().name("log".into()).spawn(run)?;
        Ok(LineWriter { shared })
    }
}

/// Waits for lines, and a little for more of them.
fn take(shared: &Shared) -> Vec<u8> {
    let mut state = shared.lock();
    while state.waiting.is_empty() {
        state = wait(shared, state, None);
    }
    if !state.is_flushing {
        state = wait(shared, state, Some(GATHER));
    }
    let mut content = std::mem::take(&mut state.waiting);
    if state.dropped > 0 {
        content.extend_from_slice(
            format!("level=warn event=log_lines_dropped count={}\n", state.dropped).as_bytes(),
        );
        state.dropped = 0;
    }
    state.is_writing = true;
    content
}

fn wait<'a>(
    shared: &Shared,
    state: MutexGuard<'a, State>,
    limit: Option<Duration>,
) -> MutexGuard<'a, State> {
    match limit {
        None => shared.changed.wait(state).unwrap_or_else(|poisoned| poisoned.into_inner()),
        Some(limit) => {
            let waited = shared.changed.wait_timeout(state, limit);
            waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.shared.lock();
        if state.waiting.len() + line.len() > WAITING_MAX {
            state.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = state.waiting.is_empty();
        state.waiting.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.shared.changed.notify_all();
        }
        Ok(line.len())
    }

    /// Waits until all lines are written.
    fn flush(&mut self) -> io::Result<()> {
        let mut state = self.shared.lock();
        state.is_flushing = true;
        self.shared.changed.notify_all();
        let is_busy = |state: &mut State| !state.waiting.is_empty() || state.is_writing;
        let waited = self.shared.changed.wait_timeout_while(state, FLUSH_TIMEOUT, is_busy);
        waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0.is_flushing = false;
        Ok(())
    }
}
