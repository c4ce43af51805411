//! What the kernel tells about the acknowledgements on a TCP connection.

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, sockopt_impl};
use std::os::fd::AsFd;
use std::time::Duration;

/// Time without an acknowledgement of sent segments after which a peer is unreachable. It is well above a few
/// retransmissions between failure domains a millisecond apart, and below every timeout that a client would notice.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Retransmissions in a row that show that segments or their acknowledgements are lost.
const MIN_RETRANSMITS: u8 = 3;
/// Time in which a reachable peer acknowledges a segment.
const ROUND_TRIP: Duration = Duration::from_millis(100);
/// Shortest interval between two window probes (`TCP_RTO_MIN` of Linux).
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The interval between window probes doubles at most this often.
const MAX_DOUBLINGS: u8 = 9;
/// State of a connection that was reset, whether or not its peer has closed it before (`TCP_CLOSE` of Linux).
const CLOSED: u8 = 7;

/// The beginning of Linux's `struct tcp_info`, as of Linux 4.6.
#[repr(C)]
#[derive(Debug, Clone, Copy)]
pub struct TcpInfo {
    state: u8,
    ca_state: u8,
    /// Retransmissions of the first unacknowledged segment.
    retransmits: u8,
    /// Window probes since the last acknowledgement.
    probes: u8,
    /// How often the interval between probes was doubled.
    backoff: u8,
    options: u8,
    window_scale: u8,
    flags: u8,
    /// Retransmission timeout, microseconds.
    rto_us: u32,
    ato_us: u32,
    snd_mss: u32,
    rcv_mss: u32,
    /// Segments in flight.
    unacked: u32,
    loss_counters: [u32; 4],
    /// Time since data was last sent or retransmitted, milliseconds.
    last_data_sent_ms: u32,
    last_ack_sent_ms: u32,
    last_data_recv_ms: u32,
    /// Time since the last acknowledgement arrived, milliseconds.
    last_ack_recv_ms: u32,
    path_metrics: [u32; 11],
    rates_and_bytes: [u64; 4],
    segments: [u32; 2],
    /// Bytes that are not in flight, because the window is closed or full.
    notsent_bytes: u32,
    min_rtt_us: u32,
}

sockopt_impl!(
    /// Reads the state of a TCP connection.
    TcpInfoOption,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo
);

impl TcpInfo {
    /// Reads the state of a connection.
    pub(crate) fn read(socket: &impl AsFd) -> nix::Result<Self> {
        getsockopt(socket, TcpInfoOption)
    }

    /// Whether the peer has acknowledged everything.
    pub(crate) fn is_acknowledged(&self) -> bool {
        self.unacked == 0 && self.notsent_bytes == 0
    }

    /// Whether the connection was reset.
    pub(crate) fn is_reset(&self) -> bool {
        self.state == CLOSED
    }

    /// Whether the peer leaves segments or window probes unanswered. It must not have acknowledged everything.
    pub(crate) fn is_unreachable(&self) -> bool {
        let millis = |ms: u32| Duration::from_millis(ms.into());
        let (sent, acknowledged) = (millis(self.last_data_sent_ms), millis(self.last_ack_recv_ms));
        let is_unanswered = sent < acknowledged && sent >= ROUND_TRIP;
        let is_segment_lost = self.retransmits >= MIN_RETRANSMITS && is_unanswered && acknowledged >= ACK_TIMEOUT;
        let is_probe_lost = self.probes > 0 && acknowledged >= self.probe_interval() + ACK_TIMEOUT;
        is_segment_lost || is_probe_lost
    }

    /// Interval between the last acknowledgement and the first window probe after it.
    fn probe_interval(&self) -> Duration {
        let base = Duration::from_micros(self.rto_us.into()).max(MIN_PROBE_INTERVAL);
        let doublings = self.backoff.saturating_sub(self.probes).min(MAX_DOUBLINGS);
        base * (1 << doublings)
    }
}
