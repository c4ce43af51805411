//! An HTTP client with one persistent connection and one call at a time.

use async_std::io::{self, BufReader, ReadExt};
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

quick_error! {
    /// Why a call has no complete answer.
    #[derive(Debug)]
    pub enum ClientError {
        /// Connecting failed or the connection was lost.
        Io(err: io::Error) { from() display("connection: {err}") source(err) }
        /// The head of the answer could not be parsed.
        Head(err: http_types::Error) { from() display("head: {err}") }
        /// The body is shorter or longer than its declared length.
        Short(got: usize, declared: usize) { display("{got} bytes of {declared}") }
        /// The body is not JSON of the expected type.
        Json(err: serde_json::Error) { from() display("body: {err}") source(err) }
    }
}

/// A client of one address. It connects at the first call and again after a failure.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: Response,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The status as a number.
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// A header's first value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// The body as JSON.
    ///
    /// # Errors
    /// If the body is not of that type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

impl Client {
    /// Creates a client that has not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Creates a request to this client's address; `path` may include a query.
    ///
    /// # Errors
    /// If `path` is invalid.
    pub fn request(&self, method: Method, path: &str) -> Result<Request, ClientError> {
        let text = format!("http://{}{path}", self.address);
        let url = Url::parse(&text).map_err(http_types::Error::from_display)?;
        Ok(Request::new(method, url))
    }

    /// Sends `request` and reads the complete answer.
    ///
    /// # Errors
    /// If the answer is incomplete.
    pub async fn call(&mut self, request: Request) -> Result<Answer, ClientError> {
        let (head, mut body) = self.open(request).await?;
        let declared = head.len();
        let mut bytes = Vec::new();
        if let Err(err) = body.read_to_end(&mut bytes).await {
            self.stream = None;
            return Err(err.into());
        }
        // async-h1 reports no error when the server closes the connection before the declared length, so compare here.
        match declared {
            Some(length) if length != bytes.len() => {
                self.stream = None;
                Err(ClientError::Short(bytes.len(), length))
            }
            _ => Ok(Answer { head, body: bytes }),
        }
    }

    /// Sends `request` and returns the head and an unread body. Read the body to its end or call [`Client::close`]
    /// before the next call.
    ///
    /// # Errors
    /// If no head was received.
    pub async fn open(&mut self, request: Request) -> Result<(Response, BufReader<http_types::Body>), ClientError> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        io::copy(async_h1::client::Encoder::new(request), &mut stream.clone()).await?;
        let mut head = async_h1::client::decode(stream.clone()).await?;
        self.stream = Some(stream);
        let body = head.take_body();
        // Keeps the declared length in the head; taking the body alone would set it to 0.
        head.set_body(http_types::Body::from_reader(io::empty(), body.len()));
        Ok((head, BufReader::new(body)))
    }

    /// Drops the connection.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Sends a call with an optional JSON body and reads the complete answer.
    ///
    /// # Errors
    /// If there is no complete answer.
    pub async fn send<T: Serialize>(
        &mut self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<Answer, ClientError> {
        let mut request = self.request(method, path)?;
        if let Some(body) = body {
            request.set_body(serde_json::to_vec(body)?);
        }
        self.call(request).await
    }

    /// Sends a GET request and reads the complete answer.
    ///
    /// # Errors
    /// If there is no complete answer.
    pub async fn get(&mut self, path: &str) -> Result<Answer, ClientError> {
        let request = self.request(Method::Get, path)?;
        self.call(request).await
    }

    async fn connect(&self) -> Result<TcpStream, ClientError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
