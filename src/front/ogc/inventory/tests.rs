//! Tests of the inventory's formats and errors.

use super::{read_csv, read_yaml, CollectionShard, Inventory, InventoryError, InventoryErrorKind};
use crate::interface::EndpointState;

fn error_text(result: Result<Inventory, InventoryError>) -> String {
    result.expect_err("an invalid inventory").to_string()
}

#[test]
fn csv_and_yaml_result_in_the_same_servers() {
    let csv = "name,address,collections,state\n\
        a,127.0.0.1:9001,devices/north;zones,in_service\n\
        b,127.0.0.1:9002,devices/south,draining\n";
    let yaml = r"
all:
  vars:
    state: in_service
  children:
    north:
      vars:
        collections: devices/north
      hosts:
        a: {ansible_host: 127.0.0.1, ansible_port: 9001}
    zones:
      hosts:
        a:
          collections: [zones]
          ansible_host: 127.0.0.1
          ansible_port: 9001
    south:
      hosts:
        b:
          address: 127.0.0.1:9002
          collections: devices/south
          state: draining
";
    let from_csv = read_csv("i.csv", csv).expect("the CSV is valid");
    let from_yaml = read_yaml("i.yaml", yaml).expect("the YAML is valid");
    assert_eq!(from_csv, from_yaml);
    assert_eq!(from_csv.servers[0].shards.len(), 2);
    assert_eq!(from_csv.servers[1].state, EndpointState::Draining);
}

#[test]
fn errors_contain_file_line_and_field() {
    let head = "name,address,collections,state\na,127.0.0.1:1,x,in_service\n";
    let row_error = |row: &str| error_text(read_csv("i.csv", &format!("{head}{row}\n")));
    assert!(row_error("b,nowhere,x,").starts_with("i.csv:3: address: "));
    assert!(row_error("b,127.0.0.1:2,a b/,").starts_with("i.csv:3: collections: "));
    assert!(row_error("b,127.0.0.1:2,x,asleep").starts_with("i.csv:3: state: "));
    assert!(row_error("a,127.0.0.1:2,x,").starts_with("i.csv:3: name: "));
    assert!(row_error("b,127.0.0.1:2").starts_with("i.csv:3: "));
    assert!(error_text(read_csv("i.csv", "name,address\n")).starts_with("i.csv:1: collections: "));
    assert!(error_text(read_csv("i.csv", "name,address,collections\n")).starts_with("i.csv:1: "));
    let yaml = "all:\n  hosts:\n    a:\n      address: 127.0.0.1:1\n      \
        collections: x\n      state: asleep\n";
    assert!(error_text(read_yaml("i.yaml", yaml)).starts_with("i.yaml:6: state: "));
    assert!(error_text(read_yaml("i.yaml", "all:\n  hots: {}\n")).starts_with("i.yaml:2: hots: "));
    assert!(error_text(read_yaml("i.yaml", "all:\n  hosts: [a\n")).starts_with("i.yaml:"));
    let duplicate_host = "all:\n  hosts:\n    a: {}\n    b: {}\n    a: {}\n";
    assert!(error_text(read_yaml("i.yaml", duplicate_host)).starts_with("i.yaml:5: a: "));
}

#[test]
fn errors_have_a_kind_and_its_message() {
    let error = |row: &str| {
        let text = format!("name,address,collections,state\na,127.0.0.1:1,x,in_service\n{row}\n");
        read_csv("i.csv", &text).expect_err("an invalid inventory")
    };
    let duplicate = error("a,127.0.0.1:2,x,");
    assert!(matches!(&duplicate.kind, InventoryErrorKind::DuplicateName(name) if name == "a"));
    assert_eq!(duplicate.to_string(), "i.csv:3: name: \"a\" is there twice");
    let duplicate = error("b,127.0.0.1:1,x,");
    assert!(matches!(
        duplicate.kind,
        InventoryErrorKind::DuplicateAddress(_)
    ));
    assert_eq!(
        duplicate.to_string(),
        "i.csv:3: address: 127.0.0.1:1 is there twice"
    );
    let state = error("b,127.0.0.1:2,x,asleep");
    assert!(matches!(&state.kind, InventoryErrorKind::UnknownState(state) if state == "asleep"));
    assert_eq!(
        state.message(),
        "state: \"asleep\" is none of in_service, draining, gone, retired"
    );
    let empty = read_csv("i.csv", "name,address,collections\n").expect_err("an empty inventory");
    assert!(matches!(empty.kind, InventoryErrorKind::NoServer));
    assert_eq!(empty.to_string(), "i.csv:1: no server is named");
}

#[test]
fn a_retired_entry_is_no_server_and_names_shards_that_no_server_lists() {
    let head = "name,address,collections,state\na,127.0.0.1:1,devices/n,in_service\n";
    let csv = format!("{head}b,,devices/s;zones,retired\n");
    let yaml = "all:\n  hosts:\n    a: {address: '127.0.0.1:1', collections: devices/n}\n    \
        b: {collections: [devices/s, zones], state: retired}\n";
    let inventory = read_csv("i.csv", &csv).expect("the CSV is valid");
    let shard = |collection: &str, server_collection: &str| CollectionShard {
        collection: collection.to_owned(),
        server_collection: server_collection.to_owned(),
    };
    assert_eq!(inventory.servers.len(), 1);
    assert_eq!(
        inventory.retired_shards,
        [shard("devices", "s"), shard("zones", "zones")]
    );
    assert_eq!(
        inventory,
        read_yaml("i.yaml", yaml).expect("the YAML is valid")
    );

    let listed = read_csv("i.csv", &format!("{head}b,,devices/n,retired\n"));
    assert_eq!(
        error_text(listed),
        "i.csv:3: collections: the shard \"n\" is retired, and \"a\" lists it"
    );
    let only_retired = "name,address,collections,state\nb,,devices/s,retired\n";
    assert!(error_text(read_csv("i.csv", only_retired)).ends_with("no server is named"));
}
