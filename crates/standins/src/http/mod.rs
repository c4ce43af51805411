//! HTTP/1.1 for the stand-ins and their tools: a server that can truncate its answers, and a client with one
//! persistent connection.

mod client;
mod server;

pub use client::{Answer, Client, ClientError};
pub use server::{Call, Connections, Cut, Handler, Reply, announce, bind, json, serve, status};
