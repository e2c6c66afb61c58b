//! The parameters of a query for features: checked here, so that servers are asked only what is well formed. All of it
//! is in CRS84 from here on.

use super::area;
use super::cql2::{self, check, Comparison, Filter, QueryableType, Queryables, Value};
use super::crs::{filter_to_crs84, Crs, Transform};
use super::ranking::{BoundSortKeys, SortKey};
use serde_json::Value as Json;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Most keys of an order.
const MAX_KEYS: usize = 8;
/// Most properties named in a selection.
const MAX_PROPERTIES: usize = 200;

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Format {
    /// JSON, GeoJSON for features.
    Json,
    /// HTML.
    Html,
}

/// A query for features.
#[derive(Debug, Clone, PartialEq)]
pub struct Params {
    /// Features wanted at most.
    pub limit: usize,
    /// Where this page begins, as a `next` link has it.
    pub cursor: Option<String>,
    /// A box in CRS84: four numbers, or six with heights.
    pub bbox: Option<Vec<f64>>,
    /// A time or an interval, as given.
    pub datetime: Option<String>,
    /// What features must meet.
    pub filter: Option<Filter>,
    /// The system of the answer.
    pub crs: Crs,
    /// The order, if one is wanted.
    pub sortby: Vec<SortKey>,
    /// The properties of the answer, if not all.
    pub properties: Option<Vec<String>>,
}

/// What is allowed and known of a collection.
#[derive(Debug, Clone)]
pub struct ParameterRules<'a> {
    /// Features of an answer when its query names no limit.
    pub default_limit: usize,
    /// Most features of an answer.
    pub max_limit: usize,
    /// What can be asked.
    pub queryables: &'a Queryables,
}

impl Params {
    /// Features without any condition.
    fn plain(known: &ParameterRules<'_>) -> Self {
        Params {
            limit: known.default_limit.min(known.max_limit),
            cursor: None,
            bbox: None,
            datetime: None,
            filter: None,
            crs: Crs::Crs84,
            sortby: Vec::new(),
            properties: None,
        }
    }

    /// What binds a cursor to its query: all that decides which features there are, how they look and in which order.
    pub fn bound(&self) -> String {
        format!(
            "{:?} {:?} {:?} {:?} {:?} {:?}",
            self.bbox,
            self.datetime,
            self.filter.as_ref().map(Filter::to_string),
            self.crs,
            BoundSortKeys(&self.sortby),
            self.properties
        )
    }

    /// The box as servers are asked.
    pub fn bbox_text(&self) -> Option<String> {
        self.bbox.as_ref().map(|b| b.iter().map(f64::to_string).collect::<Vec<_>>().join(","))
    }
}

/// Reads the parameters of `/items`.
pub fn parse_items_query(pairs: &[(String, String)], known: &ParameterRules<'_>) -> Result<Params, String> {
    let mut params = Params::plain(known);
    let (mut filter, mut lang, mut filter_crs) = (None, None, Crs::Crs84);
    let (mut bbox_text, mut bbox_crs) = (None, Crs::Crs84);
    let mut conditions = Vec::new();
    for (n, (name, value)) in pairs.iter().enumerate() {
        if pairs[..n].iter().any(|p| p.0 == *name) {
            return Err(format!("{name} is given twice"));
        }
        match name.as_str() {
            "limit" => params.limit = limit(value, known.max_limit)?,
            "bbox" => bbox_text = Some(value),
            "bbox-crs" => bbox_crs = crs(name, value)?,
            "filter-crs" => filter_crs = crs(name, value)?,
            "crs" => params.crs = crs(name, value)?,
            "datetime" => params.datetime = Some(datetime(value)?),
            "filter" => filter = Some(value),
            "filter-lang" => lang = Some(value.as_str()),
            "sortby" => params.sortby = sortby(value, known.queryables)?,
            "properties" => params.properties = Some(selection(value)?),
            "cursor" => params.cursor = Some(value.clone()),
            "f" => {}
            other => conditions.push(condition(other, value, known.queryables)?),
        }
    }
    if let Some(text) = bbox_text {
        let numbers = text.split(',').map(|n| n.trim().parse::<f64>().ok()).collect::<Option<_>>();
        params.bbox = Some(bbox(numbers.ok_or("bbox: numbers are needed")?, bbox_crs)?);
    }
    let mut whole = match (filter, lang) {
        (None, None) => None,
        (None, Some(_)) => return Err("filter-lang without filter".to_owned()),
        (Some(text), None | Some("cql2-text")) => Some(cql2::read_text(text)),
        (Some(text), Some("cql2-json")) => Some(cql2::read_json(text)),
        (Some(_), Some(other)) => return Err(format!("filter-lang {other:?} is not served")),
    }
    .transpose()
    .map_err(|e| format!("filter: {e}"))?;
    if let Some(filter) = &mut whole {
        prepare(filter, filter_crs, known.queryables)?;
    }
    params.filter = Filter::all(whole.into_iter().chain(conditions).collect());
    Ok(params)
}

