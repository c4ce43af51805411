//! Message framing: where a body ends.
//!
//! If two parties disagree on where a body ends, one of them parses part of it as another request (request smuggling).
//! So ambiguous framing is an error: a length together with chunks, two lengths, a length that is not a plain number, or
//! a transfer coding other than chunked.

use super::{Headers, RequestHead, ResponseHead};
use quick_error::quick_error;

quick_error! {
    /// Why the framing of a body is rejected.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FramingError {
        /// Several lengths, or one that is not a plain number.
        Length {
            display("the content length is not one plain number")
        }
        /// Both a length and a transfer coding.
        Both {
            display("both a content length and a transfer coding are present")
        }
        /// A transfer coding other than chunked.
        Coding {
            display("the transfer coding is not supported")
        }
        /// Neither a length nor chunks, in a response that began before its request was sent.
        Early {
            display("the response began before its request was sent, and ends with the connection")
        }
    }
}

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// It ends with the connection; allowed only for responses.
    UntilClose,
    /// There is none, whatever the head of the response says.
    NoBody,
}

impl Framing {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "close",
            Self::NoBody => "none",
        }
    }
}

/// Framing of a request's body.
///
/// # Errors
/// It is ambiguous; the request must be rejected and its connection closed.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    Ok(declared(&head.headers)?.unwrap_or(Framing::Length(0)))
}

/// Whether a response with this status to a request with this method has a body, which may be empty.
pub fn has_body(status: u16, method: &str) -> bool {
    !method.eq_ignore_ascii_case("HEAD") && !matches!(status, 100..=199 | 204 | 304)
}

/// Framing of the body of a response to a request with this method.
///
/// # Errors
/// It is ambiguous; the response must not be forwarded.
pub fn response_framing(head: &ResponseHead, method: &str) -> Result<Framing, FramingError> {
    if !has_body(head.status, method) {
        return Ok(Framing::NoBody);
    }
    Ok(declared(&head.headers)?.unwrap_or(Framing::UntilClose))
}

/// The length that a response without a body states for the one that another request would get.
pub fn stated_length(head: &ResponseHead) -> Option<u64> {
    // A response with status 204 must not state any.
    let states = head.status != 204 && head.headers.all("transfer-encoding").next().is_none();
    length(&head.headers).ok().flatten().filter(|_| states)
}

fn declared(headers: &Headers) -> Result<Option<Framing>, FramingError> {
    let length = length(headers)?;
    let mut codings = headers.all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(length.map(Framing::Length));
    };
    if length.is_some() {
        return Err(FramingError::Both);
    }
    if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
        return Err(FramingError::Coding);
    }
    Ok(Some(Framing::Chunked))
}

fn length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut lines = headers.all("content-length");
    let Some(first) = lines.next() else {
        return Ok(None);
    };
    if lines.next().is_some() || first.is_empty() || !first.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::Length);
    }
    let text = std::str::from_utf8(first).map_err(|_| FramingError::Length)?;
    text.parse().map(Some).map_err(|_| FramingError::Length)
}
