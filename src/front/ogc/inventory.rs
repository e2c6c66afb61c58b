//! The inventory of feature servers, as configuration tools keep it: CSV with a header, or YAML with groups, hosts
//! and vars.
//!
//! A server has a name, an address, a state, and what it holds: `collection`, or `collection/shard`, where the
//! shard is the name that the server itself gives that share of the collection.

use crate::interface::EndpointState;
use marked_yaml::types::MarkedMappingNode;
use marked_yaml::{LoadError, LoaderOptions, Node as Yaml};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::Path;

/// A shard of a collection: the collection's name, and the server's own name for the shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CollectionShard {
    /// The collection as clients know it.
    pub collection: String,
    /// The collection at the server.
    pub source: String,
}

/// A feature server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its lasting name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it holds.
    pub shards: Vec<CollectionShard>,
    /// Its state.
    pub state: EndpointState,
}

/// What is wrong with an inventory, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InventoryError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 where it has none.
    pub line: usize,
    /// The field; empty where it is about the whole line.
    pub field: String,
    /// What is wrong.
    pub why: String,
}

impl fmt::Display for InventoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.why)
    }
}

impl std::error::Error for InventoryError {}

/// A field's text and where it stands.
#[derive(Debug, Clone)]
struct Field {
    text: String,
    line: usize,
}

/// A server as written.
#[derive(Debug, Default)]
struct Entry {
    name: String,
    line: usize,
    fields: BTreeMap<String, Field>,
}

struct Reader<'a> {
    file: &'a str,
}

/// All that is wrong with an inventory; never empty.
pub type Faults = Vec<InventoryError>;

fn first(mut faults: Faults) -> InventoryError {
    faults.swap_remove(0)
}

/// Reads the file; its ending tells the form. Of several faults the first is told.
pub fn read_file(path: &Path) -> Result<Vec<Server>, InventoryError> {
    read_whole_file(path).map_err(first)
}

/// Reads the file and tells every fault.
pub fn read_whole_file(path: &Path) -> Result<Vec<Server>, Faults> {
    let file = path.file_name().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
    let fault = |why: String| InventoryError { file: file.clone(), line: 0, field: String::new(), why };
    let text = std::fs::read_to_string(path).map_err(|e| vec![fault(e.to_string())])?;
    match path.extension().and_then(|e| e.to_str()) {
        Some("csv") => csv_servers(&file, &text),
        Some("yaml" | "yml") => yaml_servers(&file, &text),
        _ => Err(vec![fault("neither .csv nor .yaml".to_owned())]),
    }
}

/// Reads CSV with a header.
pub fn read_csv(file: &str, text: &str) -> Result<Vec<Server>, InventoryError> {
    csv_servers(file, text).map_err(first)
}

fn csv_servers(file: &str, text: &str) -> Result<Vec<Server>, Faults> {
    let reader = Reader { file };
    let mut rows = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .flexible(false)
        .from_reader(text.as_bytes());
    let place = |e: &csv::Error| e.position().map_or(1, |p| p.line() as usize);
    let header = rows.headers().map_err(|e| vec![reader.fault(place(&e), "", &e.to_string())])?.clone();
    let lacks = |needed: &str| !header.iter().any(|h| h == needed);
    let mut faults: Faults = ["name", "address", "collections"]
        .iter()
        .filter(|n| lacks(n))
        .map(|needed| reader.fault(1, needed, "the header lacks this column"))
        .collect();
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut entries = Vec::new();
    for row in rows.records() {
        let row = match row {
            Ok(row) => row,
            Err(e) => {
                faults.push(reader.fault(place(&e), "", &e.to_string()));
                continue;
            }
        };
        let line = row.position().map_or(0, |p| p.line() as usize);
        let mut entry = Entry { line, ..Entry::default() };
        for (name, text) in header.iter().zip(row.iter()) {
            if name == "name" {
                entry.name = text.to_owned();
            } else if !text.is_empty() {
                entry.fields.insert(name.to_owned(), Field { text: text.to_owned(), line });
            }
        }
        entries.push(entry);
    }
    reader.servers(entries, faults)
}

