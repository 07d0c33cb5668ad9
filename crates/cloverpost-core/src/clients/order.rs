//! Order in which connections are closed for others.

/// Order in which connections are closed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The one that has been in its stage for longest, where idle connections count as younger.
    Stage,
    /// The one that arrived first. Fits requests that are short, are answered at once and may be sent
    /// again on another connection: no client keeps its connection by sending without end.
    Arrival,
}
