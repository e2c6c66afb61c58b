//! Reader of inventories as YAML in the form of configuration tools such as Ansible: groups with
//! `hosts`, `vars` and `children`.

use super::entry::{Entry, EntryValidator, Field, Fields};
use super::error::{InventoryError, InventoryErrorKind};
use super::{first_error, Inventory};
use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode};
use marked_yaml::{LoadError, LoaderOptions, Marker, Node};

/// Reads an inventory as YAML with groups; `file` is the file's name in errors.
///
/// The vars of a host take precedence over those of its groups, and the vars of an inner group over
/// those of an outer group. A host in several groups has the collections of all of them.
///
/// # Errors
///
/// Fails with the first error of the inventory.
pub fn read_yaml(file: &str, text: &str) -> Result<Inventory, InventoryError> {
    read_with_all_errors(file, text).map_err(first_error)
}

/// Reads an inventory as YAML with groups, or returns all errors.
pub(super) fn read_with_all_errors(
    file: &str,
    text: &str,
) -> Result<Inventory, Vec<InventoryError>> {
    let validator = EntryValidator { file };
    let options = LoaderOptions::default().error_on_duplicate_keys(true);
    let root = match marked_yaml::parse_yaml_with_options(0, text, options) {
        Ok(root) => root,
        Err(error) => return Err(vec![syntax_error(validator, error)]),
    };
    let mut reader = GroupReader {
        validator,
        entries: Vec::new(),
    };
    let mut errors = Vec::new();
    if let Some(root) = root.as_mapping() {
        for (name, group) in root.iter() {
            errors.extend(
                reader
                    .read_group(name.as_str(), group, &Fields::new())
                    .err(),
            );
        }
    }
    validator.validate(&reader.entries, errors)
}

/// Returns the error for YAML that can't be parsed.
fn syntax_error(validator: EntryValidator<'_>, error: LoadError) -> InventoryError {
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
    validator.error(line, &field, InventoryErrorKind::Yaml(Box::new(error)))
}

/// Returns the number of a node's line, or 0 if it has none.
fn line_number(node: &Node) -> usize {
    node.span().start().map_or(0, Marker::line)
}

/// Reads groups and collects the entries of their hosts.
struct GroupReader<'a> {
    validator: EntryValidator<'a>,
    entries: Vec<Entry>,
}

impl GroupReader<'_> {
    /// Returns a node as a mapping, or `None` if the node is empty or null.
    fn mapping<'n>(
        &self,
        node: &'n Node,
        field: &str,
    ) -> Result<Option<&'n MarkedMappingNode>, InventoryError> {
        match node {
            Node::Mapping(mapping) => Ok(Some(mapping)),
            Node::Scalar(scalar) if matches!(scalar.as_str(), "" | "~" | "null") => Ok(None),
            _ => {
                Err(self
                    .validator
                    .error(line_number(node), field, InventoryErrorKind::NotMapping))
            }
        }
    }

    /// Adds the vars in a node to `fields`; they replace fields of the same names.
    fn add_vars(
        &self,
        node: &Node,
        field: &str,
        fields: &mut Fields,
    ) -> Result<(), InventoryError> {
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
                        self.validator.error(
                            line_number(value),
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
                    line: line_number(value),
                },
            );
        }
        Ok(())
    }

    /// Reads a group; `outer_vars` are the vars of the groups that contain it.
    fn read_group(
        &mut self,
        name: &str,
        node: &Node,
        outer_vars: &Fields,
    ) -> Result<(), InventoryError> {
        let Some(group) = self.mapping(node, name)? else {
            return Ok(());
        };
        let mut vars = outer_vars.clone();
        if let Some(own_vars) = group.get_node("vars") {
            self.add_vars(own_vars, "vars", &mut vars)?;
        }
        for (key, value) in group.iter() {
            match key.as_str() {
                "vars" => {}
                "hosts" => self.read_hosts(value, &vars)?,
                "children" => self.read_children(value, &vars)?,
                unknown => {
                    let line = key.span().start().map_or(0, Marker::line);
                    return Err(self.validator.error(
                        line,
                        unknown,
                        InventoryErrorKind::UnknownGroupKey,
                    ));
                }
            }
        }
        Ok(())
    }

    /// Reads the hosts of a group whose vars are `vars`.
    fn read_hosts(&mut self, node: &Node, vars: &Fields) -> Result<(), InventoryError> {
        let Some(hosts) = self.mapping(node, "hosts")? else {
            return Ok(());
        };
        for (host, own_vars) in hosts.iter() {
            let mut fields = vars.clone();
            self.add_vars(own_vars, host.as_str(), &mut fields)?;
            let line = host.span().start().map_or(0, Marker::line);
            self.merge_entry(Entry {
                name: host.as_str().to_owned(),
                line,
                fields,
            });
        }
        Ok(())
    }

    /// Reads the child groups of a group whose vars are `vars`.
    fn read_children(&mut self, node: &Node, vars: &Fields) -> Result<(), InventoryError> {
        let Some(children) = self.mapping(node, "children")? else {
            return Ok(());
        };
        for (name, group) in children.iter() {
            self.read_group(name.as_str(), group, vars)?;
        }
        Ok(())
    }

    /// Adds the entry of a host. If an earlier group contains the same host, the fields are merged
    /// into its entry: collections are combined, other fields are replaced.
    fn merge_entry(&mut self, entry: Entry) {
        let Some(existing) = self
            .entries
            .iter_mut()
            .find(|existing| existing.name == entry.name)
        else {
            return self.entries.push(entry);
        };
        for (key, field) in entry.fields {
            match existing.fields.get_mut(&key) {
                Some(existing) if key == "collections" => {
                    existing.text = format!("{};{}", existing.text, field.text)
                }
                Some(existing) => *existing = field,
                None => {
                    existing.fields.insert(key, field);
                }
            }
        }
    }
}