/// Reads YAML in the shape of configuration tools: groups with `hosts`, `vars` and `children`. A host's own vars go
/// before its groups', an inner group's before an outer's; what a host holds adds up over its groups.
pub fn read_yaml(file: &str, text: &str) -> Result<Vec<Server>, InventoryError> {
    yaml_servers(file, text).map_err(first)
}

fn yaml_servers(file: &str, text: &str) -> Result<Vec<Server>, Faults> {
    let reader = Reader { file };
    let options = LoaderOptions::default().error_on_duplicate_keys(true);
    let root = marked_yaml::parse_yaml_with_options(0, text, options).map_err(|e| {
        let (line, field) = match &e {
            LoadError::TopLevelMustBeMapping(m)
            | LoadError::TopLevelMustBeSequence(m)
            | LoadError::UnexpectedAnchor(m)
            | LoadError::MappingKeyMustBeScalar(m)
            | LoadError::UnexpectedTag(m)
            | LoadError::ScanError(m, _) => (m.line(), ""),
            LoadError::DuplicateKey(twice) => {
                (twice.key.span().start().map_or(1, |m| m.line()), twice.key.as_str())
            }
        };
        vec![reader.fault(line, field, &e.to_string())]
    })?;
    let (mut entries, mut faults) = (Vec::new(), Vec::new());
    if let Some(root) = root.as_mapping() {
        for (name, group) in root.iter() {
            let read = reader.group(name.as_str(), group, &BTreeMap::new(), &mut entries);
            faults.extend(read.err());
        }
    }
    reader.servers(entries, faults)
}

fn line_of(node: &Yaml) -> usize {
    node.span().start().map_or(0, |m| m.line())
}