/// The body of a search as JSON.
pub fn parse_search_body(body: &[u8]) -> Result<Json, String> {
    serde_json::from_slice(body).map_err(|e| format!("the body: {e}"))
}

/// The collection that the body of a search names.
pub fn search_collection(json: &Json) -> Result<String, String> {
    let collections = json["collections"].as_array().ok_or("collections: a list of one is needed")?;
    match collections.as_slice() {
        [Json::String(one)] => Ok(one.clone()),
        _ => Err("collections: one, and no more, can be searched at a time".to_owned()),
    }
}

/// Reads the body of a search (STAC API, Item Search, `POST /search`): the collection and its parameters.
pub fn parse_search(
    json: &Json,
    known: impl Fn(&str) -> Option<Queryables>,
    most: (usize, usize),
) -> Result<(String, Params), String> {
    let members = json.as_object().ok_or("the body is no JSON object")?;
    let collection = search_collection(json)?;
    let queryables = known(&collection).ok_or_else(|| format!("there is no collection {collection:?}"))?;
    let known = ParameterRules { default_limit: most.0, max_limit: most.1, queryables: &queryables };
    let mut params = Params::plain(&known);
    let text = |name: &str, value: &Json| {
        value.as_str().map(str::to_owned).ok_or_else(|| format!("{name}: text is needed"))
    };
    let filter_crs = match members.get("filter-crs") {
        None => Crs::Crs84,
        Some(value) => crs("filter-crs", &text("filter-crs", value)?)?,
    };
    for (name, value) in members {
        match name.as_str() {
            "collections" | "filter-crs" => {}
            "limit" => params.limit = limit(&value.to_string(), known.max_limit)?,
            "bbox" => {
                let numbers =
                    value.as_array().and_then(|a| a.iter().map(Json::as_f64).collect::<Option<_>>());
                params.bbox = Some(bbox(numbers.ok_or("bbox: numbers are needed")?, Crs::Crs84)?);
            }
            "datetime" => params.datetime = Some(datetime(&text(name, value)?)?),
            "filter-lang" if value == "cql2-json" || value == "cql2-text" => {}
            "filter-lang" => return Err(format!("filter-lang {value} is not served")),
            "filter" => {
                let read = match value.as_str() {
                    Some(text) => cql2::read_text(text),
                    None => cql2::from_json(value),
                };
                let mut filter = read.map_err(|e| format!("filter: {e}"))?;
                prepare(&mut filter, filter_crs, known.queryables)?;
                params.filter = Some(filter);
            }
            "sortby" => params.sortby = sort_list(value, known.queryables)?,
            "crs" => params.crs = crs(name, &text(name, value)?)?,
            "token" => params.cursor = Some(text(name, value)?),
            other => return Err(format!("unknown member {other:?}")),
        }
    }
    Ok((collection, params))
}

/// A filter is checked, its geometries turned into CRS84 and found on the globe.
fn prepare(filter: &mut Filter, crs: Crs, queryables: &Queryables) -> Result<(), String> {
    check(filter, queryables).map_err(|e| format!("filter: {e}"))?;
    if crs != Crs::Crs84 {
        let by = Transform::of(crs).ok_or("filter-crs: it cannot be used")?;
        filter_to_crs84(filter, &by).ok_or("filter: a point lies where filter-crs is not defined")?;
    }
    area::on_the_globe(filter)
        .then_some(())
        .ok_or_else(|| "filter: a point lies outside longitude and latitude".to_owned())
}

/// A property that must have this value (Part 1, 7.15.5).
fn condition(name: &str, value: &str, queryables: &Queryables) -> Result<Filter, String> {
    let kind = queryables.named.get(name).ok_or_else(|| format!("unknown parameter {name:?}"))?;
    let wrong = || format!("{name}: {value:?} is of another kind");
    let value = match kind {
        QueryableType::Number => {
            Value::Number(value.parse().ok().filter(|n: &f64| n.is_finite()).ok_or_else(wrong)?)
        }
        QueryableType::Bool => Value::Bool(value.parse().map_err(|_| wrong())?),
        QueryableType::Text | QueryableType::Time | QueryableType::Any => Value::Text(value.to_owned()),
        QueryableType::Geometry | QueryableType::Array => return Err(wrong()),
    };
    Ok(Filter::Compare(Comparison::Equal, Value::Property(name.to_owned()), value))
}

