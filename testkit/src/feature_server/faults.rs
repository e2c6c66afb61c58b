//! Faults of a feature server.

/// What goes wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// 500.
    InternalError,
    /// 503 with `Retry-After`.
    ServiceUnavailable,
    /// 429 with `Retry-After`: the request is not processed.
    TooManyRequests,
    /// No response; the connection stays open.
    Hang,
    /// Half of the body, then the connection ends.
    TruncatedBody,
    /// 200 with an HTML page.
    HtmlPage,
    /// A body that ends with the connection.
    CloseDelimited,
    /// The `next` link leads to the same page.
    LinkToSelf,
    /// The first feature is in the page twice.
    DuplicateFeature,
    /// `numberMatched` differs from request to request.
    UnstableCount,
    /// A page shorter than requested, with a correct link.
    ShortPage,
    /// The response, after a delay.
    Slow,
    /// A body that is sent a byte at a time and does not end.
    TrickledBody,
    /// The connection ends without a response, as if the process had ended.
    Disconnect,
}

/// All faults but [`Fault::None`].
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

/// Chooses the fault of a request by its number and target.
pub(super) type FaultScript = Box<dyn Fn(u64, &str) -> Fault + Send + Sync>;
