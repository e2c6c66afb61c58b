//! Content negotiation by the parameter `f` or, if it is absent, by the header `Accept` (RFC 9110,
//! 12.5.1).

use super::RequestError;

/// Maximum number of media ranges of an `Accept` header that are considered; the rest is ignored.
const MAX_MEDIA_RANGES: usize = 64;

/// Format of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Format {
    /// JSON; features are represented as GeoJSON.
    Json,
    /// HTML.
    Html,
}

/// Rank of a media range by its specificity; the most specific range that matches a format takes
/// precedence.
type Specificity = u8;

/// Rank of `*/*`.
const ANY_TYPE: Specificity = 0;
/// Rank of a range of all subtypes, such as `text/*`.
const ANY_SUBTYPE: Specificity = 1;
/// Rank of a media type without wildcards.
const EXACT_TYPE: Specificity = 2;

/// Media range of an `Accept` header.
struct MediaRange {
    /// Weight from 0 to 1.
    weight: f32,
    /// Rank of the range if it matches JSON; otherwise `None`.
    json: Option<Specificity>,
    /// Rank of the range if it matches HTML; otherwise `None`.
    html: Option<Specificity>,
}

/// The client's preference for a format: the most specific of the media ranges considered so far
/// that match it.
#[derive(Default)]
struct Preference {
    best: Option<MatchedRange>,
}

/// Media range that matches a format.
struct MatchedRange {
    weight: f32,
    specificity: Specificity,
}

impl Preference {
    /// Considers a media range; `specificity` is `None` if the range does not match the format.
    fn consider(&mut self, weight: f32, specificity: Option<Specificity>) {
        let Some(specificity) = specificity else {
            return;
        };
        if self
            .best
            .as_ref()
            .is_none_or(|best| specificity >= best.specificity)
        {
            self.best = Some(MatchedRange {
                weight,
                specificity,
            });
        }
    }

    /// Returns the weight of the format, or 0 if the format is not acceptable.
    fn weight(&self) -> f32 {
        self.best.as_ref().map_or(0.0, |best| best.weight)
    }
}

/// Chooses the format of a response by the parameter `f` if given, else by the header `Accept`.
/// JSON is chosen if both are equally acceptable.
///
/// # Errors
///
/// Fails if `f` is an unknown format, or if the client accepts neither format.
pub fn negotiate_format(f: Option<&str>, accept: Option<&str>) -> Result<Format, RequestError> {
    match f {
        Some("json" | "geojson") => return Ok(Format::Json),
        Some("html") => return Ok(Format::Html),
        Some(other) => return Err(RequestError::UnsupportedFormat(other.to_owned())),
        None => {}
    }
    let Some(accept) = accept else {
        return Ok(Format::Json);
    };
    let mut json = Preference::default();
    let mut html = Preference::default();
    for range in accept
        .split(',')
        .take(MAX_MEDIA_RANGES)
        .map(parse_media_range)
    {
        json.consider(range.weight, range.json);
        html.consider(range.weight, range.html);
    }
    if html.weight() > json.weight() {
        Ok(Format::Html)
    } else if json.weight() > 0.0 {
        Ok(Format::Json)
    } else {
        Err(RequestError::NotAcceptable)
    }
}

/// Parses a media range with its weight. A missing weight is 1, a malformed weight counts as 0.
fn parse_media_range(text: &str) -> MediaRange {
    let mut words = text.split(';').map(str::trim);
    let media_type = words.next().unwrap_or_default().to_ascii_lowercase();
    let weight = match words.find_map(|word| word.strip_prefix("q=")) {
        None => 1.0,
        Some(weight) => weight.trim().parse().unwrap_or(0.0),
    };
    let (json, html) = match media_type.as_str() {
        "*/*" => (Some(ANY_TYPE), Some(ANY_TYPE)),
        "application/*" => (Some(ANY_SUBTYPE), None),
        "text/*" => (None, Some(ANY_SUBTYPE)),
        "text/html" | "application/xhtml+xml" => (None, Some(EXACT_TYPE)),
        other if other.starts_with("application/") && other.ends_with("json") => {
            (Some(EXACT_TYPE), None)
        }
        _ => (None, None),
    };
    MediaRange { weight, json, html }
}
