//! What was sent, answered and run, for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(file: &Path) -> Self {
        Self(
            Arc::new(Mutex::new(File::create(file).expect("record.txt"))),
            Instant::now(),
        )
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().expect("record");
        writeln!(file, "{:8.3} {text}", self.1.elapsed().as_secs_f64()).expect("record.txt");
    }
}