impl Reader<'_> {
    fn fault(&self, line: usize, field: &str, why: &str) -> InventoryError {
        InventoryError { file: self.file.to_owned(), line, field: field.to_owned(), why: why.to_owned() }
    }

    fn mapping<'n>(
        &self,
        node: &'n Yaml,
        field: &str,
    ) -> Result<Option<&'n MarkedMappingNode>, InventoryError> {
        match node {
            Yaml::Mapping(m) => Ok(Some(m)),
            // A key without a value: nothing is said.
            Yaml::Scalar(s) if matches!(s.as_str(), "" | "~" | "null") => Ok(None),
            _ => Err(self.fault(line_of(node), field, "a mapping is needed")),
        }
    }

    fn vars(
        &self,
        node: &Yaml,
        field: &str,
        into: &mut BTreeMap<String, Field>,
    ) -> Result<(), InventoryError> {
        let Some(vars) = self.mapping(node, field)? else { return Ok(()) };
        for (key, value) in vars.iter() {
            let text = match value {
                Yaml::Scalar(s) => s.as_str().to_owned(),
                Yaml::Sequence(items) => {
                    let text = |i: &Yaml| i.as_scalar().map(|s| s.as_str().to_owned());
                    let texts: Option<Vec<_>> = items.iter().map(text).collect();
                    texts
                        .ok_or_else(|| {
                            self.fault(line_of(value), key.as_str(), "a list of plain words is needed")
                        })?
                        .join(";")
                }
                // A tool's own structured vars are none of this program's.
                Yaml::Mapping(_) => continue,
            };
            into.insert(key.as_str().to_owned(), Field { text, line: line_of(value) });
        }
        Ok(())
    }

    fn group(
        &self,
        name: &str,
        node: &Yaml,
        outer: &BTreeMap<String, Field>,
        entries: &mut Vec<Entry>,
    ) -> Result<(), InventoryError> {
        let Some(group) = self.mapping(node, name)? else { return Ok(()) };
        let mut vars = outer.clone();
        if let Some(own) = group.get_node("vars") {
            self.vars(own, "vars", &mut vars)?;
        }
        for (key, value) in group.iter() {
            match key.as_str() {
                "vars" => {}
                "hosts" => {
                    let Some(hosts) = self.mapping(value, "hosts")? else { continue };
                    for (host, own) in hosts.iter() {
                        let mut fields = vars.clone();
                        self.vars(own, host.as_str(), &mut fields)?;
                        let line = host.span().start().map_or(0, |m| m.line());
                        self.merge(Entry { name: host.as_str().to_owned(), line, fields }, entries);
                    }
                }
                "children" => {
                    let Some(children) = self.mapping(value, "children")? else { continue };
                    for (child, own) in children.iter() {
                        self.group(child.as_str(), own, &vars, entries)?;
                    }
                }
                other => {
                    let line = key.span().start().map_or(0, |m| m.line());
                    return Err(self.fault(line, other, "only hosts, vars and children are known here"));
                }
            }
        }
        Ok(())
    }

    fn merge(&self, entry: Entry, entries: &mut Vec<Entry>) {
        let Some(known) = entries.iter_mut().find(|e| e.name == entry.name) else {
            return entries.push(entry);
        };
        for (key, field) in entry.fields {
            match known.fields.get_mut(&key) {
                Some(old) if key == "collections" => old.text = format!("{};{}", old.text, field.text),
                Some(old) => *old = field,
                None => {
                    known.fields.insert(key, field);
                }
            }
        }
    }

    /// The servers, or every fault: those found before and those of the entries.
    fn servers(&self, entries: Vec<Entry>, mut faults: Faults) -> Result<Vec<Server>, Faults> {
        let mut servers: Vec<Server> = Vec::new();
        for entry in entries {
            let server = match self.server(&entry) {
                Ok(server) => server,
                Err(fault) => {
                    faults.push(fault);
                    continue;
                }
            };
            if servers.iter().any(|s| s.name == server.name) {
                faults.push(self.fault(entry.line, "name", &format!("{:?} is there twice", server.name)));
            } else if servers.iter().any(|s| s.address == server.address) {
                let why = format!("{} is there twice", server.address);
                faults.push(self.fault(entry.line, "address", &why));
            } else {
                servers.push(server);
            }
        }
        if servers.is_empty() && faults.is_empty() {
            // Most likely cut off or the wrong file; read as it stands it would drain everything.
            faults.push(self.fault(1, "", "no server is named"));
        }
        faults.sort_by_key(|f| f.line);
        if faults.is_empty() {
            Ok(servers)
        } else {
            Err(faults)
        }
    }

    fn server(&self, entry: &Entry) -> Result<Server, InventoryError> {
        let fault = |field: &str, why: &str| {
            let line = entry.fields.get(field).map_or(entry.line, |f| f.line);
            self.fault(line, field, why)
        };
        if entry.name.is_empty() {
            return Err(self.fault(entry.line, "name", "is empty"));
        }
        let get = |name: &str| entry.fields.get(name).map(|f| f.text.as_str());
        let address = match (get("address"), get("ansible_host"), get("ansible_port").or(get("port"))) {
            (Some(address), _, None) => address.to_owned(),
            (Some(host), _, Some(port)) if !host.contains(':') => format!("{host}:{port}"),
            (Some(address), _, Some(_)) => address.to_owned(),
            (None, Some(host), Some(port)) => format!("{host}:{port}"),
            (None, _, _) => return Err(fault("address", "is missing")),
        };
        let address = address
            .to_socket_addrs()
            .ok()
            .and_then(|mut a| a.next())
            .ok_or_else(|| fault("address", &format!("{address:?} is no host:port")))?;
        let held = get("collections").ok_or_else(|| fault("collections", "is missing"))?;
        let mut shards = Vec::new();
        for word in held.split([';', ',', ' ']).filter(|w| !w.is_empty()) {
            let (collection, source) = word.split_once('/').unwrap_or((word, word));
            let plain = |t: &str| {
                !t.is_empty() && t.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
            };
            if !plain(collection) || !plain(source) {
                return Err(fault("collections", &format!("{word:?} is no collection or collection/shard")));
            }
            let shard = CollectionShard { collection: collection.to_owned(), source: source.to_owned() };
            if !shards.contains(&shard) {
                shards.push(shard);
            }
        }
        if shards.is_empty() {
            return Err(fault("collections", "is empty"));
        }
        let state = match get("state").unwrap_or("in_service") {
            "in_service" | "ready" | "present" => EndpointState::Ready,
            "draining" | "terminating" => EndpointState::Draining,
            "gone" | "terminated" | "absent" => EndpointState::Removed,
            other => return Err(fault("state", &format!("{other:?} is none of in_service, draining, gone"))),
        };
        Ok(Server { name: entry.name.clone(), address, shards, state })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault(result: Result<Vec<Server>, InventoryError>) -> String {
        result.expect_err("it is bad").to_string()
    }

    #[test]
    fn csv_and_yaml_say_the_same() {
        let csv = "name,address,collections,state\n\
            a,127.0.0.1:9001,devices/north;zones,in_service\n\
            b,127.0.0.1:9002,devices/south,draining\n";
        let yaml = "all:\n  vars:\n    state: in_service\n  children:\n    north:\n      vars:\n        collections: devices/north\n      \
            hosts:\n        a: {ansible_host: 127.0.0.1, ansible_port: 9001}\n    zones:\n      hosts:\n        a:\n          \
            collections: [zones]\n          ansible_host: 127.0.0.1\n          ansible_port: 9001\n    south:\n      hosts:\n        b:\n          \
            address: 127.0.0.1:9002\n          collections: devices/south\n          state: draining\n";
        let (a, b) = (read_csv("i.csv", csv).expect("csv"), read_yaml("i.yaml", yaml).expect("yaml"));
        assert_eq!(a, b);
        assert_eq!(a[0].shards.len(), 2);
        assert_eq!(a[1].state, EndpointState::Draining);
    }

    #[test]
    fn faults_name_file_line_and_field() {
        let head = "name,address,collections,state\na,127.0.0.1:1,x,in_service\n";
        let bad = |row: &str| fault(read_csv("i.csv", &format!("{head}{row}\n")));
        assert!(bad("b,nowhere,x,").starts_with("i.csv:3: address: "));
        assert!(bad("b,127.0.0.1:2,a b/,").starts_with("i.csv:3: collections: "));
        assert!(bad("b,127.0.0.1:2,x,asleep").starts_with("i.csv:3: state: "));
        assert!(bad("a,127.0.0.1:2,x,").starts_with("i.csv:3: name: "));
        assert!(bad("b,127.0.0.1:2").starts_with("i.csv:3: "));
        assert!(fault(read_csv("i.csv", "name,address\n")).starts_with("i.csv:1: collections: "));
        assert!(fault(read_csv("i.csv", "name,address,collections\n")).starts_with("i.csv:1: "));
        let yaml =
            "all:\n  hosts:\n    a:\n      address: 127.0.0.1:1\n      collections: x\n      state: asleep\n";
        assert!(fault(read_yaml("i.yaml", yaml)).starts_with("i.yaml:6: state: "));
        assert!(fault(read_yaml("i.yaml", "all:\n  hots: {}\n")).starts_with("i.yaml:2: hots: "));
        assert!(fault(read_yaml("i.yaml", "all:\n  hosts: [a\n")).starts_with("i.yaml:"));
        let twice = "all:\n  hosts:\n    a: {}\n    b: {}\n    a: {}\n";
        assert!(fault(read_yaml("i.yaml", twice)).starts_with("i.yaml:5: a: "));
    }
}
