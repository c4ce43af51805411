//! Whole answers: numbered pieces of a server-sent event stream, and bodies of declared length.
//!
//! What goes wrong without it: a connection breaks and the resumed stream repeats or skips pieces; an answer of
//! another request arrives on a reused connection; the HTTP library reports a body that was cut short as if it
//! were whole. A caller notices text that is doubled, missing or someone else's.

use ids::{RequestId, WeightsVersion};

/// Verdict on the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeadVerdict {
    /// It is this request's; read on.
    Accept,
    /// It bears another request's id or none: close the connection, pass nothing on.
    OtherRequest,
    /// It resumes with other weights or does not name them: pass nothing on.
    OtherWeights,
}

/// Verdict on a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PieceVerdict {
    /// The next one: pass it on.
    Deliver,
    /// Delivered before: drop it.
    Duplicate,
    /// Pieces are missing before it: drop it and resume from [`StreamAssembler::resume_from`].
    Gap,
    /// The stream has ended, or no head was accepted on this connection: drop it.
    Unexpected,
}

/// What the end of a connection means.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ConnectionEnd {
    /// The end mark had come: the stream is whole.
    Complete,
    /// No piece was delivered: the request may be sent anew with any weights.
    Restart,
    /// Resume from this piece, only at an engine with these weights.
    Resume {
        /// Number of the first piece that was not delivered.
        from: u64,
        /// The weights that made the delivered pieces; absent if the engine did not name them, and then the
        /// stream cannot be resumed and the caller gets an explicit error event.
        weights: Option<WeightsVersion>,
    },
}

/// Puts the pieces of one request's stream in order over any number of connections.
#[derive(Debug, Clone)]
pub struct StreamAssembler {
    request: RequestId,
    weights: Option<WeightsVersion>,
    next: u64,
    open: bool,
    whole: bool,
}

impl StreamAssembler {
    /// An empty stream of `request`.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            weights: None,
            next: 0,
            open: false,
            whole: false,
        }
    }

    /// The head of a connection's answer: the id it echoes and the weights it names.
    pub fn on_head(&mut self, echoed: Option<&str>, weights: Option<&str>) -> HeadVerdict {
        self.open = false;
        if echoed != Some(self.request.as_str()) {
            return HeadVerdict::OtherRequest;
        }
        if self.next > 0 && !self.same_weights(weights) {
            return HeadVerdict::OtherWeights;
        }
        if self.next == 0 {
            self.weights = weights.map(WeightsVersion::from);
        }
        self.open = true;
        HeadVerdict::Accept
    }

    /// A piece with its number.
    pub fn on_piece(&mut self, number: u64) -> PieceVerdict {
        if !self.open || self.whole {
            return PieceVerdict::Unexpected;
        }
        if number < self.next {
            return PieceVerdict::Duplicate;
        }
        if number > self.next {
            return PieceVerdict::Gap;
        }
        self.next += 1;
        PieceVerdict::Deliver
    }

    /// The end mark `[DONE]`; true if the stream is whole now and had not been before.
    pub fn on_done(&mut self) -> bool {
        let ends = self.open && !self.whole;
        self.whole |= ends;
        ends
    }

    /// The connection ended, for whatever reason.
    pub fn on_break(&mut self) -> ConnectionEnd {
        self.open = false;
        if self.whole {
            return ConnectionEnd::Complete;
        }
        if self.next == 0 {
            return ConnectionEnd::Restart;
        }
        ConnectionEnd::Resume {
            from: self.next,
            weights: self.weights.clone(),
        }
    }

    /// Number of the first piece that was not delivered.
    pub fn resume_from(&self) -> u64 {
        self.next
    }

    /// Whether the end mark has come.
    pub fn whole(&self) -> bool {
        self.whole
    }

    fn same_weights(&self, named: Option<&str>) -> bool {
        self.weights.is_some() && self.weights.as_ref().map(WeightsVersion::as_str) == named
    }
}

/// What was read of an answer with a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WholeAnswer<'a> {
    /// Length the head declared, bytes.
    pub declared: Option<u64>,
    /// Whether the body was chunked; the library reports a cut inside chunks as an error.
    pub chunked: bool,
    /// Bytes read before the body ended without an error.
    pub read: u64,
    /// Request id in the answer's head.
    pub echoed: Option<&'a str>,
}

/// Verdict on an answer with a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Whole and this request's: pass it on.
    Whole,
    /// Shorter or longer than declared: never pass it on.
    WrongLength,
    /// Neither length nor chunks: whether it is whole cannot be told, never pass it on.
    Undeclared,
    /// Another request's, or nobody's: never pass it on.
    OtherRequest,
}

impl WholeAnswer<'_> {
    /// Whether this is the whole answer to `request`.
    pub fn check(&self, request: &RequestId) -> Verdict {
        if self.echoed != Some(request.as_str()) {
            return Verdict::OtherRequest;
        }
        match self.declared {
            Some(length) if length == self.read => Verdict::Whole,
            Some(_) => Verdict::WrongLength,
            None if self.chunked => Verdict::Whole,
            None => Verdict::Undeclared,
        }
    }
}
