//! Non-blocking output of compact JSON lines.
//!
//! If standard output is a full pipe with a slow reader, a write blocks. Threads that serve requests must not block, so
//! lines go through a bounded queue to a writer thread. Lines that do not fit are dropped and counted, and the next
//! queued line reports the count.

use log::Record;
use log::kv::{Key, Value, VisitSource};
use log4rs::append::Append;
use serde_json::Map;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// Capacity of the queue in lines: some seconds of output of a busy router, about a megabyte.
const QUEUE_LINES: usize = 4096;

/// An appender that queues lines for the writer thread.
#[derive(Debug)]
pub struct Lines {
    queue: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Lines {
    /// Starts the writer thread.
    pub fn start() -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
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
        // If standard output is closed, the error cannot be reported.
        let _ = out.write_all(&line);
    }
}

/// Formats a record: Unix time in milliseconds, level, message, then the key-value pairs.
fn line(record: &Record<'_>, dropped: u64) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("t".to_owned(), (since.as_millis() as u64).into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("msg".to_owned(), record.args().to_string().into());
    if dropped > 0 {
        fields.insert("dropped".to_owned(), dropped.into());
    }
    // `Fields` never returns an error.
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
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
