//! Part 3 and CQL2: what filters must give is worked out here from the features themselves.

use super::core::{linked, middle, parameter, point};
use super::{hold, Check, Stop, Suite};
use serde_json::{json, Value as Json};

const FILTER: &str = "ogcapi-features-3/1.0/conf/filter";
const FEATURES: &str = "ogcapi-features-3/1.0/conf/features-filter";

/// The checks: identifier, the class that must be claimed, and the check.
pub const CHECKS: &[(&str, &str, Check)] = &[
    ("/req/queryables/queryables-link", "ogcapi-features-3/1.0/conf/queryables", |s| {
        let json = s.json(&format!("/collections/{}", s.collection))?;
        let rel = "http://www.opengis.net/def/rel/ogc/1.0/queryables";
        hold(linked(&json, rel).is_some(), || "no link to the queryables".to_owned())
    }),
    ("/req/queryables/get-queryables-response", "ogcapi-features-3/1.0/conf/queryables", |s| {
        let path = format!("/collections/{}/queryables", s.collection);
        let answer = s.get(&path)?;
        hold(answer.header("content-type").starts_with("application/schema+json"), || {
            format!("Content-Type is {:?}", answer.header("content-type"))
        })?;
        let json = answer.json();
        hold(json["$id"].is_string() && json["$schema"].is_string() && json["type"] == "object", || {
            "it is no schema with $id".to_owned()
        })
    }),
    (
        "/req/queryables-query-parameters/parameters",
        "ogcapi-features-3/1.0/conf/queryables-query-parameters",
        |s| {
            let name = s.queryable("number", "")?;
            let value = numbers(s, &name)?[0];
            let found = super::core::ids(s, &format!("{name}={value}"))?;
            super::same(
                "a queryable as parameter",
                &found,
                &s.expected(|f| f["properties"][&name].as_f64() == Some(value)),
            )
        },
    ),
    ("/req/filter/filter-param", FILTER, |s| {
        parameter(s, "filter")?;
        let (name, m) = median(s)?;
        compare(s, &format!("{name} > {m}"), |f| num(f, &name).is_some_and(|n| n > m))
    }),
    ("/req/filter/filter-lang-param", FILTER, |s| {
        parameter(s, "filter-lang")?;
        let answer = s.get(&format!("{}?filter=a=1&filter-lang=no-such-language", s.items()))?;
        hold(answer.status == 400, || format!("status {} for a language that is none", answer.status))
    }),
    ("/req/filter/filter-crs-param", FILTER, |s| {
        let (w, south, e, n) = middle(s)?;
        let name = geometry(s)?;
        let drawn =
            format!("S_INTERSECTS({name},POLYGON(({south} {w},{south} {e},{n} {e},{n} {w},{south} {w})))");
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query
            .append_pair("filter", &drawn)
            .append_pair("filter-crs", "http://www.opengis.net/def/crs/EPSG/0/4326");
        let found = super::core::ids(s, &query.finish())?;
        super::same("filter-crs", &found, &s.expected(|f| inside(f, (w, south, e, n))))
    }),
    ("/req/filter/mixing-expressions", FILTER, |s| {
        let (name, m) = median(s)?;
        let (w, south, e, n) = middle(s)?;
        let found = super::core::ids(s, &format!("bbox={w},{south},{e},{n}&filter={name}%3E{m}"))?;
        super::same(
            "a box and a filter",
            &found,
            &s.expected(|f| inside(f, (w, south, e, n)) && num(f, &name).is_some_and(|v| v > m)),
        )
    }),
    ("/req/filter/invalid", FILTER, |s| {
        for bad in ["((", "a%20=", "=1", "NOT", "a%20LIKE", "S_INTERSECTS(a)"] {
            let answer = s.get(&format!("{}?filter={bad}", s.items()))?;
            hold(answer.status == 400, || format!("filter={bad}: status {}", answer.status))?;
        }
        Ok(())
    }),
    ("/req/features-filter/queryable-unknown", FEATURES, |s| {
        if s.queryables.is_empty() {
            return Err(Stop::None("no queryables are told".to_owned()));
        }
        let answer = s.get(&format!("{}?filter=no_such_queryable=1", s.items()))?;
        hold(answer.status == 400, || format!("status {}", answer.status))
    }),
    ("/req/features-filter/paging", FEATURES, |s| {
        let (name, m) = median(s)?;
        let ids: Vec<String> =
            s.all(&format!("{}?limit=37&filter={name}%3C%3D{m}", s.items()))?.iter().map(super::id).collect();
        let mut once = ids.clone();
        once.sort();
        once.dedup();
        hold(once.len() == ids.len(), || "features come twice over the next links".to_owned())?;
        super::same("a filter over pages", &once, &s.expected(|f| num(f, &name).is_some_and(|n| n <= m)))
    }),
    ("/req/cql2-text/validate", "conf/cql2-text", |s| {
        let (name, m) = median(s)?;
        compare(s, &format!("( {name}>{m} oR nOt ({name} <= {m}) ) AND \"{name}\" >= {m}.0"), |f| {
            num(f, &name).is_some_and(|n| n > m)
        })
    }),
    ("/req/cql2-json/validate", "conf/cql2-json", |s| {
        let (name, m) = median(s)?;
        let filter = json!({"op": "and", "args": [
            {"op": ">", "args": [{"property": name}, m]}, {"op": "not", "args": [{"op": "=", "args": [{"property": name}, -1]}]}]});
        let found = s.filtered(&filter.to_string(), "cql2-json")?;
        super::same("CQL2 JSON", &found, &s.expected(|f| num(f, &name).is_some_and(|n| n > m)))
    }),
    ("/req/basic-cql2/cql2-filter", "conf/basic-cql2", |s| {
        let (name, m) = median(s)?;
        for (op, holds) in [
            ("=", (|a, b| a == b) as fn(f64, f64) -> bool),
            ("<>", |a, b| a != b),
            ("<", |a, b| a < b),
            ("<=", |a, b| a <= b),
            (">", |a, b| a > b),
            (">=", |a, b| a >= b),
        ] {
            compare(s, &format!("{name} {op} {m}"), |f| num(f, &name).is_some_and(|n| holds(n, m)))?;
        }
        Ok(())
    }),
    ("/req/basic-cql2/logic", "conf/basic-cql2", |s| {
        let (name, m) = median(s)?;
        let flag = s.queryable("boolean", "")?;
        let is = |f: &Json| f["properties"][&flag].as_bool();
        compare(s, &format!("{name} > {m} AND {flag} = TRUE"), |f| {
            num(f, &name).is_some_and(|n| n > m) && is(f) == Some(true)
        })?;
        compare(s, &format!("{name} > {m} OR {flag} = FALSE"), |f| {
            num(f, &name).is_some_and(|n| n > m) || is(f) == Some(false)
        })?;
        compare(s, &format!("NOT ({name} > {m})"), |f| num(f, &name).is_some_and(|n| n <= m))
    }),
    ("/req/basic-cql2/is-null", "conf/basic-cql2", |s| {
        let name = some_null(s)?;
        let null = |f: &Json| f["properties"][&name].is_null();
        compare(s, &format!("{name} IS NULL"), null)?;
        compare(s, &format!("{name} IS NOT NULL"), |f| !null(f))?;
        compare(s, &format!("NOT ({name} = 'no such value')"), |f| !null(f))
    }),
    ("/req/basic-cql2/text", "conf/basic-cql2", |s| {
        let (name, value) = text(s)?;
        compare(s, &format!("{name} = '{}'", value.replace('\'', "''")), |f| {
            f["properties"][&name] == value.as_str()
        })
    }),
    ("/req/basic-cql2/times", "conf/basic-cql2", |s| {
        let (name, at) = time(s)?;
        compare(s, &format!("{name} >= TIMESTAMP('{at}')"), |f| {
            f["properties"][&name].as_str().is_some_and(|t| t >= at.as_str())
        })
    }),
    ("/req/advanced-comparison-operators/like-predicate", "conf/advanced-comparison-operators", |s| {
        let (name, value) = text(s)?;
        let start: String = value.chars().take(3).filter(|c| !"%_\\'".contains(*c)).collect();
        compare(s, &format!("{name} LIKE '{start}%'"), |f| {
            f["properties"][&name].as_str().is_some_and(|t| t.starts_with(&start))
        })?;
        compare(s, &format!("{name} NOT LIKE '{start}%'"), |f| {
            f["properties"][&name].as_str().is_some_and(|t| !t.starts_with(&start))
        })
    }),
    ("/req/advanced-comparison-operators/between-predicate", "conf/advanced-comparison-operators", |s| {
        let (name, m) = median(s)?;
        compare(s, &format!("{name} BETWEEN {} AND {m}", m - 20.0), |f| {
            num(f, &name).is_some_and(|n| m - 20.0 <= n && n <= m)
        })
    }),
    ("/req/advanced-comparison-operators/in-predicate", "conf/advanced-comparison-operators", |s| {
        let (name, m) = median(s)?;
        let low = numbers(s, &name)?[0];
        compare(s, &format!("{name} IN ({m},{low})"), |f| num(f, &name).is_some_and(|n| n == m || n == low))
    }),
    ("/req/case-insensitive-comparison/casei-function", "conf/case-insensitive-comparison", |s| {
        let (name, value) = text(s)?;
        let upper = value.to_uppercase().replace('\'', "''");
        let lower = value.to_lowercase();
        compare(s, &format!("CASEI({name}) = CASEI('{upper}')"), |f| {
            f["properties"][&name].as_str().is_some_and(|t| t.to_lowercase() == lower)
        })
    }),
    ("/req/accent-insensitive-comparison/accenti-function", "conf/accent-insensitive-comparison", |s| {
        let (name, _) = text(s)?;
        let plain = |t: &str| t.replace('é', "e").replace('ä', "a");
        let Some(value) = s
            .features
            .iter()
            .filter_map(|f| f["properties"][&name].as_str())
            .find(|t| plain(t) != **t)
            .map(str::to_owned)
        else {
            return Err(Stop::None("no text with an accent is there".to_owned()));
        };
        let bare = plain(&value);
        compare(s, &format!("ACCENTI({name}) = ACCENTI('{bare}')"), |f| {
            f["properties"][&name].as_str().is_some_and(|t| plain(t) == bare)
        })
    }),
    ("/req/basic-spatial-functions/bbox", "conf/basic-spatial-functions", |s| {
        let ((w, south, e, n), name) = (middle(s)?, geometry(s)?);
        compare(s, &format!("S_INTERSECTS({name},BBOX({w},{south},{e},{n}))"), |f| {
            inside(f, (w, south, e, n))
        })
    }),
    ("/req/basic-spatial-functions/point", "conf/basic-spatial-functions", |s| {
        let name = geometry(s)?;
        let Some((x, y)) = s.features.iter().find_map(point) else {
            return Err(Stop::None("no point".to_owned()));
        };
        compare(s, &format!("S_INTERSECTS({name},POINT({x} {y}))"), |f| point(f) == Some((x, y)))
    }),
    ("/req/basic-spatial-functions-plus/polygon", "conf/basic-spatial-functions-plus", |s| {
        let ((w, south, e, n), name) = (middle(s)?, geometry(s)?);
        // The lower left triangle of a box: below the line from its upper left to its lower right.
        let below = move |f: &Json| {
            point(f).is_some_and(|(x, y)| {
                x >= w && y >= south && (x - w) / (e - w) + (y - south) / (n - south) <= 1.0
            })
        };
        compare(
            s,
            &format!("S_INTERSECTS({name},POLYGON(({w} {south},{e} {south},{w} {n},{w} {south})))"),
            below,
        )
    }),
    ("/req/spatial-functions/spatial-predicates", "conf/spatial-functions", |s| {
        let (b, name) = (middle(s)?, geometry(s)?);
        let (w, south, e, n) = b;
        let ring = format!("POLYGON(({w} {south},{e} {south},{e} {n},{w} {n},{w} {south}))");
        let strictly = |f: &Json| point(f).is_some_and(|(x, y)| w < x && x < e && south < y && y < n);
        compare(s, &format!("S_WITHIN({name},{ring})"), strictly)?;
        compare(s, &format!("S_DISJOINT({name},{ring})"), |f| point(f).is_some() && !inside(f, b))?;
        compare(s, &format!("S_TOUCHES({name},{ring})"), |f| inside(f, b) && !strictly(f))?;
        compare(s, &format!("S_CONTAINS({ring},{name})"), strictly)?;
        let Some((x, y)) = s.features.iter().find_map(point) else { return Ok(()) };
        compare(s, &format!("S_EQUALS({name},POINT({x} {y}))"), |f| point(f) == Some((x, y)))?;
        compare(s, &format!("S_OVERLAPS({name},{ring}) OR S_CROSSES({name},{ring})"), |_| false)
    }),
    ("/req/temporal-functions/temporal-predicates", "conf/temporal-functions", |s| {
        let (name, at) = time(s)?;
        let of = |f: &Json| f["properties"][&name].as_str().map(str::to_owned);
        let day = &at[..10];
        compare(s, &format!("T_AFTER({name},TIMESTAMP('{at}'))"), |f| of(f).is_some_and(|t| t > at))?;
        compare(s, &format!("T_BEFORE({name},TIMESTAMP('{at}'))"), |f| of(f).is_some_and(|t| t < at))?;
        compare(s, &format!("T_EQUALS({name},TIMESTAMP('{at}'))"), |f| of(f).is_some_and(|t| t == at))?;
        compare(s, &format!("T_INTERSECTS({name},INTERVAL('{at}','..'))"), |f| {
            of(f).is_some_and(|t| t >= at)
        })?;
        compare(s, &format!("T_INTERSECTS({name},DATE('{day}'))"), |f| {
            of(f).is_some_and(|t| t.starts_with(day))
        })?;
        compare(s, &format!("T_DISJOINT({name},INTERVAL('..','{at}'))"), |f| of(f).is_some_and(|t| t > at))?;
        compare(s, &format!("T_DURING({name},INTERVAL('2001-01-01T00:00:00Z','{at}'))"), |f| {
            of(f).is_some_and(|t| t < at)
        })
    }),
    ("/req/array-functions/array-predicates", "conf/array-functions", |s| {
        let name = s.queryable("array", "")?;
        let of = |f: &Json| -> Vec<String> {
            f["properties"][&name]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|v| v.as_str().map(str::to_owned))
                .collect()
        };
        let Some(some) = s.features.iter().map(of).find(|a| a.len() > 1) else {
            return Err(Stop::None("no array of two".to_owned()));
        };
        let (a, b) = (some[0].clone(), some[1].clone());
        compare(s, &format!("A_CONTAINS({name},('{a}'))"), |f| of(f).contains(&a))?;
        compare(s, &format!("A_OVERLAPS({name},('{a}','{b}'))"), |f| {
            of(f).contains(&a) || of(f).contains(&b)
        })?;
        compare(s, &format!("A_CONTAINEDBY({name},('{a}','{b}'))"), |f| {
            of(f).iter().all(|v| *v == a || *v == b)
        })?;
        compare(s, &format!("A_EQUALS({name},('{b}','{a}'))"), |f| {
            of(f).len() == 2 && of(f).contains(&a) && of(f).contains(&b)
        })
    }),
    ("/req/property-property/property-property", "conf/property-property", |s| {
        let (name, m) = median(s)?;
        compare(s, &format!("{m} < {name}"), |f| num(f, &name).is_some_and(|n| n > m))?;
        compare(s, &format!("{name} = {name}"), |f| num(f, &name).is_some())
    }),
    ("/req/arithmetic/arithmetic", "conf/arithmetic", |s| {
        let (name, m) = median(s)?;
        compare(s, &format!("{name} * 2 + 1 > {}", 2.0 * m + 1.0), |f| num(f, &name).is_some_and(|n| n > m))?;
        compare(s, &format!("{name} % 7 = 3"), |f| num(f, &name).is_some_and(|n| n % 7.0 == 3.0))?;
        compare(s, &format!("({name} - {m}) / 2 >= 1 AND {name} div 10 > 1"), |f| {
            num(f, &name).is_some_and(|n| (n - m) / 2.0 >= 1.0 && (n / 10.0).trunc() > 1.0)
        })
    }),
    ("/req/search/post", "", |s| {
        let (name, m) = median(s)?;
        let (w, south, e, n) = middle(s)?;
        let geometry = geometry(s)?;
        // A drawn area of ten thousand points: a box whose edges have many.
        let mut ring: Vec<[f64; 2]> = Vec::new();
        for k in 0..2_500 {
            ring.push([w + (e - w) * f64::from(k) / 2_500.0, south]);
        }
        for k in 0..2_500 {
            ring.push([e, south + (n - south) * f64::from(k) / 2_500.0]);
        }
        for k in 0..2_500 {
            ring.push([e - (e - w) * f64::from(k) / 2_500.0, n]);
        }
        for k in 0..2_500 {
            ring.push([w, n - (n - south) * f64::from(k) / 2_500.0]);
        }
        ring.push(ring[0]);
        let filter = json!({"op": "and", "args": [{"op": ">", "args": [{"property": name}, m]},
            {"op": "s_intersects", "args": [{"property": geometry}, {"type": "Polygon", "coordinates": [ring]}]}]});
        let body = json!({"collections": [s.collection], "limit": 500, "filter-lang": "cql2-json", "filter": filter});
        let answer =
            s.ask("POST", "/search", &[("Content-Type", "application/json")], body.to_string().as_bytes())?;
        if matches!(answer.status, 404 | 405) {
            return Err(Stop::None("there is no POST /search".to_owned()));
        }
        hold(answer.status == 200, || {
            format!("status {}: {}", answer.status, answer.text().chars().take(200).collect::<String>())
        })?;
        let mut found = answer.ids();
        found.sort();
        let expected = s.expected(|f| inside(f, (w, south, e, n)) && num(f, &name).is_some_and(|v| v > m));
        if expected.len() > 500 {
            return hold(found.len() == 500, || format!("{} features", found.len()));
        }
        super::same("an area of 10,000 points", &found, &expected)
    }),
];