/// The decoded pairs of a query string.
pub fn decode_query(query: &str) -> Vec<(String, String)> {
    url::form_urlencoded::parse(query.as_bytes()).into_owned().collect()
}

/// How the answer is to be written: as `f` says, else as `Accept` does. An error has its status: 400 or 406.
pub fn negotiate_format(f: Option<&str>, accept: Option<&str>) -> Result<Format, (u16, String)> {
    match f {
        Some("json" | "geojson") => return Ok(Format::Json),
        Some("html") => return Ok(Format::Html),
        Some(other) => return Err((400, format!("f={other:?} is not served: json or html is"))),
        None => {}
    }
    let Some(accept) = accept else { return Ok(Format::Json) };
    // The best that either can be; JSON where both are as good.
    let mut best: [Option<(f32, u8)>; 2] = [None, None];
    for range in accept.split(',').take(64) {
        let mut words = range.split(';').map(str::trim);
        let kind = words.next().unwrap_or_default().to_ascii_lowercase();
        let weight = words.find_map(|w| w.strip_prefix("q=")).map_or(Some(1.0), |q| q.trim().parse().ok());
        let weight: f32 = weight.unwrap_or(0.0);
        let fits: [Option<u8>; 2] = match kind.as_str() {
            "*/*" => [Some(0), Some(0)],
            "application/*" => [Some(1), None],
            "text/*" => [None, Some(1)],
            "text/html" | "application/xhtml+xml" => [None, Some(2)],
            kind if kind.starts_with("application/") && kind.ends_with("json") => [Some(2), None],
            "application/problem+json" => [Some(2), None],
            _ => [None, None],
        };
        for (best, fit) in best.iter_mut().zip(fits) {
            // The most exact range speaks for a kind.
            if let Some(fit) = fit.filter(|fit| best.is_none_or(|b| *fit >= b.1)) {
                *best = Some((weight, fit));
            }
        }
    }
    match best.map(|b| b.map_or(0.0, |b| b.0)) {
        [json, html] if html > json => Ok(Format::Html),
        [json, _] if json > 0.0 => Ok(Format::Json),
        _ => Err((406, "Accept: application/geo+json, application/json and text/html are served".to_owned())),
    }
}

fn limit(value: &str, most: usize) -> Result<usize, String> {
    // More than the most is no error: the answer is cut and has a next link.
    let limit = value.parse::<usize>().ok().filter(|n| *n > 0);
    Ok(limit.ok_or("limit is no number from 1 on")?.min(most))
}

fn crs(name: &str, value: &str) -> Result<Crs, String> {
    Crs::read(value).ok_or_else(|| format!("{name}: {value:?} is not served"))
}

fn selection(value: &str) -> Result<Vec<String>, String> {
    let names: Vec<String> = value.split(',').map(|n| n.trim().to_owned()).collect();
    if names.iter().any(String::is_empty) || names.len() > MAX_PROPERTIES {
        return Err("properties: names apart by commas are needed".to_owned());
    }
    Ok(names)
}

fn sortby(value: &str, queryables: &Queryables) -> Result<Vec<SortKey>, String> {
    let key = |text: &str| {
        let text = text.trim();
        let (name, descending) = match text.strip_prefix('-') {
            Some(name) => (name, true),
            // A plus in a query is a blank by the time it is here.
            None => (text.strip_prefix('+').unwrap_or(text).trim(), false),
        };
        SortKey { property: name.to_owned(), descending }
    };
    sortable(value.split(',').map(key).collect(), queryables)
}

fn sort_list(value: &Json, queryables: &Queryables) -> Result<Vec<SortKey>, String> {
    let key = |key: &Json| {
        let descending = match key["direction"].as_str() {
            None | Some("asc") => false,
            Some("desc") => true,
            Some(_) => return None,
        };
        Some(SortKey {
            property: key["field"].as_str()?.trim_start_matches("properties.").to_owned(),
            descending,
        })
    };
    let keys = value.as_array().and_then(|list| list.iter().map(key).collect::<Option<_>>());
    sortable(keys.ok_or("sortby: a list of field and direction is needed")?, queryables)
}

