//! Counts the bytes between a router and a server. The router is configured with the address of the relay.

use crate::error::ToolError;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const BUFFER: usize = 64 * 1024;

/// The number of bytes in both directions.
pub type ByteCount = Arc<AtomicU64>;

/// Starts a relay to `target` that adds its bytes to `count`.
///
/// # Errors
/// If no port can be bound.
pub async fn relay(target: SocketAddr, count: &ByteCount) -> Result<SocketAddr, ToolError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(ToolError::io("relay"))?;
    let local = listener.local_addr().map_err(ToolError::io("relay"))?;
    let count = count.clone();
    task::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            let count = count.clone();
            task::spawn(async move {
                let Ok(to) = TcpStream::connect(target).await else {
                    return;
                };
                let _ = (from.set_nodelay(true), to.set_nodelay(true));
                futures::join!(
                    copy_counted(from.clone(), to.clone(), &count),
                    copy_counted(to, from, &count)
                );
            });
        }
    });
    Ok(local)
}

async fn copy_counted(mut from: TcpStream, mut to: TcpStream, count: &ByteCount) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
        count.fetch_add(read as u64, Ordering::Relaxed);
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
