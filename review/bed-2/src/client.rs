//! A client of the router.

use crate::http::{self, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a request over a new channel and reads the answer. `None` if the channel ended without one.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(within))?;
    stream.set_nodelay(true)?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    http::read(&mut BufReader::new(stream))
}
