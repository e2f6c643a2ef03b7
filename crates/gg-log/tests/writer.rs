//! The log's writer.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use gg_log::LineWriter;

/// A sink that can be held up.
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
    is_held: bool,
    written: Vec<u8>,
}

impl Sink {
    fn hold(&self, is_held: bool) {
        self.shared.state.lock().expect("lock").is_held = is_held;
        self.shared.changed.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.shared.state.lock().expect("lock").written).into_owned()
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.shared.state.lock().expect("lock");
        let mut state = self.shared.changed.wait_while(state, |state| state.is_held).expect("lock");
        state.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn all_lines() {
    let sink = Sink::default();
    let mut writer = LineWriter::new(sink.clone()).expect("thread");
    for number in 0..1_000 {
        writeln!(writer, "line {number}").expect("a line");
    }
    writer.flush().expect("flush");
    let expected: String = (0..1_000).map(|number| format!("line {number}\n")).collect();
    assert_eq!(sink.text(), expected);
}

#[test]
fn stuck_sink() {
    let sink = Sink::default();
    sink.hold(true);
    let mut writer = LineWriter::new(sink.clone()).expect("thread");
    let line = [b'x'; 1_023];
    // Far more than may wait: none of these calls waits for the sink.
    for _ in 0..2_000 {
        writer.write_all(&[&line[..], b"\n"].concat()).expect("a line");
    }
    sink.hold(false);
    writer.flush().expect("flush");
    writer.write_all(b"last\n").expect("a line");
    writer.flush().expect("flush");
    let text = sink.text();
    assert!(text.contains("event=log_lines_dropped count="), "what was dropped is said");
    assert!(text.ends_with("last\n"));
    assert!(text.len() < 700 << 10, "{}", text.len());
}
