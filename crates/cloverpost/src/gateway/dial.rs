//! Direct TCP connections to upstreams.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::gateway::faults::{self, Faults};
use crate::socket;

/// Timeout of a TCP connect. It is shorter than the first SYN retransmission, after one
/// second, so that a lost SYN leads to another attempt instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Error {
    /// The host refused the connection, as while no process listens.
    Refused,
    /// The host accepted the connection and reset it at once, as without capacity for another.
    Reset,
    /// The host did not answer in time.
    TimedOut,
    /// The connect failed for another reason, as without a route to the host.
    Failed,
}

impl Error {
    /// Name of the error, for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "the connection was refused",
            Self::Reset => "the connection was reset",
            Self::TimedOut => "the connect timed out",
            Self::Failed => "the connect failed",
        })
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::ConnectionReset => Self::Reset,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}

/// Opens direct connections to upstreams.
#[derive(Debug, Default)]
pub struct Dialer {
    faults: Faults,
}

impl Dialer {
    /// Faults of this VM's paths, injected by tests.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Opens a connection to `address`.
    pub async fn dial(&self, address: SocketAddr) -> Result<faults::Stream, Error> {
        let connect = async {
            self.faults.check_connect().await?;
            TcpStream::connect(address).await
        };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_elapsed| Error::TimedOut)??;
        socket::configure(&stream, socket::UPSTREAM_TIMEOUTS);
        socket::limit_receive_buffer(&stream);
        Ok(self.faults.wrap(stream))
    }
}
