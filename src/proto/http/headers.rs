//! The header fields of a message, and the framing of the body that they specify.

use super::framing::Framing;
use super::HttpError;

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Header {
    name: String,
    /// The field value without leading and trailing whitespace.
    value: String,
}

/// The header fields of a message, in the order received.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Returns the value of the first field with this name. Case is ignored.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// Returns the memory held, in bytes.
    pub(super) fn memory(&self) -> usize {
        let text = |header: &Header| header.name.capacity() + header.value.capacity();
        self.0.capacity() * size_of::<Header>() + self.0.iter().map(text).sum::<usize>()
    }

    /// Copies the fields from the parser. Fails if a value is not valid UTF-8.
    pub(super) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Result<Self, HttpError> {
        let mut headers = Vec::new();
        for header in parsed {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed)?;
            headers.push(Header {
                name: header.name.to_owned(),
                value: value.trim().to_owned(),
            });
        }
        Ok(Headers(headers))
    }

    /// Returns the number of fields with this name.
    pub(super) fn count(&self, name: &str) -> usize {
        self.values(name).count()
    }

    /// Returns whether a field with this name contains the token in its list, which is separated by
    /// commas.
    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the framing of the body, or `None` if the fields do not specify it. Rejects
    /// contradictory fields, since they are a defect of the sender or an attempt at request smuggling
    /// (RFC 9112, section 6.3).
    pub(super) fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let mut codings = self.values("transfer-encoding");
        let mut lengths = self.values("content-length");
        match (codings.next(), lengths.next()) {
            (Some(_), Some(_)) => Err(HttpError::Malformed),
            (Some(coding), None)
                if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() =>
            {
                Ok(Some(Framing::chunked()))
            }
            (Some(_), None) => Err(HttpError::UnknownCoding),
            (None, Some(length)) => {
                if lengths.any(|other| other != length) {
                    return Err(HttpError::Malformed);
                }
                parse_length(length).map(|length| Some(Framing::ContentLength(length)))
            }
            (None, None) => Ok(None),
        }
    }

    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }
}

/// Parses a `Content-Length`, which consists of digits. Unlike [`str::parse`], rejects a sign.
fn parse_length(text: &str) -> Result<u64, HttpError> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::Malformed);
    }
    text.parse().map_err(|_| HttpError::Malformed)
}
