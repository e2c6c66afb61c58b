//! Part 1: Core, GeoJSON, HTML and OpenAPI 3.0.

use super::{hold, id, Check, Stop, Suite};
use crate::client::Response;
use serde_json::Value as Json;

/// The checks: identifier, the class that must be claimed, and the check.
pub const CHECKS: &[(&str, &str, Check)] = &[
    ("/conf/core/root-op", "ogcapi-features-1/1.0/conf/core", |s| s.json("/").map(drop)),
    ("/conf/core/root-success", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json("/")?;
        links(&json, "the landing page", &["service-desc", "conformance", "data"])
    }),
    ("/conf/core/api-definition-op", "ogcapi-features-1/1.0/conf/core", |s| {
        let landing = s.json("/")?;
        let href = linked(&landing, "service-desc").ok_or("no link service-desc")?;
        let answer = s.follow(&href)?;
        hold(answer.status == 200, || format!("status {}", answer.status))
    }),
    ("/conf/core/api-definition-success", "ogcapi-features-1/1.0/conf/core", |s| {
        let api = api(s)?;
        hold(api["openapi"].as_str().is_some_and(|v| v.starts_with("3.")), || "no OpenAPI version".to_owned())
    }),
    ("/conf/core/conformance-op", "ogcapi-features-1/1.0/conf/core", |s| s.json("/conformance").map(drop)),
    ("/conf/core/conformance-success", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json("/conformance")?;
        let list = json["conformsTo"].as_array().ok_or("conformsTo is no array")?;
        let core = "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core";
        hold(list.iter().all(Json::is_string) && list.iter().any(|c| c == core), || {
            format!("{core} is not there")
        })
    }),
    ("/conf/core/fc-md-op", "ogcapi-features-1/1.0/conf/core", |s| s.json("/collections").map(drop)),
    ("/conf/core/fc-md-success", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json("/collections")?;
        hold(json["links"].is_array() && json["collections"].is_array(), || {
            "links or collections are missing".to_owned()
        })
    }),
    ("/conf/core/fc-md-links", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json("/collections")?;
        links(&json, "/collections", &["self", "alternate"])?;
        typed(&json, "/collections")
    }),
    ("/conf/core/fc-md-items", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json("/collections")?;
        let list = json["collections"].as_array().ok_or("no collections")?;
        hold(!list.is_empty() && list.iter().all(|c| c["id"].is_string() && c["links"].is_array()), || {
            "a collection lacks id or links".to_owned()
        })
    }),
    ("/conf/core/fc-md-items-links", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json("/collections")?;
        json["collections"].as_array().into_iter().flatten().try_for_each(|c| {
            links(c, "a collection", &["items"])?;
            typed(c, "a collection")
        })
    }),
    ("/conf/core/sfc-md-op", "ogcapi-features-1/1.0/conf/core", |s| {
        let path = format!("/collections/{}", s.collection);
        s.json(&path).map(drop)
    }),
    ("/conf/core/sfc-md-success", "ogcapi-features-1/1.0/conf/core", |s| {
        let one = s.json(&format!("/collections/{}", s.collection))?;
        let all = s.json("/collections")?;
        let listed =
            all["collections"].as_array().and_then(|c| c.iter().find(|c| c["id"] == one["id"])).cloned();
        let listed = listed.ok_or("it is not among the collections")?;
        hold(
            ["id", "title", "description", "extent", "itemType", "crs"].iter().all(|k| one[*k] == listed[*k]),
            || "it is not as the list of collections has it".to_owned(),
        )
    }),
    ("/conf/core/sfc-md-unknown", "ogcapi-features-1/1.0/conf/core", |s| {
        let answer = s.get("/collections/no-such-collection")?;
        error(&answer, 404)
    }),
    ("/conf/core/fc-op", "ogcapi-features-1/1.0/conf/core", |s| {
        let items = s.items();
        s.json(&items).map(drop)
    }),
    ("/conf/core/fc-response", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json(&s.items())?;
        let sound = json["type"] == "FeatureCollection"
            && json["features"].as_array().is_some_and(|f| f.iter().all(|f| f["type"] == "Feature"));
        hold(sound, || "it is no collection of features".to_owned())
    }),
    ("/conf/core/fc-limit-definition", "ogcapi-features-1/1.0/conf/core", |s| {
        let limit = parameter(s, "limit")?;
        let schema = &limit["schema"];
        hold(
            limit["in"] == "query"
                && schema["type"] == "integer"
                && schema["minimum"] == 1
                && schema["maximum"].is_u64()
                && schema["default"].is_u64(),
            || format!("limit is defined as {limit}"),
        )
    }),
    ("/conf/core/fc-limit-response", "ogcapi-features-1/1.0/conf/core", |s| {
        for limit in [1, 3, 10] {
            let json = s.json(&format!("{}?limit={limit}", s.items()))?;
            let count = json["features"].as_array().map_or(0, Vec::len);
            hold(count == limit.min(s.features.len()), || format!("limit={limit} gave {count} features"))?;
        }
        Ok(())
    }),
    ("/conf/core/fc-bbox-definition", "ogcapi-features-1/1.0/conf/core", |s| {
        let bbox = parameter(s, "bbox")?;
        let schema = &bbox["schema"];
        hold(
            schema["type"] == "array" && schema["items"]["type"] == "number" && bbox["explode"] == false,
            || format!("bbox is defined as {bbox}"),
        )
    }),
    ("/conf/core/fc-bbox-response", "ogcapi-features-1/1.0/conf/core", |s| {
        let (w, south, e, n) = middle(s)?;
        let found = ids(s, &format!("bbox={w},{south},{e},{n}"))?;
        let expected =
            s.expected(|f| point(f).is_some_and(|(x, y)| w <= x && x <= e && south <= y && y <= n));
        super::same("bbox", &found, &expected)
    }),
    ("/conf/core/fc-time-definition", "ogcapi-features-1/1.0/conf/core", |s| {
        let datetime = parameter(s, "datetime")?;
        hold(datetime["in"] == "query" && datetime["schema"]["type"] == "string", || {
            format!("datetime is defined as {datetime}")
        })
    }),
    ("/conf/core/fc-time-response", "ogcapi-features-1/1.0/conf/core", |s| {
        let name = s.queryable("string", "date")?;
        let mut times: Vec<String> =
            s.features.iter().filter_map(|f| f["properties"][&name].as_str().map(str::to_owned)).collect();
        times.sort();
        let from = times[times.len() / 2].clone();
        let found = ids(s, &format!("datetime={from}/.."))?;
        let expected = s.expected(|f| f["properties"][&name].as_str().is_none_or(|t| t >= from.as_str()));
        super::same("datetime", &found, &expected)
    }),
    ("/conf/core/query-param-unknown", "ogcapi-features-1/1.0/conf/core", |s| {
        let answer = s.get(&format!("{}?no-such-parameter=1", s.items()))?;
        error(&answer, 400)
    }),
    ("/conf/core/query-param-invalid", "ogcapi-features-1/1.0/conf/core", |s| {
        for bad in ["limit=0", "limit=many", "bbox=1,2,3", "bbox=a,b,c,d", "datetime=soon"] {
            let answer = s.get(&format!("{}?{bad}", s.items()))?;
            error(&answer, 400).map_err(|e| match e {
                Stop::Failed(why) => Stop::Failed(format!("{bad}: {why}")),
                none => none,
            })?;
        }
        Ok(())
    }),
    ("/conf/core/fc-links", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json(&format!("{}?limit=2", s.items()))?;
        links(&json, "items", &["self", "alternate"])?;
        typed(&json, "items")?;
        hold(s.features.len() <= 2 || linked(&json, "next").is_some(), || {
            "no next link though more features are there".to_owned()
        })
    }),
    ("/conf/core/fc-next-complete", "ogcapi-features-1/1.0/conf/core", |s| {
        let mut by_small = s.all(&format!("{}?limit=97", s.items()))?.iter().map(id).collect::<Vec<_>>();
        let mut all: Vec<String> = s.features.iter().map(id).collect();
        let count = by_small.len();
        by_small.sort();
        by_small.dedup();
        all.sort();
        hold(count == by_small.len(), || {
            format!("{} features came twice over the next links", count - by_small.len())
        })?;
        super::same("pages of 97 beside pages of 500", &by_small, &all)
    }),
    ("/conf/core/fc-timeStamp", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json(&s.items())?;
        let stamp = json["timeStamp"].as_str().unwrap_or_default().to_owned();
        hold(stamp.len() >= 20 && stamp.contains('T') && stamp.starts_with("20"), || {
            format!("timeStamp is {stamp:?}")
        })
    }),
    ("/conf/core/fc-numberMatched", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json(&format!("{}?limit=1", s.items()))?;
        match json["numberMatched"].as_u64() {
            None if json.get("numberMatched").is_none() => {
                Err(Stop::None("it is not told, as it need not be".to_owned()))
            }
            Some(n) => hold(n as usize == s.features.len(), || {
                format!("it is {n}, and {} features are there", s.features.len())
            }),
            None => Err("it is no number".into()),
        }
    }),
    ("/conf/core/fc-numberReturned", "ogcapi-features-1/1.0/conf/core", |s| {
        let json = s.json(&format!("{}?limit=7", s.items()))?;
        let count = json["features"].as_array().map_or(0, Vec::len);
        hold(json["numberReturned"].as_u64() == Some(count as u64), || {
            format!("{} for {count} features", json["numberReturned"])
        })
    }),
    ("/conf/core/f-op", "ogcapi-features-1/1.0/conf/core", |s| one(s).map(drop)),
    ("/conf/core/f-success", "ogcapi-features-1/1.0/conf/core", |s| {
        let (json, wanted) = one(s)?;
        hold(
            json["type"] == "Feature"
                && id(&json) == id(&wanted)
                && json["properties"] == wanted["properties"],
            || "it is another feature than the one among the items".to_owned(),
        )
    }),
    ("/conf/core/f-links", "ogcapi-features-1/1.0/conf/core", |s| {
        let (json, _) = one(s)?;
        links(&json, "a feature", &["self", "alternate", "collection"])
    }),
    ("/conf/core/f-unknown", "ogcapi-features-1/1.0/conf/core", |s| {
        let answer = s.get(&format!("{}/no-such-feature", s.items()))?;
        error(&answer, 404)
    }),
    ("/conf/core/http", "ogcapi-features-1/1.0/conf/core", |s| {
        let answer = s.ask("DELETE", "/collections", &[], &[])?;
        hold(answer.status == 405 && !answer.header("allow").is_empty(), || {
            format!("DELETE: {} without Allow", answer.status)
        })?;
        let path = s.items();
        let (head, get) = (s.ask("HEAD", &path, &[], &[])?, s.get(&path)?);
        hold(
            head.status == 200
                && head.body.is_empty()
                && head.header("content-type") == get.header("content-type"),
            || format!("HEAD: status {}, {} bytes", head.status, head.body.len()),
        )
    }),
    ("/conf/core/cache", "", |s| {
        let path = s.items();
        let tag = s.get(&path)?.header("etag").to_owned();
        if tag.is_empty() {
            return Err(Stop::None("no ETag is given".to_owned()));
        }
        let again = s.get_with(&path, &[("If-None-Match", &tag)])?;
        hold(again.status == 304 && again.body.is_empty(), || {
            format!("status {} for a tag that is known", again.status)
        })
    }),
    ("/conf/core/gzip", "", |s| {
        let path = format!("{}?limit=200", s.items());
        let (plain, small) = (s.get(&path)?, s.get_with(&path, &[("Accept-Encoding", "gzip")])?);
        if small.header("content-encoding") != "gzip" {
            return Err(Stop::None("answers are not made small".to_owned()));
        }
        hold(small.json()["features"] == plain.json()["features"] && small.carried < plain.carried, || {
            "what is unpacked differs".to_owned()
        })
    }),
    ("/conf/geojson/definition", "ogcapi-features-1/1.0/conf/geojson", |s| {
        let path = s.items();
        for path in [path.clone(), format!("{path}/{}", first(s)?)] {
            let answer = s.get_with(&path, &[("Accept", "application/geo+json")])?;
            hold(answer.header("content-type").starts_with("application/geo+json"), || {
                format!("{path}: {:?}", answer.header("content-type"))
            })?;
        }
        Ok(())
    }),
    ("/conf/geojson/content", "ogcapi-features-1/1.0/conf/geojson", |s| {
        s.features.iter().try_for_each(|f| {
            let geometry = &f["geometry"];
            let known = [
                "Point",
                "MultiPoint",
                "LineString",
                "MultiLineString",
                "Polygon",
                "MultiPolygon",
                "GeometryCollection",
            ];
            let sound = f["type"] == "Feature"
                && f["properties"].is_object()
                && (geometry.is_null() || known.iter().any(|k| geometry["type"] == *k));
            hold(sound, || format!("feature {} is no GeoJSON", id(f)))
        })
    }),
    ("/conf/html/definition", "ogcapi-features-1/1.0/conf/html", |s| {
        for path in
            ["/".to_owned(), "/collections".to_owned(), format!("/collections/{}", s.collection), s.items()]
        {
            let answer = s.get_with(&path, &[("Accept", "text/html")])?;
            hold(answer.status == 200 && answer.header("content-type").starts_with("text/html"), || {
                format!("{path}: {} {:?}", answer.status, answer.header("content-type"))
            })?;
        }
        Ok(())
    }),
    ("/conf/html/content", "ogcapi-features-1/1.0/conf/html", |s| {
        let path = format!("{}?f=html&limit=5", s.items());
        let text = s.get(&path)?.text();
        let ids: Vec<String> = s.json(&format!("{}?limit=5", s.items()))?["features"]
            .as_array()
            .into_iter()
            .flatten()
            .map(id)
            .collect();
        hold(text.contains("<html") && ids.iter().all(|i| text.contains(i.as_str())), || {
            "a feature is not on the page".to_owned()
        })?;
        hold(
            text.contains("<svg")
                && text.matches("<circle").count() + text.matches("<path").count() >= ids.len(),
            || "features are not drawn".to_owned(),
        )
    }),
    ("/conf/html/negotiation", "ogcapi-features-1/1.0/conf/html", |s| {
        let answer = s.get_with("/collections", &[("Accept", "image/png")])?;
        error(&answer, 406)
    }),
    ("/conf/oas30/completeness", "ogcapi-features-1/1.0/conf/oas30", |s| {
        let api = api(s)?;
        let wanted = [
            "/",
            "/conformance",
            "/collections",
            "/collections/{collectionId}",
            "/collections/{collectionId}/items",
            "/collections/{collectionId}/items/{featureId}",
        ];
        let missing: Vec<_> = wanted.iter().filter(|p| !api["paths"][**p]["get"].is_object()).collect();
        hold(missing.is_empty(), || format!("paths are missing: {missing:?}"))
    }),
    ("/conf/oas30/exceptions-codes", "ogcapi-features-1/1.0/conf/oas30", |s| {
        let api = api(s)?;
        let responses = &api["paths"]["/collections/{collectionId}/items"]["get"]["responses"];
        let told = |code: &str| responses[code].is_object() || responses["default"].is_object();
        hold(responses["200"].is_object() && told("400") && told("404"), || format!("responses: {responses}"))
    }),
    ("/conf/core/problem", "", |s| {
        let found = [
            (format!("{}?filter=((", s.items()), 400),
            (format!("{}?cursor=forged", s.items()), 400),
            ("/nowhere".to_owned(), 404),
        ];
        for (path, status) in found {
            let answer = s.get(&path)?;
            let json = answer.json();
            let sound = answer.header("content-type").starts_with("application/problem+json")
                && json["status"] == status
                && json["title"].is_string();
            hold(answer.status == status && sound, || {
                format!("{path}: {} {}", answer.status, answer.text())
            })?;
        }
        Ok(())
    }),
];

