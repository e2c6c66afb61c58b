//! Content negotiation: the parameter `f`, or else the header `Accept` (RFC 9110, 12.5.1).

use super::RequestError;

/// Most media ranges of an `Accept` header that are read.
const MAX_MEDIA_RANGES: usize = 64;

/// Format of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Format {
    /// JSON, GeoJSON for features.
    Json,
    /// HTML.
    Html,
}

/// Rank of a media range that matches a format; the more specific range takes precedence.
type Specificity = u8;

/// Rank of `*/*`.
const ANY: Specificity = 0;
/// Rank of a range of all subtypes, such as `text/*`.
const ANY_SUBTYPE: Specificity = 1;
/// Rank of a media type.
const EXACT: Specificity = 2;

/// Media range of an `Accept` header.
struct MediaRange {
    /// Weight from 0 to 1.
    weight: f32,
    /// Rank of the range if JSON matches it.
    json: Option<Specificity>,
    /// Rank of the range if HTML matches it.
    html: Option<Specificity>,
}

/// Most specific media range so far for a format.
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
    /// Takes a media range into account, whose rank is `None` if the format doesn't match it.
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

    /// Returns the weight of the format; 0 is not acceptable.
    fn weight(&self) -> f32 {
        self.best.as_ref().map_or(0.0, |best| best.weight)
    }
}

/// Chooses the format of an answer by the parameter `f` if given, else by the header `Accept`. JSON
/// is chosen if both are equally acceptable.
///
/// # Errors
///
/// Fails if `f` names an unknown format, or if the client accepts neither.
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

/// Parses a media range with its weight; a malformed weight counts as 0.
fn parse_media_range(text: &str) -> MediaRange {
    let mut words = text.split(';').map(str::trim);
    let media_type = words.next().unwrap_or_default().to_ascii_lowercase();
    let weight = match words.find_map(|word| word.strip_prefix("q=")) {
        None => 1.0,
        Some(weight) => weight.trim().parse().unwrap_or(0.0),
    };
    let (json, html) = match media_type.as_str() {
        "*/*" => (Some(ANY), Some(ANY)),
        "application/*" => (Some(ANY_SUBTYPE), None),
        "text/*" => (None, Some(ANY_SUBTYPE)),
        "text/html" | "application/xhtml+xml" => (None, Some(EXACT)),
        other if other.starts_with("application/") && other.ends_with("json") => {
            (Some(EXACT), None)
        }
        _ => (None, None),
    };
    MediaRange { weight, json, html }
}
