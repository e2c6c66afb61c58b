//! Reader of inventories as YAML in the form of configuration tools such as Ansible: groups with
//! `hosts`, `vars` and `children`.

use super::entry::{Entry, Field, Fields, Locator};
use super::error::{InventoryError, InventoryErrorKind};
use super::{first, Server};
use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode};
use marked_yaml::{LoadError, LoaderOptions, Marker, Node};

/// Reads YAML with groups; `file` is the file's name in errors.
///
/// A host's own vars take precedence over its groups', and an inner group's over an outer group's.
/// The collections of a host are the union over its groups.
///
/// # Errors
///
/// Fails with the first fault.
pub fn read_yaml(file: &str, text: &str) -> Result<Vec<Server>, InventoryError> {
    read_with_all_errors(file, text).map_err(first)
}

/// Reads YAML with groups, or returns every fault.
pub(super) fn read_with_all_errors(
    file: &str,
    text: &str,
) -> Result<Vec<Server>, Vec<InventoryError>> {
    let locator = Locator { file };
    let options = LoaderOptions::default().error_on_duplicate_keys(true);
    let root = match marked_yaml::parse_yaml_with_options(0, text, options) {
        Ok(root) => root,
        Err(error) => return Err(vec![malformed(locator, error)]),
    };
    let mut reader = GroupReader {
        locator,
        entries: Vec::new(),
    };
    let mut errors = Vec::new();
    if let Some(root) = root.as_mapping() {
        for (name, group) in root.iter() {
            errors.extend(reader.group(name.as_str(), group, &Fields::new()).err());
        }
    }
    locator.servers(&reader.entries, errors)
}

/// Returns the error for YAML that can't be parsed.
fn malformed(locator: Locator<'_>, error: LoadError) -> InventoryError {
    let (line, field) = match &error {
        LoadError::TopLevelMustBeMapping(marker)
        | LoadError::TopLevelMustBeSequence(marker)
        | LoadError::UnexpectedAnchor(marker)
        | LoadError::MappingKeyMustBeScalar(marker)
        | LoadError::UnexpectedTag(marker)
        | LoadError::ScanError(marker, _) => (marker.line(), String::new()),
        LoadError::DuplicateKey(duplicate) => {
            let line = duplicate.key.span().start().map_or(1, Marker::line);
            (line, duplicate.key.as_str().to_owned())
        }
    };
    locator.error(line, &field, InventoryErrorKind::Yaml(Box::new(error)))
}

/// Returns the number of a node's line, or 0 if it has none.
fn line_of(node: &Node) -> usize {
    node.span().start().map_or(0, Marker::line)
}

/// Collector of the hosts of groups.
struct GroupReader<'a> {
    locator: Locator<'a>,
    entries: Vec<Entry>,
}

impl GroupReader<'_> {
    /// Returns a node's mapping, or `None` if the key has no value.
    fn mapping<'n>(
        &self,
        node: &'n Node,
        field: &str,
    ) -> Result<Option<&'n MarkedMappingNode>, InventoryError> {
        match node {
            Node::Mapping(mapping) => Ok(Some(mapping)),
            Node::Scalar(scalar) if matches!(scalar.as_str(), "" | "~" | "null") => Ok(None),
            _ => Err(self
                .locator
                .error(line_of(node), field, InventoryErrorKind::NotMapping)),
        }
    }

    /// Adds the vars of a node to `fields`, replacing those of the same names.
    fn vars(&self, node: &Node, field: &str, fields: &mut Fields) -> Result<(), InventoryError> {
        let Some(vars) = self.mapping(node, field)? else {
            return Ok(());
        };
        for (key, value) in vars.iter() {
            let text = match value {
                Node::Scalar(scalar) => scalar.as_str().to_owned(),
                Node::Sequence(items) => {
                    let words = items
                        .iter()
                        .map(|item| item.as_scalar().map(MarkedScalarNode::as_str));
                    let words = words.collect::<Option<Vec<_>>>().ok_or_else(|| {
                        self.locator.error(
                            line_of(value),
                            key.as_str(),
                            InventoryErrorKind::NotScalar,
                        )
                    })?;
                    words.join(";")
                }
                // Structured vars belong to other tools and are ignored.
                Node::Mapping(_) => continue,
            };
            fields.insert(
                key.as_str().to_owned(),
                Field {
                    text,
                    line: line_of(value),
                },
            );
        }
        Ok(())
    }

    /// Reads a group; `outer` are the vars of the groups around it.
    fn group(&mut self, name: &str, node: &Node, outer: &Fields) -> Result<(), InventoryError> {
        let Some(group) = self.mapping(node, name)? else {
            return Ok(());
        };
        let mut vars = outer.clone();
        if let Some(own) = group.get_node("vars") {
            self.vars(own, "vars", &mut vars)?;
        }
        for (key, value) in group.iter() {
            match key.as_str() {
                "vars" => {}
                "hosts" => self.hosts(value, &vars)?,
                "children" => self.children(value, &vars)?,
                other => {
                    let line = key.span().start().map_or(0, Marker::line);
                    return Err(self.locator.error(
                        line,
                        other,
                        InventoryErrorKind::UnknownGroupKey,
                    ));
                }
            }
        }
        Ok(())
    }

    /// Reads the hosts of a group whose vars are `vars`.
    fn hosts(&mut self, node: &Node, vars: &Fields) -> Result<(), InventoryError> {
        let Some(hosts) = self.mapping(node, "hosts")? else {
            return Ok(());
        };
        for (host, own) in hosts.iter() {
            let mut fields = vars.clone();
            self.vars(own, host.as_str(), &mut fields)?;
            let line = host.span().start().map_or(0, Marker::line);
            self.merge(Entry {
                name: host.as_str().to_owned(),
                line,
                fields,
            });
        }
        Ok(())
    }

    /// Reads the groups in a group whose vars are `vars`.
    fn children(&mut self, node: &Node, vars: &Fields) -> Result<(), InventoryError> {
        let Some(children) = self.mapping(node, "children")? else {
            return Ok(());
        };
        for (name, group) in children.iter() {
            self.group(name.as_str(), group, vars)?;
        }
        Ok(())
    }

    /// Adds a host, or merges its fields with those that an earlier group gave it.
    fn merge(&mut self, entry: Entry) {
        let Some(known) = self
            .entries
            .iter_mut()
            .find(|known| known.name == entry.name)
        else {
            return self.entries.push(entry);
        };
        for (key, field) in entry.fields {
            match known.fields.get_mut(&key) {
                Some(known) if key == "collections" => {
                    known.text = format!("{};{}", known.text, field.text)
                }
                Some(known) => *known = field,
                None => {
                    known.fields.insert(key, field);
                }
            }
        }
    }
}
