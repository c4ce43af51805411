//! HTTP/1.1 as the stand-ins and the tools round them need it: a server that can cut its answers at a chosen
//! byte, and a client with one connection that it keeps.

mod client;
mod server;

pub use client::{Answer, Client, ClientError};
pub use server::{Call, Connections, Cut, Handler, Reply, announce, bind, json, serve, status};
