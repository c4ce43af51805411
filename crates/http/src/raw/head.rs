//! Heads of requests and responses.

use quick_error::quick_error;
use std::ops::RangeInclusive;

/// Most header lines of one head. Clients send about a dozen.
const MAX_HEADERS: usize = 100;
/// Statuses that HTTP defines a class for. Recipients treat others in different ways, or not as responses at all.
const STATUSES: RangeInclusive<u16> = 100..=599;

quick_error! {
    /// Why no head could be read.
    #[derive(Debug)]
    pub enum HeadError {
        /// The peer closed between two messages.
        Closed {
            display("the connection was closed")
        }
        /// The connection ended within the head.
        Truncated {
            display("the connection ended within a head")
        }
        /// The head is longer than allowed.
        TooLarge {
            display("the head is too long")
        }
        /// The bytes are not a valid head.
        Malformed(err: httparse::Error) {
            from()
            display("the head is malformed: {err}")
        }
        /// The connection failed.
        Io(err: std::io::Error) {
            from()
            display("{err}")
        }
    }
}

/// Header lines in order, with names as they were sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// The value of the only line of this name; `None` if there is none or more than one, or it is not text.
    pub fn one(&self, name: &str) -> Option<&str> {
        let mut lines = self.all(name);
        let first = lines.next()?;
        if lines.next().is_some() {
            return None;
        }
        std::str::from_utf8(first).ok()
    }

    /// The values of all lines of this name.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let matching = move |line: &&(String, Vec<u8>)| line.0.eq_ignore_ascii_case(name);
        self.0.iter().filter(matching).map(|(_, value)| value.as_slice())
    }

    /// Whether a comma-separated header of this name contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let has = |value: &[u8]| {
            let text = String::from_utf8_lossy(value);
            text.split(',').any(|item| item.trim().eq_ignore_ascii_case(token))
        };
        self.all(name).any(has)
    }

    /// All lines in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Adds a line at the end.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.to_owned(), value.into()));
    }

    /// Appends the lines in wire format, without the empty line after them.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let line = |header: &httparse::Header<'_>| (header.name.to_owned(), header.value.to_vec());
        Self(parsed.iter().map(line).collect())
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method as sent.
    pub method: String,
    /// The target as sent, neither resolved nor decoded.
    pub target: String,
    /// Whether the client uses HTTP/1.0, which has no chunked encoding and closes connections by default.
    pub http10: bool,
    /// Header lines.
    pub headers: Headers,
}

impl RequestHead {
    /// Parses a head at the start of `bytes` and returns it with its length, or `None` while it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, httparse::Error> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let httparse::Status::Complete(length) = request.parse(bytes)? else {
            return Ok(None);
        };
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            http10: request.version == Some(0),
            headers: Headers::from_parsed(request.headers),
        };
        Ok(Some((head, length)))
    }

    /// Whether the connection may serve another request after this one.
    pub fn keeps_alive(&self) -> bool {
        if self.http10 {
            return self.headers.has_token("connection", "keep-alive");
        }
        !self.headers.has_token("connection", "close")
    }

    /// The path, without query and fragment. Targets are expected in origin form; in other forms the scheme and authority
    /// are included.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status, 100 to 599.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Whether the peer uses HTTP/1.0.
    pub http10: bool,
}

impl ResponseHead {
    /// Parses a head at the start of `bytes` and returns it with its length, or `None` while it is incomplete.
    ///
    /// # Errors
    /// The bytes are not a valid head, or the status is not one of HTTP.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, httparse::Error> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let httparse::Status::Complete(length) = response.parse(bytes)? else {
            return Ok(None);
        };
        let status = response.code.filter(|code| STATUSES.contains(code));
        let head = Self {
            status: status.ok_or(httparse::Error::Status)?,
            headers: Headers::from_parsed(response.headers),
            http10: response.version == Some(0),
        };
        Ok(Some((head, length)))
    }

    /// Whether another response to the same request follows.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Whether the connection may carry another request after this response.
    pub fn keeps_alive(&self) -> bool {
        !self.http10 && !self.headers.has_token("connection", "close")
    }
}
