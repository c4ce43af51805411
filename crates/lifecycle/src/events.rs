//! Whole events of a stream of server-sent events, byte for byte.
//!
//! What goes wrong without it: an endpoint crashes in the middle of an event, the half is passed on, and the stream that
//! another endpoint resumes is joined to it; the caller reads an event that nobody made. So bytes are passed on only up
//! to the end of an event, and an event that was passed on before is dropped.

/// Splits a stream into whole events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
    last: Option<u64>,
}

/// Events that may be passed on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes, as they came.
    pub bytes: Vec<u8>,
    /// How many.
    pub count: usize,
}

impl EventSplitter {
    /// Takes what arrived, and gives what has become whole. Events with a number that is not above the last one's are
    /// dropped: they were passed on before the stream was resumed.
    pub fn push(&mut self, bytes: &[u8]) -> WholeEvents {
        self.rest.extend_from_slice(bytes);
        let mut whole = WholeEvents::default();
        let mut begin = 0;
        while let Some(length) = event_length(&self.rest[begin..]) {
            let event = &self.rest[begin..begin + length];
            begin += length;
            let number = number(event);
            if let (Some(number), Some(last)) = (number, self.last)
                && number <= last
            {
                continue;
            }
            self.last = number.or(self.last);
            whole.bytes.extend_from_slice(event);
            whole.count += 1;
        }
        self.rest.drain(..begin);
        whole
    }

    /// What is left when the body is whole; an event need not end in an empty line then.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.rest)
    }

    /// The connection broke: half an event is of no use.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
    }

    /// Number of the last event that was passed on.
    pub fn last_number(&self) -> Option<u64> {
        self.last
    }
}

/// Length of the first event, with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let empty = at == line || (at == line + 1 && bytes[line] == b'\r');
        if empty {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}

/// The event's `id`, if it is a number.
fn number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?.trim_ascii();
    std::str::from_utf8(id).ok()?.parse().ok()
}
