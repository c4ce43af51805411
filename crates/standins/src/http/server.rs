//! An HTTP server: a keep-alive loop around async-h1's decoder and encoder.
//!
//! async-h1's own accept loop can't send partial answers, which are needed to simulate a failing endpoint.

use async_std::io;
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use futures::future::BoxFuture;
use http_types::{Body, Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const MAX_BODY_BYTES: u64 = 8 << 20;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request with its body read.
#[derive(Debug)]
pub struct Call {
    /// The number of its connection.
    pub connection: u64,
    /// The head.
    pub request: Request,
    /// The body.
    pub body: Vec<u8>,
}

/// Where an answer is truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Inside the head.
    InHead,
    /// After the head.
    AfterHead,
    /// Inside the body.
    InBody,
}

/// What the server sends for a call.
#[derive(Debug)]
pub enum Reply {
    /// The complete answer.
    Answer(Response),
    /// The first part of the answer; then the connection closes.
    Part(Response, Cut),
    /// Nothing; the connection closes.
    Close,
}

/// Handles calls.
pub type Handler = Arc<dyn Fn(Call) -> BoxFuture<'static, Reply> + Send + Sync>;

/// Open connections, so that a simulated crash can close them.
#[derive(Debug, Default)]
pub struct Connections {
    newest: AtomicU64,
    open: Mutex<HashMap<u64, TcpStream>>,
}

impl Call {
    /// The path of the call.
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// The method and path.
    pub fn route(&self) -> (Method, &str) {
        (self.request.method(), self.path())
    }

    /// A query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.request.url().query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }

    /// A numeric query parameter.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// A header's first value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.last().as_str())
    }

    /// The body as JSON.
    pub fn json<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

impl Connections {
    /// Closes every connection except `excluded`.
    pub fn close_others(&self, excluded: u64) {
        let open = self.open.lock().expect("mutex is not poisoned");
        for (_, stream) in open.iter().filter(|(number, _)| **number != excluded) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn add(&self, stream: &TcpStream) -> u64 {
        let number = self.newest.fetch_add(1, Ordering::Relaxed);
        self.open
            .lock()
            .expect("mutex is not poisoned")
            .insert(number, stream.clone());
        number
    }

    fn remove(&self, number: u64) {
        self.open.lock().expect("mutex is not poisoned").remove(&number);
    }
}

/// Creates a JSON answer.
pub fn json<T: Serialize>(code: StatusCode, value: &T) -> Response {
    let mut response = Response::new(code);
    let text = serde_json::to_vec(value).expect("messages serialize");
    response.set_body(Body::from_bytes(text));
    response.insert_header("content-type", "application/json");
    response
}

/// Creates an answer without a body.
pub fn status(code: StatusCode) -> Reply {
    Reply::Answer(Response::new(code))
}

/// Listens on `address`.
pub async fn bind(address: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let local = listener.local_addr()?;
    Ok((listener, local))
}

/// Prints the line from which tests read the address.
pub fn announce(local: &str) {
    println!("listening on {local}");
}

/// Serves connections until the listener fails.
pub async fn serve(listener: TcpListener, connections: Arc<Connections>, handler: Handler) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        task::spawn(serve_connection(stream, connections.clone(), handler.clone()));
    }
}

async fn serve_connection(stream: TcpStream, connections: Arc<Connections>, handler: Handler) {
    let number = connections.add(&stream);
    while let Ok(true) = serve_call(&stream, number, &handler).await {}
    let _ = stream.shutdown(Shutdown::Both);
    connections.remove(number);
}

/// Serves one call. Returns whether the connection can be reused.
async fn serve_call(stream: &TcpStream, connection: u64, handler: &Handler) -> http_types::Result<bool> {
    let Some((mut request, _rest)) = async_h1::server::decode(stream.clone()).await? else {
        return Ok(false);
    };
    let method = request.method();
    let close = request
        .header("connection")
        .is_some_and(|v| v.last().as_str().eq_ignore_ascii_case("close"));
    let mut body = Vec::new();
    request.take_body().take(MAX_BODY_BYTES).read_to_end(&mut body).await?;
    let call = Call {
        connection,
        request,
        body,
    };
    let mut writer = stream.clone();
    match handler(call).await {
        Reply::Answer(response) => {
            let encoder = async_h1::server::Encoder::new(response, method);
            io::copy(encoder, &mut writer).await?;
            Ok(!close)
        }
        Reply::Part(response, cut) => {
            let mut bytes = Vec::new();
            async_h1::server::Encoder::new(response, method)
                .read_to_end(&mut bytes)
                .await?;
            writer.write_all(&bytes[..truncated_length(&bytes, cut)]).await?;
            Ok(false)
        }
        Reply::Close => Ok(false),
    }
}

fn truncated_length(bytes: &[u8], cut: Cut) -> usize {
    let found = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END);
    let head = found.map_or(bytes.len(), |at| at + HEAD_END.len());
    match cut {
        Cut::InHead => head / 2,
        Cut::AfterHead => head,
        Cut::InBody => head + (bytes.len() - head) / 2,
    }
}
