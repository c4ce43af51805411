//! The client: one kept connection, one call at a time.

use async_std::io::{self, BufReader, ReadExt};
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

quick_error! {
    /// Why a call has no whole answer.
    #[derive(Debug)]
    pub enum ClientError {
        /// The connection could not be made or broke.
        Io(err: io::Error) { from() display("connection: {err}") source(err) }
        /// The answer's head could not be read.
        Head(err: http_types::Error) { from() display("head: {err}") }
        /// The body is not what its head declared.
        Short(got: usize, declared: usize) { display("{got} bytes of {declared}") }
        /// The body is not the JSON that was expected.
        Json(err: serde_json::Error) { from() display("body: {err}") source(err) }
    }
}

/// A connection to one address, made at the first call and again after a failure.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its head.
    pub head: Response,
    /// Its body.
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
    /// If it is not of that type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

impl Client {
    /// A client that has not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// A request to this client's address; `path` may have a query.
    ///
    /// # Errors
    /// If `path` is not one.
    pub fn request(&self, method: Method, path: &str) -> Result<Request, ClientError> {
        let text = format!("http://{}{path}", self.address);
        let url = Url::parse(&text).map_err(http_types::Error::from_display)?;
        Ok(Request::new(method, url))
    }

    /// Sends `request` and reads the whole answer.
    ///
    /// # Errors
    /// If any byte of it is missing.
    pub async fn call(&mut self, request: Request) -> Result<Answer, ClientError> {
        let (head, mut body) = self.open(request).await?;
        let declared = head.len();
        let mut bytes = Vec::new();
        if let Err(err) = body.read_to_end(&mut bytes).await {
            self.stream = None;
            return Err(err.into());
        }
        // async-h1 reports no error when a peer closes before the declared length: compare here.
        match declared {
            Some(length) if length != bytes.len() => {
                self.stream = None;
                Err(ClientError::Short(bytes.len(), length))
            }
            _ => Ok(Answer { head, body: bytes }),
        }
    }

    /// Sends `request` and returns the head with the body still to be read; the body must be read to its end before
    /// the next call, or [`Client::close`] called.
    ///
    /// # Errors
    /// If there is no head.
    pub async fn open(&mut self, request: Request) -> Result<(Response, BufReader<http_types::Body>), ClientError> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        io::copy(async_h1::client::Encoder::new(request), &mut stream.clone()).await?;
        let mut head = async_h1::client::decode(stream.clone()).await?;
        self.stream = Some(stream);
        let body = head.take_body();
        // The head keeps the declared length; taking its body would leave 0 there.
        head.set_body(http_types::Body::from_reader(io::empty(), body.len()));
        Ok((head, BufReader::new(body)))
    }

    /// Forgets the connection.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Sends a call with an optional JSON body and reads the whole answer.
    ///
    /// # Errors
    /// If there is no whole answer.
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

    /// GET without a body.
    ///
    /// # Errors
    /// If there is no whole answer.
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