/// An error of this status, told as such.
fn error(answer: &Response, status: u16) -> Result<(), Stop> {
    hold(answer.status == status, || format!("status {} in place of {status}", answer.status))
}

fn api(s: &mut Suite) -> Result<Json, Stop> {
    let landing = s.json("/")?;
    let href = linked(&landing, "service-desc").ok_or("no link service-desc")?;
    Ok(s.follow(&href)?.json())
}

/// How a parameter of the items is defined.
pub(super) fn parameter(s: &mut Suite, name: &str) -> Result<Json, Stop> {
    let api = api(s)?;
    let list = api["paths"]["/collections/{collectionId}/items"]["get"]["parameters"].as_array().cloned();
    let found = list.unwrap_or_default().into_iter().find(|p| p["name"] == name);
    found.ok_or_else(|| Stop::Failed(format!("the API has no parameter {name}")))
}

pub(super) fn linked(json: &Json, rel: &str) -> Option<String> {
    let links = json["links"].as_array()?;
    links.iter().find(|l| l["rel"] == rel)?["href"].as_str().map(str::to_owned)
}

fn links(json: &Json, what: &str, rels: &[&str]) -> Result<(), Stop> {
    let missing: Vec<_> = rels.iter().filter(|rel| linked(json, rel).is_none()).collect();
    hold(missing.is_empty(), || format!("{what}: no link {missing:?}"))
}

