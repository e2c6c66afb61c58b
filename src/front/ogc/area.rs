//! A drawn area: a CQL2 filter `S_INTERSECTS(geometry, POLYGON(...))`, as text or as JSON.

use std::fmt::Write as _;

/// Most points of an area.
const MOST_POINTS: usize = 2_000;

/// A polygon: its outer ring, then its holes. Every ring is closed.
#[derive(Debug, Clone, PartialEq)]
pub struct Area {
    property: String,
    rings: Vec<Vec<(f64, f64)>>,
}

impl Area {
    /// As CQL2 text, the form in which servers are asked.
    pub fn to_text(&self) -> String {
        let mut text = format!("S_INTERSECTS({},POLYGON(", self.property);
        for (n, ring) in self.rings.iter().enumerate() {
            text.push_str(if n > 0 { ",(" } else { "(" });
            for (m, (x, y)) in ring.iter().enumerate() {
                let _ = write!(text, "{}{x} {y}", if m > 0 { "," } else { "" });
            }
            text.push(')');
        }
        text.push_str("))");
        text
    }

    fn checked(property: &str, rings: Vec<Vec<(f64, f64)>>) -> Result<Self, String> {
        if property.is_empty() || !property.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_') {
            return Err("S_INTERSECTS needs a property's name first".to_owned());
        }
        if rings.is_empty() || rings.iter().map(Vec::len).sum::<usize>() > MOST_POINTS {
            return Err(format!("the polygon needs a ring, and at most {MOST_POINTS} points"));
        }
        for ring in &rings {
            if ring.len() < 4 || ring.first() != ring.last() {
                return Err("a ring needs four points or more and must end where it began".to_owned());
            }
            if !ring
                .iter()
                .all(|(x, y)| x.is_finite() && (-180.0..=180.0).contains(x) && (-90.0..=90.0).contains(y))
            {
                return Err("a point lies outside longitude and latitude".to_owned());
            }
        }
        Ok(Area { property: property.to_owned(), rings })
    }

    /// Reads CQL2 text.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let mut words = Words { rest: text };
        words.word("S_INTERSECTS")?;
        words.mark('(')?;
        let property = words.name().to_owned();
        words.mark(',')?;
        words.word("POLYGON")?;
        words.mark('(')?;
        let mut rings = Vec::new();
        loop {
            words.mark('(')?;
            let mut ring = vec![words.point()?];
            while words.take(',') {
                ring.push(words.point()?);
                if ring.len() > MOST_POINTS {
                    return Err(format!("a ring has more than {MOST_POINTS} points"));
                }
            }
            words.mark(')')?;
            rings.push(ring);
            if !words.take(',') {
                break;
            }
        }
        words.mark(')')?;
        words.mark(')')?;
        if !words.rest.trim().is_empty() {
            return Err(format!("not understood from {:?} on; only one S_INTERSECTS is served", words.rest));
        }
        Self::checked(&property, rings)
    }

    /// Reads CQL2 JSON.
    pub fn from_json(text: &str) -> Result<Self, String> {
        #[derive(serde::Deserialize)]
        struct Filter {
            op: String,
            args: (Property, Polygon),
        }
        #[derive(serde::Deserialize)]
        struct Property {
            property: String,
        }
        #[derive(serde::Deserialize)]
        struct Polygon {
            #[serde(rename = "type")]
            kind: String,
            coordinates: Vec<Vec<Vec<f64>>>,
        }
        let filter: Filter = serde_json::from_str(text).map_err(|e| e.to_string())?;
        if filter.op != "s_intersects" || filter.args.1.kind != "Polygon" {
            return Err("only s_intersects with a Polygon is served".to_owned());
        }
        let point = |p: &Vec<f64>| match p[..] {
            [x, y] => Ok((x, y)),
            _ => Err("a point needs two numbers".to_owned()),
        };
        let rings = filter.args.1.coordinates.iter().map(|r| r.iter().map(point).collect());
        Self::checked(&filter.args.0.property, rings.collect::<Result<_, _>>()?)
    }
}

struct Words<'a> {
    rest: &'a str,
}

impl<'a> Words<'a> {
    fn span(&mut self, keep: impl Fn(char) -> bool) -> &'a str {
        self.rest = self.rest.trim_start();
        let end = self.rest.find(|c| !keep(c)).unwrap_or(self.rest.len());
        let (word, rest) = self.rest.split_at(end);
        self.rest = rest;
        word
    }

    fn name(&mut self) -> &'a str {
        self.span(|c| c.is_ascii_alphanumeric() || c == '_')
    }

    fn word(&mut self, wanted: &str) -> Result<(), String> {
        let name = self.name();
        name.eq_ignore_ascii_case(wanted)
            .then_some(())
            .ok_or_else(|| format!("{wanted} is needed, not {name:?}"))
    }

    fn take(&mut self, mark: char) -> bool {
        self.rest = self.rest.trim_start();
        let rest = self.rest.strip_prefix(mark);
        self.rest = rest.unwrap_or(self.rest);
        rest.is_some()
    }

    fn mark(&mut self, mark: char) -> Result<(), String> {
        self.take(mark).then_some(()).ok_or_else(|| format!("{mark:?} is needed before {:?}", self.rest))
    }

    fn number(&mut self) -> Result<f64, String> {
        let word = self.span(|c| c.is_ascii_digit() || matches!(c, '+' | '-' | '.' | 'e' | 'E'));
        word.parse().map_err(|_| format!("{word:?} is no number"))
    }

    fn point(&mut self) -> Result<(f64, f64), String> {
        Ok((self.number()?, self.number()?))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_and_json_name_the_same_area() {
        let text = "s_intersects( geometry , Polygon ((0 0, 10 0, 10 10.5, 0 0), (1 1,2 1,2 2,1 1)) ) ";
        let json = r#"{"op":"s_intersects","args":[{"property":"geometry"},{"type":"Polygon",
            "coordinates":[[[0,0],[10,0],[10,10.5],[0,0]],[[1,1],[2,1],[2,2],[1,1]]]}]}"#;
        let area = Area::from_text(text).expect("text");
        assert_eq!(area, Area::from_json(json).expect("json"));
        assert_eq!(
            area.to_text(),
            "S_INTERSECTS(geometry,POLYGON((0 0,10 0,10 10.5,0 0),(1 1,2 1,2 2,1 1)))"
        );
        assert_eq!(Area::from_text(&area.to_text()), Ok(area));
    }

    #[test]
    fn what_is_no_area_is_told() {
        let open = "S_INTERSECTS(geometry,POLYGON((0 0,1 0,1 1,0 1)))";
        let far = "S_INTERSECTS(geometry,POLYGON((0 0,1 0,1 100,0 0)))";
        let more = "S_INTERSECTS(geometry,POLYGON((0 0,1 0,1 1,0 0))) AND a=1";
        let huge = format!("S_INTERSECTS(geometry,POLYGON(({}0 0)))", "0 0,".repeat(3_000));
        for text in [
            "",
            "S_WITHIN(a,b)",
            "S_INTERSECTS(geometry,POINT(1 1))",
            open,
            far,
            more,
            &huge,
            "S_INTERSECTS((",
        ] {
            assert!(Area::from_text(text).is_err(), "{text}");
        }
        let deep = "[".repeat(10_000);
        assert!(Area::from_json(&deep).is_err());
    }
}
