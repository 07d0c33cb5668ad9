//! Socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Timeouts after which a connection to an unreachable peer is closed.
///
/// A peer that lost power or is partitioned off sends no reset. The kernel of a
/// reachable peer acknowledges data even if its process is busy, so these timeouts can
/// be shorter than those for responses. They also end a transfer whose peer does not read.
#[derive(Clone, Copy, Debug)]
pub struct DeadPeerTimeouts {
    /// Longest time for which sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// Idle time before the first keep-alive probe.
    pub keep_alive: Duration,
}

/// Timeouts for callers, whose round-trip time may be long.
pub const CALLER_TIMEOUTS: DeadPeerTimeouts = DeadPeerTimeouts {
    user_timeout: Duration::from_secs(5),
    keep_alive: Duration::from_secs(5),
};

/// Timeouts for upstreams, which may be silent for more than a second and go on.
pub const UPSTREAM_TIMEOUTS: DeadPeerTimeouts = DeadPeerTimeouts {
    user_timeout: Duration::from_millis(2_500),
    keep_alive: Duration::from_secs(1),
};

/// Timeouts for VMs that opened a link. Their messages have timeouts of their own, but tunnels
/// have not.
pub const PEER_TIMEOUTS: DeadPeerTimeouts = CALLER_TIMEOUTS;

/// Size of limited socket buffers, which the kernel doubles for its own data. It is the product of
/// 10 Mbit/s and 100 ms. By itself the kernel lets a buffer grow to megabytes, which count against
/// the memory of the VM while the caller does not read.
pub const BUFFER_BYTES: usize = 128 * 1024;

/// Size of small receive buffers, which hold a request with a small body.
const SMALL_BUFFER_BYTES: usize = 32 * 1024;

/// Memory that the kernel takes for a short response.
pub const SHORT_RESPONSE_BYTES: usize = 16 * 1024;

/// Listens on `address` for clients, of which at most `backlog` wait to be accepted. The kernel holds
/// `pending_bytes` for each of them; the buffer of a connection can be enlarged afterwards. A
/// restarted process can bind the port of its predecessor.
pub fn listen(address: SocketAddr, backlog: u32, pending_bytes: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    // Without the limit, the kernel chooses the size.
    let _ = socket.set_recv_buffer_size(pending_bytes);
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Limits the kernel's memory for requests of the client of `stream` that are not read.
pub fn limit_request_buffer(stream: &TcpStream) {
    // Without the limit, the kernel chooses the size.
    let _ = SockRef::from(stream).set_recv_buffer_size(SMALL_BUFFER_BYTES);
}

/// Limits the kernel's memory for short responses that the client of `stream` has not read.
pub fn limit_response_buffer(stream: &TcpStream) {
    // Without the limit, the kernel chooses the size.
    let _ = SockRef::from(stream).set_send_buffer_size(SHORT_RESPONSE_BYTES / 2);
}

/// Limits the kernel's memory for bytes that the peer of `stream` has not read.
pub fn limit_send_buffer(stream: &TcpStream) {
    // Without the limit, the kernel chooses the size.
    let _ = SockRef::from(stream).set_send_buffer_size(BUFFER_BYTES);
}

/// Limits the kernel's memory for bytes from the peer of `stream` that are not read.
pub fn limit_receive_buffer(stream: &TcpStream) {
    // Without the limit, the kernel chooses the size.
    let _ = SockRef::from(stream).set_recv_buffer_size(BUFFER_BYTES);
}

/// Disables Nagle's algorithm on `stream`, which would delay small messages.
pub fn disable_nagle(stream: &TcpStream) {
    // Without the option, messages are only late.
    let _ = stream.set_nodelay(true);
}

/// Disables Nagle's algorithm on `stream` and enables detection of a dead peer.
pub fn configure(stream: &TcpStream, timeouts: DeadPeerTimeouts) {
    disable_nagle(stream);
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(timeouts.keep_alive)
        .with_interval(Duration::from_secs(1));
    // Errors are ignored: on systems without these options, request timeouts still
    // detect a dead peer.
    let _ = socket.set_tcp_user_timeout(Some(timeouts.user_timeout));
    let _ = socket.set_tcp_keepalive(&keep_alive);
}
