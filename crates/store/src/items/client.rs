//! Calls over kept connections.

use super::{Call, Changes, Codec, Committed, Granted, Item, ItemsError, Page, Position, Transaction, Watched};
use async_std::sync::Mutex;
use http::progress_timeout;
use http::raw::{Headers, Source, connect};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest answer, bytes: pages and documents are about a megabyte at most, in base64.
const ANSWER_BYTES: u64 = 4 << 20;
/// Longest wait for a connection; within a region one stands after a few milliseconds.
const CONNECT: Duration = Duration::from_millis(700);

/// A whole answer.
struct Answer {
    status: u16,
    era: u64,
    body: Vec<u8>,
}

/// A client with one kept connection; calls go one after the other. Time limits of calls hold until an answer begins to arrive, and
/// for its whole only while it stalls.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    codec: Codec,
    kept: Mutex<Option<Source>>,
}

impl Client {
    /// A client without a connection.
    pub fn new(address: SocketAddr, codec: Codec) -> Self {
        Self {
            address,
            codec,
            kept: Mutex::new(None),
        }
    }

    /// All items under a prefix, and the store's position before the first page was read: a watch that begins there
    /// misses nothing, since pages are no snapshot.
    ///
    /// # Errors
    /// A page could not be read, or the store came back from a copy between two pages.
    pub async fn all(&self, prefix: &str, within: Duration) -> Result<(Vec<Item>, Position), ItemsError> {
        let (first, era) = self.page(prefix, None, within).await?;
        let position = Position {
            era,
            revision: first.revision,
        };
        let mut items = first.items;
        let mut more = first.more;
        while more {
            let Some(last) = items.last().map(|item| item.key.clone()) else {
                break;
            };
            let (page, era) = self.page(prefix, Some(&last), within).await?;
            if era != position.era {
                return Err(ItemsError::Restored);
            }
            more = page.more && !page.items.is_empty();
            items.extend(page.items);
        }
        Ok((items, position))
    }

    /// A page, and the era that it was read in.
    async fn page(&self, prefix: &str, after: Option<&str>, within: Duration) -> Result<(Page, u64), ItemsError> {
        let answer = self.call(&(self.codec.range)(prefix, after), within).await?;
        expect_ok(answer.status)?;
        Ok(((self.codec.page)(&answer.body)?, answer.era))
    }

    /// Waits for changes under a prefix after a position.
    ///
    /// # Errors
    /// No answer came within `wait` and `grace`, or the store refused.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
        grace: Duration,
    ) -> Result<Watched, ItemsError> {
        let call = (self.codec.watch)(prefix, after.revision, wait);
        let answer = self.call(&call, wait + grace).await?;
        if answer.status != 410 {
            expect_ok(answer.status)?;
        }
        if answer.era != after.era {
            return Ok(Watched::Restored(answer.era));
        }
        if answer.status == 410 {
            return Ok(Watched::Forgotten);
        }
        let changes: Changes = (self.codec.changes)(&answer.body)?;
        Ok(Watched::Changes(changes))
    }

    /// Carries out a transaction, sent once.
    ///
    /// # Errors
    /// The outcome is known only for [`ItemsError::NotSent`] and [`ItemsError::Refused`]: nothing was done.
    pub async fn commit(&self, transaction: &Transaction, within: Duration) -> Result<Committed, ItemsError> {
        let answer = self.call(&(self.codec.transaction)(transaction), within).await?;
        match answer.status {
            200 => Ok(Committed::Done((self.codec.committed)(&answer.body)?)),
            404 => Ok(Committed::NoLease),
            412 => Ok(Committed::Conflict),
            status => Err(ItemsError::Refused(status)),
        }
    }

    /// Asks for a lease.
    ///
    /// # Errors
    /// None was granted, or the answer was lost; then it lapses by itself.
    pub async fn grant(&self, ttl: Duration, within: Duration) -> Result<Granted, ItemsError> {
        let answer = self.call(&(self.codec.grant)(ttl), within).await?;
        expect_ok(answer.status)?;
        Ok((self.codec.granted)(&answer.body)?)
    }

    /// Renews a lease; `None` if it has ended.
    ///
    /// # Errors
    /// It may or may not have been renewed.
    pub async fn renew(&self, lease: u64, within: Duration) -> Result<Option<Duration>, ItemsError> {
        let answer = self.call(&(self.codec.renew)(lease), within).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        expect_ok(answer.status)?;
        Ok(Some((self.codec.renewed)(&answer.body)?))
    }

    /// Ends a lease.
    ///
    /// # Errors
    /// It may go on until it lapses.
    pub async fn release(&self, lease: u64, within: Duration) -> Result<(), ItemsError> {
        self.call(&(self.codec.release)(lease), within).await.map(|_| ())
    }

    async fn call(&self, call: &Call, within: Duration) -> Result<Answer, ItemsError> {
        let until = Instant::now() + within;
        let mut kept = self.kept.lock().await;
        let source = match kept.take() {
            Some(source) => source,
            None => self.open(until).await?,
        };
        let headers = Headers::default();
        let conn = source.conn().clone();
        let before = conn.received();
        let sent = call.send(source, self.address, &headers, ANSWER_BYTES);
        match progress_timeout(left(until), || conn.received(), sent).await {
            Ok(Ok(called)) => {
                *kept = called.reusable;
                Ok(Answer {
                    status: called.status,
                    era: (self.codec.era)(&called.headers),
                    body: called.body,
                })
            }
            Ok(Err(_)) | Err(_) => Err(ItemsError::Lost(conn.received() - before)),
        }
    }

    async fn open(&self, until: Instant) -> Result<Source, ItemsError> {
        let source = connect(self.address, left(until).min(CONNECT)).await;
        source.map_err(|_| ItemsError::NotSent)
    }
}

fn expect_ok(status: u16) -> Result<(), ItemsError> {
    if status == 200 {
        return Ok(());
    }
    Err(ItemsError::Refused(status))
}

fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}