fn sortable(keys: Vec<SortKey>, queryables: &Queryables) -> Result<Vec<SortKey>, String> {
    if keys.is_empty() || keys.len() > MAX_KEYS {
        return Err(format!("sortby: 1 to {MAX_KEYS} properties are needed"));
    }
    for (n, key) in keys.iter().enumerate() {
        let kind = queryables.named.get(&key.property);
        let fit = !matches!(kind, Some(QueryableType::Geometry | QueryableType::Array))
            && (queryables.open || kind.is_some() || key.property == "id");
        if key.property.is_empty() || !fit {
            return Err(format!("sortby: {:?} is no sortable", key.property));
        }
        if keys[..n].iter().any(|k| k.property == key.property) {
            return Err(format!("sortby: {:?} is there twice", key.property));
        }
    }
    Ok(keys)
}

fn bbox(numbers: Vec<f64>, crs: Crs) -> Result<Vec<f64>, String> {
    if !matches!(numbers.len(), 4 | 6) || !numbers.iter().all(|n| n.is_finite()) {
        return Err("bbox: four or six numbers are needed".to_owned());
    }
    let numbers = if crs == Crs::Crs84 {
        numbers
    } else {
        let by = Transform::of(crs).ok_or("bbox-crs: it cannot be used")?;
        let outside = "bbox: it lies where bbox-crs is not defined";
        match numbers[..] {
            [a, b, c, d] => by.box_to_crs84([a, b, c, d]).ok_or(outside)?.to_vec(),
            [a, b, low, c, d, high] => {
                let [w, s, e, n] = by.box_to_crs84([a, b, c, d]).ok_or(outside)?;
                vec![w, s, low, e, n, high]
            }
            _ => return Err(outside.to_owned()),
        }
    };
    // West may lie beyond east: the box spans the antimeridian. South and north, low and high may not.
    let ordered = match numbers[..] {
        [w, s, e, n] => s <= n && in_range(&[w, e], &[s, n]),
        [w, s, l, e, n, h] => s <= n && l <= h && in_range(&[w, e], &[s, n]),
        _ => false,
    };
    ordered.then_some(numbers).ok_or_else(|| "bbox: its corners are no box on the globe".to_owned())
}

fn in_range(longitudes: &[f64], latitudes: &[f64]) -> bool {
    longitudes.iter().all(|x| (-180.0..=180.0).contains(x))
        && latitudes.iter().all(|y| (-90.0..=90.0).contains(y))
}

