//! Events of a stream on their way to the client, who may read slowly.
//!
//! While a write waits for the client, the endpoint's stream is read on, since endpoints cut off a stream that stays unread.

use super::relay::OpenStream;
use crate::blocks::Blocks;
use crate::held::{HeldBudget, HeldKind, Hold, NoRoom, Room};
use async_std::io::WriteExt;
use async_std::task;
use futures::future::{Either, select};
use http::Conn;
use http::raw::RawBodyError;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Most bytes that are read ahead of one client: several times the longest answers of engines, and a sixteenth of the
/// budget, so that a few slow clients don't use it up.
const MAX_AHEAD_BYTES: usize = 1 << 20;

/// Interval at which a stream to a slow client looks for room again. Endpoints cut off a stream that stays unread for some
/// seconds, and the client may read nothing for longer.
const ROOM_POLL: Duration = Duration::from_millis(100);

/// Events that the client has not taken yet.
pub(super) struct Outbox {
    conn: Conn,
    bytes: Blocks,
    /// Bytes of an event that is not complete.
    partial: usize,
    hold: Hold,
    /// Whether the endpoint's stream is being read.
    reads: bool,
    /// Whether a pause has ended with room for one read, which the next step makes.
    granted: bool,
}

/// What happened next.
pub(super) enum Step {
    /// The endpoint sent a part of its stream, or ended it.
    Part(Result<Option<Vec<u8>>, RawBodyError>),
    /// The client took some bytes.
    Written,
    /// The endpoint was not read, because there was no room.
    Paused,
    /// The client closed the connection.
    ClientDisconnected,
    /// The bytes are needed for others.
    NoRoom,
}

impl Outbox {
    pub(super) fn new(conn: &Conn, budget: &Arc<HeldBudget>) -> Self {
        Self {
            conn: conn.clone(),
            bytes: Blocks::default(),
            partial: 0,
            hold: Hold::new(budget, HeldKind::Stream),
            reads: true,
            granted: false,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether the endpoint was read in the last step. If it was not, it isn't silent.
    pub(super) fn reads(&self) -> bool {
        self.reads
    }

    /// Appends bytes for the client. `partial` is the number of bytes of an event that is not complete.
    pub(super) fn push(&mut self, bytes: &[u8], partial: usize) {
        self.bytes.push(bytes);
        self.partial = partial;
        self.count();
    }

    /// Writes to the client and reads the endpoint's stream, whichever goes on first. Nothing is lost if the future is
    /// dropped.
    pub(super) async fn step(&mut self, stream: &mut OpenStream) -> Step {
        self.reads = self.is_empty() || (self.bytes.len() < MAX_AHEAD_BYTES && self.hold.has_room_ahead());
        if self.is_empty() {
            if !std::mem::take(&mut self.granted) {
                self.reads = false;
                match self.hold.room().await {
                    Ok(Room::Free) => self.reads = true,
                    Ok(Room::AfterPause) => {
                        self.granted = true;
                        return Step::Paused;
                    }
                    Err(NoRoom) => return Step::NoRoom,
                }
            }
            let part = self.hold.unless_closed(stream.next_part()).await;
            return part.map_or(Step::NoRoom, Step::Part);
        }
        let reads = self.reads;
        let part = async {
            if reads {
                return Step::Part(stream.next_part().await);
            }
            task::sleep(ROOM_POLL).await;
            Step::Paused
        };
        let (write, part) = (pin!(self.write()), pin!(part));
        match select(write, part).await {
            Either::Left((step, _)) => step,
            Either::Right((step, _)) => step,
        }
    }

    /// Writes until the client has taken everything.
    pub(super) async fn flush(&mut self) -> Step {
        while !self.is_empty() {
            match self.write().await {
                Step::Written => {}
                failed => return failed,
            }
        }
        Step::Written
    }

    async fn write(&mut self) -> Step {
        let write = self.conn.write(self.bytes.front());
        let written = match self.hold.unless_closed(write).await {
            Ok(Ok(count @ 1..)) => count,
            Ok(_) => return Step::ClientDisconnected,
            Err(NoRoom) => return Step::NoRoom,
        };
        self.bytes.consume(written);
        self.count();
        Step::Written
    }

    fn count(&mut self) {
        self.hold.set(self.bytes.len() + self.partial);
    }
}
