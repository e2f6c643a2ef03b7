//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    /// Time since the start of the case, in seconds.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("lock");
        writeln!(file, "{now:8.3} {text}").expect("the record can be written");
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }
}