fn datetime(value: &str) -> Result<String, String> {
    let instant = |text: &str| {
        // A date alone is taken as its midnight for the check.
        let full = if text.len() == 10 { format!("{text}T00:00:00Z") } else { text.to_owned() };
        OffsetDateTime::parse(&full, &Rfc3339).map_err(|_| format!("datetime: {text:?} is no RFC 3339 time"))
    };
    match value.split_once('/') {
        None => instant(value).map(drop)?,
        Some((from, to)) => {
            let end = |text: &str| match text {
                "" | ".." => Ok(None),
                text => instant(text).map(Some),
            };
            match (end(from)?, end(to)?) {
                (None, None) => return Err("datetime: an interval needs an end".to_owned()),
                (Some(a), Some(b)) if a > b => {
                    return Err("datetime: the interval ends before it begins".to_owned())
                }
                _ => {}
            }
        }
    }
    Ok(value.to_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(query: &str, queryables: &Queryables) -> Result<Params, String> {
        parse_items_query(
            &decode_query(query),
            &ParameterRules { default_limit: 10, max_limit: 50, queryables },
        )
    }

    fn closed() -> Queryables {
        let schema = serde_json::json!({"properties": {"name": {"type": "string"}, "volts": {"type": "number"},
            "live": {"type": "boolean"}, "geometry": {"format": "geometry-point"}}});
        Queryables::from_schema(&schema).expect("a schema")
    }

    #[test]
    fn good_parameters_go_on_and_bad_ones_are_told() {
        let open = Queryables::unknown();
        let good = of("bbox=-10,-5.5,10,5&limit=99999&datetime=2026-01-01T00:00:00Z%2F..&f=json", &open);
        let good = good.expect("good");
        assert_eq!(good.limit, 50, "more than the most is cut, not refused");
        assert_eq!(good.bbox_text().as_deref(), Some("-10,-5.5,10,5"));
        assert_eq!(good.datetime.as_deref(), Some("2026-01-01T00:00:00Z/.."));
        assert!(of("bbox=170,-5,-170,5", &open).is_ok(), "over the antimeridian");
        let turned = of("bbox=38,-120,39,-119&bbox-crs=http://www.opengis.net/def/crs/EPSG/0/4326", &open);
        assert_eq!(turned.expect("good").bbox, Some(vec![-120.0, 38.0, -119.0, 39.0]));
        let filter = "filter=S_INTERSECTS(geometry,POINT(38%20-120))&filter-crs=EPSG:4326";
        let turned = of(filter, &open).expect("good").filter.expect("a filter").to_string();
        assert_eq!(turned, "S_INTERSECTS(\"geometry\",POINT(-120 38))");
        for bad in [
            "limit=0",
            "limit=x",
            "limit=-1",
            "bbox=1,2,3",
            "bbox=0,5,1,-5",
            "bbox=0,0,0,NaN",
            "bbox=0,0,200,1",
            "datetime=soon",
            "datetime=../..",
            "datetime=2026-02-01/2026-01-01",
            "shape=round",
            "limit=1&limit=2",
            "filter=x%20=",
            "filter-lang=cql2-text",
            "filter=a=1&filter-lang=sql",
            "bbox-crs=EPSG:1",
            "crs=x",
            "sortby=",
            "sortby=a,a",
            "properties=",
            "filter=S_INTERSECTS(geometry,POINT(200%200))",
        ] {
            assert!(of(bad, &open).is_err(), "{bad}");
        }
    }

    #[test]
    fn queryables_are_parameters_and_orders() {
        let closed = closed();
        let params = of("name=a%27b&volts=24&live=true&sortby=-volts,%2Bname,id", &closed).expect("good");
        assert_eq!(
            params.filter.map(|f| f.to_string()).as_deref(),
            Some("\"name\" = 'a''b' AND \"volts\" = 24 AND \"live\" = TRUE")
        );
        let order: Vec<_> = params.sortby.iter().map(|b| (b.property.as_str(), b.descending)).collect();
        assert_eq!(order, [("volts", true), ("name", false), ("id", false)]);
        for bad in [
            "watts=1",
            "volts=x",
            "live=maybe",
            "geometry=1",
            "sortby=watts",
            "sortby=geometry",
            "filter=watts=1",
        ] {
            assert!(of(bad, &closed).is_err(), "{bad}");
        }
    }

    #[test]
    fn a_search_says_the_same_in_its_body() {
        let known = |name: &str| (name == "devices").then(closed);
        let search = |body: &str| parse_search(&parse_search_body(body.as_bytes())?, known, (10, 50));
        let body = r#"{"collections":["devices"],"limit":5,"bbox":[0,0,9,9],"filter-lang":"cql2-json",
            "filter":{"op":">","args":[{"property":"volts"},1]},"sortby":[{"field":"properties.volts","direction":"desc"}]}"#;
        let (collection, params) = search(body).expect("good");
        let same = of("limit=5&bbox=0,0,9,9&filter=volts%3E1&sortby=-volts", &closed()).expect("good");
        assert_eq!((collection.as_str(), params), ("devices", same));
        for bad in [
            "",
            "[]",
            "{}",
            r#"{"collections":["x"]}"#,
            r#"{"collections":["devices","x"]}"#,
            r#"{"collections":["devices"],"limit":"x"}"#,
            r#"{"collections":["devices"],"colour":1}"#,
            r#"{"collections":["devices"],"filter":{"op":"x"}}"#,
            r#"{"collections":["devices"],"bbox":[1]}"#,
        ] {
            assert!(search(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn the_format_is_what_the_client_likes_best() {
        let of = |accept: &str| negotiate_format(None, Some(accept)).map_err(|e| e.0);
        let browser = "text/html,application/xhtml+xml,application/xml;q=0.9,*/*;q=0.8";
        assert_eq!(of(browser), Ok(Format::Html));
        assert_eq!(of("*/*"), Ok(Format::Json));
        assert_eq!(of("application/geo+json, text/html;q=0.5"), Ok(Format::Json));
        assert_eq!(of("text/html;q=0.1, application/json;q=0"), Ok(Format::Html));
        assert_eq!(of("image/png"), Err(406));
        assert_eq!(of("application/json;q=0"), Err(406));
        assert_eq!(negotiate_format(Some("html"), Some("application/json")), Ok(Format::Html));
        assert_eq!(negotiate_format(Some("pdf"), None).map_err(|e| e.0), Err(400));
    }
}
