//! Bytes on connections to given ports, as the kernel counted them, by `ss`.
//!
//! Routers tell each other their own addresses, so that a relay between them would be passed by.

use std::net::SocketAddr;
use std::process::Command;

/// Bytes sent so far on the open connections to `ports`, in both directions; 0 where `ss` isn't installed.
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
    let shown = Command::new("ss")
        .args(["-tinH", "state", "established"])
        .args(&filter)
        .output();
    let Ok(shown) = shown else { return 0 };
    // Each connection is shown at both its ends; what one end sent is counted once.
    let text = String::from_utf8_lossy(&shown.stdout);
    let sent = text
        .split_whitespace()
        .filter_map(|word| word.strip_prefix("bytes_sent:")?.parse::<u64>().ok());
    sent.sum()
}
