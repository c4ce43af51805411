//! Splits a stream of server-sent events into complete events, without changing their bytes.
//!
//! If an endpoint crashes in the middle of an event and the partial event were forwarded, the resumed stream from
//! another endpoint would be appended to it, and the client would read a corrupt event. Therefore bytes are forwarded
//! only up to the end of an event, which is an empty line, and an event that was already forwarded is dropped.

use std::cmp::Ordering;

/// Longest event, bytes. Events of engines have some hundred bytes; one that carries a whole response of other services
/// has some hundred kilobytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a stream into complete events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Start of the first line of the buffer that is not complete. Bytes that were searched for the end of an event are not
    /// searched again.
    line: usize,
    /// Number of bytes of the buffer that were searched.
    searched: usize,
    last_number: Option<u64>,
    /// Place of the next numbered event.
    place: Place,
}

/// Events that may be forwarded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes, unchanged.
    pub bytes: Vec<u8>,
    /// Number of events.
    pub count: usize,
    /// Numbers of the first and the last numbered event among all that were received.
    pub numbers: Option<(u64, u64)>,
    /// The first event whose number does not follow the one before it.
    pub disorder: Option<Disorder>,
}

/// An event whose number does not follow the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disorder {
    /// Number of the last event before it.
    pub last: u64,
    /// Its number.
    pub number: u64,
    /// Where it stands.
    pub place: Place,
}

/// Place of an event in a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Place {
    /// It is the first one for a client that continues a stream.
    Taken,
    /// It is the first one of an attempt.
    #[default]
    Joint,
    /// It follows an event of the same attempt.
    Within,
}

impl Place {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Joint => "joint",
            Self::Within => "within",
        }
    }
}

impl Disorder {
    /// Name of its kind in logs and metrics.
    pub fn kind(self) -> &'static str {
        match self.number.cmp(&self.last) {
            Ordering::Less => "back",
            Ordering::Equal => "repeat",
            Ordering::Greater => "jump",
        }
    }
}

impl EventSplitter {
    /// A splitter for a client that has the events up to this one. They are dropped.
    pub fn after(taken: Option<u64>) -> Self {
        Self {
            last_number: taken,
            place: taken.map_or(Place::Joint, |_| Place::Taken),
            ..Self::default()
        }
    }

    /// Adds received bytes and returns the events completed by them. An event whose number is not greater than the last
    /// one's is dropped: the client received it before the stream was resumed.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.buffer.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let mut begin = 0;
        while let Some(end) = self.next_end() {
            let event = &self.buffer[begin..end];
            begin = end;
            let number = number(event);
            if let Some(number) = number {
                let first = complete.numbers.map_or(number, |(first, _)| first);
                complete.numbers = Some((first, number));
                complete.disorder = complete.disorder.or(self.disorder(number));
                self.place = Place::Within;
            }
            if let (Some(number), Some(last)) = (number, self.last_number)
                && number <= last
            {
                continue;
            }
            self.last_number = number.or(self.last_number);
            complete.bytes.extend_from_slice(event);
            complete.count += 1;
        }
        self.buffer.drain(..begin);
        self.line -= begin;
        self.searched -= begin;
        complete
    }

    /// Compares the number of an event with the one before it. Within an attempt numbers need only increase, since the endpoint
    /// chooses them; where an attempt begins, the next one is expected.
    fn disorder(&self, number: u64) -> Option<Disorder> {
        let (last, place) = (self.last_number?, self.place);
        let follows = match place {
            Place::Within => number > last,
            Place::Taken | Place::Joint => number == last.saturating_add(1),
        };
        (!follows).then_some(Disorder { last, number, place })
    }

    /// Checks the partial event. A caller checks it after each read, so that a stream without ends of events doesn't fill the
    /// memory.
    ///
    /// # Errors
    /// The event is too long.
    pub fn check(&self) -> Result<(), EventTooLong> {
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// End of the next event in the buffer, including the empty line that ends it.
    fn next_end(&mut self) -> Option<usize> {
        while let Some(at) = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n') {
            let line = self.line;
            let end = self.searched + at;
            self.searched = end + 1;
            self.line = end + 1;
            if matches!(&self.buffer[line..end], b"" | b"\r") {
                return Some(end + 1);
            }
        }
        self.searched = self.buffer.len();
        None
    }

    /// Number of received bytes that do not form a complete event yet. If there are any at the end of a stream, the
    /// endpoint broke it off, however regularly its connection or its body ended.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }

    /// Discards a partial event after the connection broke.
    pub fn discard_partial(&mut self) {
        *self = self.without_partial();
    }

    /// A splitter that has forwarded the same events and received nothing more.
    pub fn without_partial(&self) -> Self {
        Self {
            last_number: self.last_number,
            place: match self.place {
                Place::Taken => Place::Taken,
                Place::Joint | Place::Within => Place::Joint,
            },
            ..Self::default()
        }
    }

    /// Bytes of a partial event.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }

    /// Number of the last event that the client has.
    pub fn last_number(&self) -> Option<u64> {
        self.last_number
    }
}

/// The event's `id`, if it is a number.
fn number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?.trim_ascii();
    std::str::from_utf8(id).ok()?.parse().ok()
}
