//! Log writer with working and blocked sinks.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use gg_log::LineWriter;

/// Sink whose writes can be blocked.
#[derive(Clone, Default)]
struct Sink {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    is_blocked: bool,
    written: Vec<u8>,
}

impl Sink {
    fn set_blocked(&self, is_blocked: bool) {
        self.shared.state.lock().expect("lock").is_blocked = is_blocked;
        self.shared.changed.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.shared.state.lock().expect("lock").written).into_owned()
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.shared.state.lock().expect("lock");
        let mut state =
            self.shared.changed.wait_while(state, |state| state.is_blocked).expect("lock");
        state.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flush_writes_all_lines() {
    let sink = Sink::default();
    let mut writer = LineWriter::new(sink.clone()).expect("thread");
    for number in 0..1_000 {
        writeln!(writer, "line {number}").expect("write line");
    }
    writer.flush().expect("flush");
    let expected: String = (0..1_000).map(|number| format!("line {number}\n")).collect();
    assert_eq!(sink.text(), expected);
}

#[test]
fn blocked_sink_drops_lines() {
    let sink = Sink::default();
    sink.set_blocked(true);
    let mut writer = LineWriter::new(sink.clone()).expect("thread");
    let line = [b'x'; 1_023];
    // Far more lines than the buffer holds: none of the calls waits for the sink.
    for _ in 0..2_000 {
        writer.write_all(&[&line[..], b"\n"].concat()).expect("write line");
    }
    sink.set_blocked(false);
    writer.flush().expect("flush");
    writer.write_all(b"last\n").expect("write line");
    writer.flush().expect("flush");
    let text = sink.text();
    assert!(text.contains("event=log_lines_dropped count="), "dropped lines are not reported");
    assert!(text.ends_with("last\n"));
    assert!(text.len() < 700 << 10, "{}", text.len());
}
