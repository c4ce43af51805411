//! Serves pages for machines: readiness and metrics.

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::Conn;
use http::raw::Source;
use std::sync::Arc;
use std::time::Duration;

/// Longest request head, bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest idle time between two requests on a connection, and longest time for writing a page.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Status and text of a page.
pub type Page = (u16, Vec<u8>);

/// Responds to every request with the current page.
pub async fn serve_page(listener: TcpListener, page: impl Fn() -> Page + Send + Sync + 'static) {
    let page = Arc::new(page);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let page = page.clone();
                task::spawn(async move {
                    // After an I/O error the client asks again.
                    let _ = answer(stream, &*page).await;
                });
            }
            Err(err) => {
                log::warn!("cannot accept a connection to the readiness or metrics page: {err}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(stream: TcpStream, page: &(impl Fn() -> Page + Send + Sync)) -> std::io::Result<()> {
    let mut conn = Conn::new(stream);
    let mut source = Source::new(conn.clone());
    loop {
        let Ok(Ok(head)) = timeout(IDLE_TIMEOUT, source.request_head(MAX_HEAD_BYTES)).await else {
            return Ok(());
        };
        let (status, text) = page();
        let reason = if status == 200 { "OK" } else { "Service Unavailable" };
        let lines = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        let mut bytes = lines.into_bytes();
        bytes.extend_from_slice(&text);
        async_std::io::timeout(IDLE_TIMEOUT, conn.write_all(&bytes)).await?;
        if !head.keeps_alive() {
            return Ok(());
        }
    }
}
