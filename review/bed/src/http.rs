//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn broken(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, why.to_owned())
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return if lines.is_empty() { Ok(None) } else { Err(broken("end within a head")) };
        }
        let line = line.trim_end_matches(['\r', '\n']).to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first = lines.next().unwrap_or_default();
    let headers = lines.filter_map(|line| line.split_once(':').map(|(a, b)| (a.trim().to_owned(), b.trim().to_owned())));
    Ok(Some(Message { first, headers: headers.collect(), body: Vec::new() }))
}

/// Reads a body that has a length or comes in chunks. A body that ends early is an error.
pub fn read_body(from: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(broken("end within chunks"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("bad chunk"))?;
            let mut part = vec![0; size + 2];
            from.read_exact(&mut part)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&part[..size]);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)
}

pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else { return Ok(None) };
    read_body(from, &mut message)?;
    Ok(Some(message))
}

pub fn respond(to: &mut impl Write, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// One call over a new connection.
pub fn call(to: SocketAddr, method: &str, target: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, std::time::Duration::from_secs(1))?;
    stream.set_read_timeout(Some(std::time::Duration::from_secs(2)))?;
    stream.write_all(format!("{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| broken("no answer"))
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn sched_getcpu() -> i32;
    fn sched_setaffinity(pid: i32, size: usize, mask: *const u64) -> i32;
}

/// Connects with a small receive buffer, as clients on small machines or slow links have.
pub fn connect_small(to: SocketAddr, buffer: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else { return Err(broken("only IPv4")) };
    let mut address = vec![2, 0];
    address.extend_from_slice(&to.port().to_be_bytes());
    address.extend_from_slice(&to.ip().octets());
    address.extend_from_slice(&[0; 8]);
    // AF_INET 2, SOCK_STREAM 1, SOL_SOCKET 1, SO_RCVBUF 8. The address outlives the call.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, 1, 8, &buffer, 4) != 0 || connect(fd, address.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, signal: i32) {
    unsafe {
        kill(pid as i32, signal);
    }
}

/// Keeps the calling process on the core that it is on, and ends it with the process that started it.
pub fn prepare_child() -> io::Result<()> {
    let mut mask = [0u64; 16];
    unsafe {
        // PR_SET_PDEATHSIG 1, SIGKILL 9: no router outlives a case that is ended from outside.
        prctl(1, 9);
        let core = usize::try_from(sched_getcpu()).unwrap_or(0);
        mask[core / 64 % 16] = 1 << (core % 64);
        sched_setaffinity(0, size_of_val(&mask), mask.as_ptr());
    }
    Ok(())
}
