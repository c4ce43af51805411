//! Completeness checks for answers: numbered pieces of a server-sent event stream, and bodies of declared length.
//!
//! Without these checks, a client could receive repeated, missing or foreign text: a stream that is resumed after a
//! broken connection may repeat or skip pieces, an answer to another request may arrive on a reused connection, and the
//! HTTP library reports a truncated body as if it were complete.

use ids::{RequestId, WeightsVersion};

/// Verdict on the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeadVerdict {
    /// It belongs to this request. Continue reading.
    Accept,
    /// It has the id of another request or none. Close the connection and forward nothing.
    OtherRequest,
    /// It resumes the stream with other weights or does not name them. Forward nothing.
    OtherWeights,
}

/// Verdict on a piece of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PieceVerdict {
    /// It is the next piece. Forward it.
    Deliver,
    /// It was delivered before. Drop it.
    Duplicate,
    /// Pieces before it are missing. Drop it and resume from [`StreamAssembler::resume_from`].
    Gap,
    /// The stream has ended, or no head was accepted on this connection. Drop it.
    Unexpected,
}

/// What the end of a connection means.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ConnectionEnd {
    /// The end mark was received: the stream is complete.
    Complete,
    /// No piece was delivered: the request may be sent again, with any weights.
    Restart,
    /// Resume from this piece, only on an engine with these weights.
    Resume {
        /// Number of the first piece that was not delivered.
        from: u64,
        /// The weights that generated the delivered pieces. Absent if the engine did not name them: then the stream
        /// cannot be resumed, and the client gets an explicit error event.
        weights: Option<WeightsVersion>,
    },
}

/// Assembles the pieces of one request's stream over any number of connections.
#[derive(Debug, Clone)]
pub struct StreamAssembler {
    request: RequestId,
    weights: Option<WeightsVersion>,
    next_piece: u64,
    open: bool,
    complete: bool,
}

impl StreamAssembler {
    /// An empty stream of `request`.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            weights: None,
            next_piece: 0,
            open: false,
            complete: false,
        }
    }

    /// Handles the head of a connection's answer: the request id it echoes and the weights it names.
    pub fn on_head(&mut self, echoed: Option<&str>, weights: Option<&str>) -> HeadVerdict {
        self.open = false;
        if echoed != Some(self.request.as_str()) {
            return HeadVerdict::OtherRequest;
        }
        if self.next_piece > 0 && !self.same_weights(weights) {
            return HeadVerdict::OtherWeights;
        }
        if self.next_piece == 0 {
            self.weights = weights.map(WeightsVersion::from);
        }
        self.open = true;
        HeadVerdict::Accept
    }

    /// Handles a piece with this number.
    pub fn on_piece(&mut self, number: u64) -> PieceVerdict {
        if !self.open || self.complete {
            return PieceVerdict::Unexpected;
        }
        if number < self.next_piece {
            return PieceVerdict::Duplicate;
        }
        if number > self.next_piece {
            return PieceVerdict::Gap;
        }
        self.next_piece += 1;
        PieceVerdict::Deliver
    }

    /// Handles the end mark `[DONE]`. Returns whether this completes the stream.
    pub fn on_done(&mut self) -> bool {
        let ends = self.open && !self.complete;
        self.complete |= ends;
        ends
    }

    /// Handles the end of a connection, for any reason.
    pub fn on_break(&mut self) -> ConnectionEnd {
        self.open = false;
        if self.complete {
            return ConnectionEnd::Complete;
        }
        if self.next_piece == 0 {
            return ConnectionEnd::Restart;
        }
        ConnectionEnd::Resume {
            from: self.next_piece,
            weights: self.weights.clone(),
        }
    }

    /// Number of the first piece that was not delivered.
    pub fn resume_from(&self) -> u64 {
        self.next_piece
    }

    /// Whether the end mark was received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    fn same_weights(&self, named: Option<&str>) -> bool {
        self.weights.is_some() && self.weights.as_ref().map(WeightsVersion::as_str) == named
    }
}

/// What was received of an answer with a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedAnswer<'a> {
    /// Length the head declared, bytes.
    pub declared: Option<u64>,
    /// Whether the body was chunked. The HTTP library reports a truncated chunked body as an error.
    pub chunked: bool,
    /// Number of bytes read before the body ended without an error.
    pub read: u64,
    /// Request id echoed in the head.
    pub echoed: Option<&'a str>,
}

/// Verdict on an answer with a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerVerdict {
    /// Complete, and belongs to this request. Forward it.
    Complete,
    /// Shorter or longer than declared. Must not be forwarded.
    WrongLength,
    /// Neither a length nor chunked encoding, so completeness cannot be checked. Must not be forwarded.
    LengthUnknown,
    /// Belongs to another request or names none. Must not be forwarded.
    OtherRequest,
}

impl ReceivedAnswer<'_> {
    /// Checks whether this is the complete answer to `request`.
    pub fn check(&self, request: &RequestId) -> AnswerVerdict {
        if self.echoed != Some(request.as_str()) {
            return AnswerVerdict::OtherRequest;
        }
        match self.declared {
            Some(length) if length == self.read => AnswerVerdict::Complete,
            Some(_) => AnswerVerdict::WrongLength,
            None if self.chunked => AnswerVerdict::Complete,
            None => AnswerVerdict::LengthUnknown,
        }
    }
}
