//! Reads the kernel's byte counts of connections to given ports with `ss`.
//!
//! A relay can't count this traffic, because routers exchange their own addresses and would bypass it.

use std::net::SocketAddr;
use std::process::Command;

/// The bytes sent so far on open connections to `ports`, in both directions. Returns 0 if `ss` isn't installed.
pub fn bytes(ports: &[SocketAddr]) -> u64 {
    let mut filter = vec!["(".to_owned()];
    for address in ports {
        if filter.len() > 1 {
            filter.push("or".to_owned());
        }
        filter.extend(["sport", "=", &format!(":{}", address.port()), "or"].map(str::to_owned));
        filter.extend(["dport", "=", &format!(":{}", address.port())].map(str::to_owned));
    }
    filter.push(")".to_owned());
    let output = Command::new("ss")
        .args(["-tinH", "state", "established"])
        .args(&filter)
        .output();
    let Ok(output) = output else { return 0 };
    // `ss` lists both ends of each connection, so bytes sent by each end are counted once.
    let text = String::from_utf8_lossy(&output.stdout);
    let sent = text
        .split_whitespace()
        .filter_map(|word| word.strip_prefix("bytes_sent:")?.parse::<u64>().ok());
    sent.sum()
}
