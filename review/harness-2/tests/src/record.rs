//! Record of what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

/// A record file, with the seconds since its start before each line.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record file");
        Record { file: Mutex::new(file), start: Instant::now() }
    }

    /// Writes a line, also to the standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("lock");
        file.write_all(line.as_bytes()).expect("write the record");
    }
}
