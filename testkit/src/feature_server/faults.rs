//! Faults that a script can choose for the responses of a feature server.

/// Fault of the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Status 500.
    InternalError,
    /// Status 503 with `Retry-After`.
    ServiceUnavailable,
    /// Status 429 with `Retry-After`; the request is not processed.
    TooManyRequests,
    /// No response; the connection stays open.
    Hang,
    /// Half of the body, then a closed connection.
    TruncatedBody,
    /// Status 200 with an HTML page.
    HtmlPage,
    /// Body that is delimited by the end of the connection.
    CloseDelimited,
    /// `next` link that leads to the same page.
    LinkToSelf,
    /// Page with its first feature twice.
    DuplicateFeature,
    /// `numberMatched` that differs from request to request.
    UnstableCount,
    /// Page shorter than requested, with a correct `next` link.
    ShortPage,
    /// Response after a delay.
    Slow,
    /// Body that is sent byte by byte and never completed.
    TrickledBody,
    /// Connection closed without a response, as when the process of the server exits.
    Disconnect,
}

/// All faults except [`Fault::None`].
pub const ALL_FAULTS: [Fault; 14] = [
    Fault::Disconnect,
    Fault::InternalError,
    Fault::ServiceUnavailable,
    Fault::TooManyRequests,
    Fault::Hang,
    Fault::TruncatedBody,
    Fault::HtmlPage,
    Fault::CloseDelimited,
    Fault::LinkToSelf,
    Fault::DuplicateFeature,
    Fault::UnstableCount,
    Fault::ShortPage,
    Fault::Slow,
    Fault::TrickledBody,
];

/// Received request, for which a script chooses a fault.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedRequest<'a> {
    /// Sequence number of the request at its server, from 0.
    pub number: u64,
    /// Path and query.
    pub target: &'a str,
}

/// Function that chooses the fault of a request.
pub(super) type FaultScript = Box<dyn Fn(&ReceivedRequest<'_>) -> Fault + Send + Sync>;
