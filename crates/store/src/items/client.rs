//! Calls over a persistent connection.

use super::{
    Call, Changes, Codec, CommitOutcome, Granted, Item, ItemsError, Page, Position, Transaction, WatchOutcome,
};
use async_std::sync::Mutex;
use http::progress_timeout;
use http::raw::{Headers, Source, connect};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum response length. A page has about a megabyte and one more item at most, in base64.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Maximum time to connect. Within a region a connection takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// A complete response.
struct Response {
    status: u16,
    era: u64,
    body: Vec<u8>,
}

/// A client with one persistent connection, over which calls go one after the other.
///
/// The time limit of a call applies until the response starts to arrive. After that, only a stalled response fails the
/// call.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    codec: Codec,
    idle: Mutex<Option<Source>>,
}

impl Client {
    /// Creates a client. It connects at the first call.
    pub fn new(address: SocketAddr, codec: Codec) -> Self {
        Self {
            address,
            codec,
            idle: Mutex::new(None),
        }
    }

    /// Reads all items under a prefix, and the store's position as of the first page. A watch from there misses
    /// nothing, although the pages are no snapshot.
    ///
    /// # Errors
    /// A page could not be read or comes again, or the store was restored from a backup between two pages.
    pub async fn all(&self, prefix: &str, within: Duration) -> Result<(Vec<Item>, Position), ItemsError> {
        let (first, era) = self.page(prefix, None, within).await?;
        let position = Position {
            era,
            revision: first.revision,
        };
        let mut items = first.items;
        let mut more = first.more;
        let mut ends = HashSet::new();
        while more {
            let Some(last) = items.last().map(|item| item.key.clone()) else {
                break;
            };
            if !ends.insert(last.clone()) {
                return Err(ItemsError::Repeated);
            }
            let (page, era) = self.page(prefix, Some(&last), within).await?;
            if era != position.era {
                return Err(ItemsError::Restored);
            }
            more = page.more && !page.items.is_empty();
            items.extend(page.items);
        }
        Ok((items, position))
    }

    /// The store's current position. It is read with the items under a prefix, of which there should be few.
    ///
    /// # Errors
    /// The store rejected the call, or its response was lost.
    pub async fn position(&self, prefix: &str, within: Duration) -> Result<Position, ItemsError> {
        let (page, era) = self.page(prefix, None, within).await?;
        Ok(Position {
            era,
            revision: page.revision,
        })
    }

    /// Reads a page of items and the era in which it was read.
    async fn page(&self, prefix: &str, after: Option<&str>, within: Duration) -> Result<(Page, u64), ItemsError> {
        let response = self.call(&(self.codec.range)(prefix, after), within).await?;
        expect_ok(response.status)?;
        Ok(((self.codec.page)(&response.body)?, response.era))
    }

    /// Waits for changes under a prefix after a position.
    ///
    /// # Errors
    /// No response came within `wait` plus `grace`, or the store rejected the call.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
        grace: Duration,
    ) -> Result<WatchOutcome, ItemsError> {
        let call = (self.codec.watch)(prefix, after.revision, wait);
        let response = match self.call(&call, wait + grace).await {
            Err(ItemsError::TooLong(_)) => return Ok(WatchOutcome::TooLong),
            response => response?,
        };
        if response.status != 410 {
            expect_ok(response.status)?;
        }
        if response.era != after.era {
            return Ok(WatchOutcome::Restored(response.era));
        }
        if response.status == 410 {
            return Ok(WatchOutcome::Compacted);
        }
        let changes: Changes = (self.codec.changes)(&response.body)?;
        Ok(WatchOutcome::Changes(changes))
    }

    /// Commits a transaction. The call is sent once.
    ///
    /// # Errors
    /// After [`ItemsError::NotSent`] and [`ItemsError::Refused`] nothing was written. After other errors the outcome is
    /// unknown.
    pub async fn commit(&self, transaction: &Transaction, within: Duration) -> Result<CommitOutcome, ItemsError> {
        let response = self.call(&(self.codec.transaction)(transaction), within).await?;
        match response.status {
            200 => Ok(CommitOutcome::Done((self.codec.committed)(&response.body)?)),
            404 => Ok(CommitOutcome::NoLease),
            412 => Ok(CommitOutcome::Conflict),
            status => Err(ItemsError::Refused(status)),
        }
    }

    /// Requests a lease.
    ///
    /// # Errors
    /// No lease was granted, or the response was lost. In the latter case the lease expires by itself.
    pub async fn grant(&self, ttl: Duration, within: Duration) -> Result<Granted, ItemsError> {
        let response = self.call(&(self.codec.grant)(ttl), within).await?;
        expect_ok(response.status)?;
        Ok((self.codec.granted)(&response.body)?)
    }

    /// Renews a lease; `None` if it has ended.
    ///
    /// # Errors
    /// The lease may or may not have been renewed.
    pub async fn renew(&self, lease: u64, within: Duration) -> Result<Option<Duration>, ItemsError> {
        let response = self.call(&(self.codec.renew)(lease), within).await?;
        if response.status == 404 {
            return Ok(None);
        }
        expect_ok(response.status)?;
        Ok(Some((self.codec.renewed)(&response.body)?))
    }

    /// Ends a lease.
    ///
    /// # Errors
    /// The lease may last until it expires.
    pub async fn release(&self, lease: u64, within: Duration) -> Result<(), ItemsError> {
        self.call(&(self.codec.release)(lease), within).await.map(|_| ())
    }

    async fn call(&self, call: &Call, within: Duration) -> Result<Response, ItemsError> {
        let deadline = Instant::now() + within;
        let mut idle = self.idle.lock().await;
        let source = match idle.take() {
            Some(source) => source,
            None => self.open(deadline).await?,
        };
        let headers = Headers::default();
        let conn = source.conn().clone();
        let before = conn.received();
        let sent = call.send(source, self.address, &headers, MAX_RESPONSE_BYTES);
        match progress_timeout(remaining(deadline), || conn.received(), sent).await {
            Ok(Ok(response)) => {
                *idle = response.reusable;
                Ok(Response {
                    status: response.status,
                    era: (self.codec.era)(&response.headers),
                    body: response.body,
                })
            }
            Ok(Err(err)) => Err(match err.bound() {
                Some(bound) => ItemsError::TooLong(bound),
                None => ItemsError::Lost(conn.received() - before),
            }),
            Err(_) => Err(ItemsError::Lost(conn.received() - before)),
        }
    }

    async fn open(&self, deadline: Instant) -> Result<Source, ItemsError> {
        let source = connect(self.address, remaining(deadline).min(CONNECT_TIMEOUT)).await;
        source.map_err(|_| ItemsError::NotSent)
    }
}

fn expect_ok(status: u16) -> Result<(), ItemsError> {
    if status == 200 {
        return Ok(());
    }
    Err(ItemsError::Refused(status))
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