/// Every link says what kind of document it leads to.
fn typed(json: &Json, what: &str) -> Result<(), Stop> {
    let all = json["links"].as_array().into_iter().flatten();
    hold(all.into_iter().all(|l| l["rel"].is_string() && l["type"].is_string()), || {
        format!("{what}: a link has no rel or type")
    })
}

fn first(s: &Suite) -> Result<String, Stop> {
    s.features.first().map(id).ok_or_else(|| Stop::None("no feature is there".to_owned()))
}

fn one(s: &mut Suite) -> Result<(Json, Json), Stop> {
    let wanted = s
        .features
        .get(s.features.len() / 2)
        .cloned()
        .ok_or_else(|| Stop::None("no feature is there".to_owned()))?;
    let json = s.json(&format!("{}/{}", s.items(), id(&wanted)))?;
    Ok((json, wanted))
}

/// A point feature's place.
pub(super) fn point(feature: &Json) -> Option<(f64, f64)> {
    let c = &feature["geometry"]["coordinates"];
    Some((c[0].as_f64()?, c[1].as_f64()?))
}

/// A box in the middle of all points: about a quarter of them lie in it.
pub(super) fn middle(s: &Suite) -> Result<(f64, f64, f64, f64), Stop> {
    let points: Vec<_> = s.features.iter().filter_map(point).collect();
    if points.len() < 10 {
        return Err(Stop::None("too few points".to_owned()));
    }
    let axis = |of: fn(&(f64, f64)) -> f64| {
        let mut all: Vec<f64> = points.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        (all[all.len() / 4], all[all.len() * 3 / 4])
    };
    let ((w, e), (south, n)) = (axis(|p| p.0), axis(|p| p.1));
    Ok((w, south, e, n))
}

/// The ids that a query of the items gives, in the order of ids.
pub(super) fn ids(s: &mut Suite, query: &str) -> Result<Vec<String>, Stop> {
    let mut ids: Vec<String> = s.all(&format!("{}?limit=500&{query}", s.items()))?.iter().map(id).collect();
    ids.sort();
    Ok(ids)
}
