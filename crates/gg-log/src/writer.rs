//! Log writer that never blocks its callers.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::Duration,
};

/// Maximum size of buffered lines; further lines are dropped and counted.
const BUFFER_MAX_BYTES: usize = 256 << 10;

/// Lines that arrive within this time are written with one system call. A process
/// that is killed loses at most these lines.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a flush, in case the sink is stuck.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    buffer: Vec<u8>,
    /// Number of lines dropped since the last batch was written.
    dropped: u64,
    /// Whether the thread is writing a batch.
    is_writing: bool,
    /// Whether a flush waits, so that batches are written without delay.
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

/// Passes lines to a thread that writes them. Each `write` call is one line; a
/// line that does not fit into the buffer is dropped whole.
#[derive(Clone, Debug)]
pub struct LineWriter {
    shared: Arc<Shared>,
}

impl LineWriter {
    /// Starts the thread that writes to `sink`. The thread sleeps while there are no
    /// lines.
    pub fn new(mut sink: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        let write_batches = move || {
            loop {
                let batch = next_batch(&writer);
                // There is no other place to report an error of the sink to.
                let _ = sink.write_all(&batch).and_then(|()| sink.flush());
                writer.lock().is_writing = false;
                writer.changed.notify_all();
            }
        };
        thread::Builder::new().name("log".into()).spawn(write_batches)?;
        Ok(LineWriter { shared })
    }
}

/// Waits for lines, then for further lines of the same batch, and returns them.
fn next_batch(shared: &Shared) -> Vec<u8> {
    let mut state = shared.lock();
    while state.buffer.is_empty() {
        state = wait(shared, state, None);
    }
    if !state.is_flushing {
        state = wait(shared, state, Some(BATCH_INTERVAL));
    }
    let mut batch = std::mem::take(&mut state.buffer);
    if state.dropped > 0 {
        batch.extend_from_slice(
            format!("level=warn event=log_lines_dropped count={}\n", state.dropped).as_bytes(),
        );
        state.dropped = 0;
    }
    state.is_writing = true;
    batch
}

fn wait<'a>(
    shared: &Shared,
    state: MutexGuard<'a, State>,
    limit: Option<Duration>,
) -> MutexGuard<'a, State> {
    match limit {
        None => shared.changed.wait(state).unwrap_or_else(|poisoned| poisoned.into_inner()),
        Some(limit) => {
            let result = shared.changed.wait_timeout(state, limit);
            result.unwrap_or_else(|poisoned| poisoned.into_inner()).0
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.shared.lock();
        if state.buffer.len() + line.len() > BUFFER_MAX_BYTES {
            state.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.shared.changed.notify_all();
        }
        Ok(line.len())
    }

    /// Waits until all lines are written, or the timeout passes.
    fn flush(&mut self) -> io::Result<()> {
        let mut state = self.shared.lock();
        state.is_flushing = true;
        self.shared.changed.notify_all();
        let is_pending = |state: &mut State| !state.buffer.is_empty() || state.is_writing;
        let result = self.shared.changed.wait_timeout_while(state, FLUSH_TIMEOUT, is_pending);
        result.unwrap_or_else(|poisoned| poisoned.into_inner()).0.is_flushing = false;
        Ok(())
    }
}
