//! Pages for machines: readiness and counters.

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::Conn;
use http::raw::Source;
use std::sync::Arc;
use std::time::Duration;

/// Longest head of such a request, bytes.
const HEAD_BYTES: usize = 8 * 1024;
/// Longest time between two requests on a connection.
const IDLE: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A page's status and text.
pub type Page = (u16, Vec<u8>);

/// Answers every request with the page as it is then.
pub async fn serve_page(listener: TcpListener, page: impl Fn() -> Page + Send + Sync + 'static) {
    let page = Arc::new(page);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let page = page.clone();
                task::spawn(async move {
                    // Whoever asks in vain asks again.
                    let _ = answer(stream, &*page).await;
                });
            }
            Err(err) => {
                log::warn!("a question for a page could not be accepted: {err}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(stream: TcpStream, page: &(impl Fn() -> Page + Send + Sync)) -> std::io::Result<()> {
    let mut conn = Conn::new(stream);
    let mut source = Source::new(conn.clone());
    loop {
        let Ok(Ok(head)) = timeout(IDLE, source.request_head(HEAD_BYTES)).await else {
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
        conn.write_all(&bytes).await?;
        if !head.keeps() {
            return Ok(());
        }
    }
}
