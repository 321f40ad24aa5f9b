//! The record of a run: what was sent, answered and run, one line each, with the time in ms.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.started_at.elapsed().as_secs_f64() * 1_000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.1} {text}");
    }

    /// Writes a line that also goes to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