fn num(feature: &Json, name: &str) -> Option<f64> {
    feature["properties"][name].as_f64()
}

fn numbers(s: &Suite, name: &str) -> Result<Vec<f64>, Stop> {
    let mut all: Vec<f64> = s.features.iter().filter_map(|f| num(f, name)).collect();
    all.sort_by(f64::total_cmp);
    if all.is_empty() {
        return Err(Stop::None("no numbers are there".to_owned()));
    }
    Ok(all)
}

/// A number's name and its middle value.
fn median(s: &Suite) -> Result<(String, f64), Stop> {
    let name = s.queryable("number", "")?;
    let all = numbers(s, &name)?;
    Ok((name, all[all.len() / 2]))
}

fn geometry(s: &Suite) -> Result<String, Stop> {
    let found =
        s.queryables.iter().find(|q| q.1["format"].as_str().is_some_and(|f| f.starts_with("geometry-")));
    found.map(|q| q.0.clone()).ok_or_else(|| Stop::None("no geometry can be asked for".to_owned()))
}

/// A text's name and the value of a feature in the middle.
fn text(s: &Suite) -> Result<(String, String), Stop> {
    let plain = |(name, of): &(&String, &Json)| {
        of["type"] == "string"
            && of.get("format").is_none()
            && s.features.iter().all(|f| f["properties"][name.as_str()].is_string())
    };
    let name = s.queryables.iter().find(plain).map(|q| q.0.clone());
    let name = name.ok_or_else(|| Stop::None("no text that all features have".to_owned()))?;
    let value = s.features[s.features.len() / 2]["properties"][&name].as_str().unwrap_or_default().to_owned();
    Ok((name, value))
}

