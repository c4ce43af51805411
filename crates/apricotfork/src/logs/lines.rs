//! Compact JSON lines that never hold up whoever writes them.
//!
//! What goes wrong without it: whoever reads standard output is slow, the pipe is full, and a thread that answers callers
//! waits in a write. So lines go through a bounded queue to a thread of their own; when it is full they are dropped and
//! counted, and the count is told with the next line.

use log::Record;
use log::kv::{Key, Value, VisitSource};
use log4rs::append::Append;
use serde_json::Map;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines that wait at most: some seconds of a busy router, about a megabyte.
const QUEUE: usize = 4096;

/// An appender that queues lines.
#[derive(Debug)]
pub struct Lines {
    queue: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Lines {
    /// Starts the writing thread.
    pub fn start() -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE);
        let builder = thread::Builder::new().name("log".to_owned());
        builder.spawn(move || write(&lines))?;
        Ok(Self {
            queue,
            dropped: AtomicU64::new(0),
        })
    }
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if self.queue.try_send(line(record, dropped)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        // Nobody is left to tell when standard output has gone.
        let _ = out.write_all(&line);
    }
}

/// Time of day in milliseconds, level, message, then the keys.
fn line(record: &Record<'_>, dropped: u64) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("t".to_owned(), (since.as_millis() as u64).into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("msg".to_owned(), record.args().to_string().into());
    if dropped > 0 {
        fields.insert("dropped".to_owned(), dropped.into());
    }
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    let mut bytes = serde_json::to_vec(&fields).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(truth)) => truth.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
