//! Request paths on a link.

/// Type of a request, given by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// First step of the handshake.
    Hello,
    /// Last step of the handshake.
    Proof,
    /// A one-way message, which is only acknowledged.
    OneWay,
    /// A message that expects a response.
    Request,
    /// A tunnel to an upstream.
    Tunnel,
}

impl Path {
    const ALL: [Self; 5] = [
        Self::Hello,
        Self::Proof,
        Self::OneWay,
        Self::Request,
        Self::Tunnel,
    ];

    /// The path component of the request URI.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hello => "/hello",
            Self::Proof => "/proof",
            Self::OneWay => "/tell",
            Self::Request => "/ask",
            Self::Tunnel => "/tunnel",
        }
    }

    pub fn parse(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|known| known.as_str() == path)
    }

    /// A POST request with this path.
    pub fn request(self) -> http::Request<()> {
        let uri = format!("http://peer{}", self.as_str());
        let mut request = http::Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = uri.parse().expect("all paths are valid");
        request
    }
}