fn time(s: &Suite) -> Result<(String, String), Stop> {
    let name = s.queryable("string", "date")?;
    let mut all: Vec<String> =
        s.features.iter().filter_map(|f| f["properties"][&name].as_str().map(str::to_owned)).collect();
    all.sort();
    Ok((name, all[all.len() / 2].clone()))
}

/// A queryable that some features have a value of and some have not.
fn some_null(s: &Suite) -> Result<String, Stop> {
    let null = |name: &str| s.features.iter().filter(|f| f["properties"][name].is_null()).count();
    let found =
        s.queryables.keys().find(|name| name.as_str() != "id" && (1..s.features.len()).contains(&null(name)));
    let text = |name: &&String| s.queryables[*name]["type"] == "string";
    found.filter(text).cloned().ok_or_else(|| Stop::None("no text that some features lack".to_owned()))
}

fn inside(feature: &Json, (w, south, e, n): (f64, f64, f64, f64)) -> bool {
    point(feature).is_some_and(|(x, y)| w <= x && x <= e && south <= y && y <= n)
}

fn compare(s: &mut Suite, filter: &str, holds: impl Fn(&Json) -> bool) -> Result<(), Stop> {
    let found = s.filtered(filter, "cql2-text")?;
    super::same(filter, &found, &s.expected(holds))
}
