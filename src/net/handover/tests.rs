//! Tests of the hand-over of listening sockets between processes.

use super::*;
use std::sync::mpsc::channel;

/// A place of its own for a test.
fn empty(test: &str) -> PathBuf {
    let place = std::env::temp_dir().join(format!("quinceflow-{test}-{}.sock", std::process::id()));
    let _ = std::fs::remove_file(&place);
    place
}

#[test]
fn the_sockets_go_over_and_each_end_tells_of_the_other() {
    let place = empty("over");
    // What a killed process leaves stands in nobody's way.
    drop(UnixListener::bind(&place));
    assert!(take_over(&place).is_none(), "stale");
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = listen(address).expect("a port");
    let at = listener.local_addr().expect("bound");
    let (tell, told) = channel();
    offer(place.clone(), vec![(address, listener)], move |peer| drop(tell.send(peer))).expect("offered");
    let (taken, old) = take_over(&place).expect("somebody is there");
    let new = told.recv().expect("told");
    assert_eq!((taken[0].0, taken[0].1.local_addr().expect("bound")), (address, at));
    assert!(old.lives() && new.lives());
    // A second one gets none while the first lives: limits are split between two.
    assert!(take_over(&place).is_none());
    let _ = std::fs::remove_file(&place);
}

#[test]
fn a_peer_that_hangs_or_says_something_else_does_not_stop_a_start() {
    let place = empty("hung");
    let door = UnixListener::bind(&place).expect("a door");
    // It accepts, by its queue, and says nothing.
    assert!(take_over(&place).is_none());
    let other = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut line, _) = door.accept().expect("a caller");
            let _ = line.write_all(b"quinceflow hand-over 2 127.0.0.1:80");
            // Held until the caller has left.
            let _ = line.read_to_end(&mut Vec::new());
        }
    });
    assert!(take_over(&place).is_none(), "of another version");
    other.join().expect("it ends");
    let _ = std::fs::remove_file(&place);
}

#[test]
fn a_successor_that_dies_before_it_says_that_it_has_the_sockets_is_none() {
    let place = empty("broken");
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = listen(address).expect("a port");
    let (tell, told) = channel();
    offer(place.clone(), vec![(address, listener)], move |peer| drop(tell.send(peer))).expect("offered");
    let mut line = UnixStream::connect(&place).expect("it waits");
    writeln!(line, "{HELLO}").expect("said");
    assert!(line.read(&mut [0; MAX_MESSAGE]).expect("the sockets") > 0);
    drop(line);
    let (_, old) = take_over(&place).expect("the next one is served");
    assert!(told.recv().expect("told").lives() && old.lives());
    assert!(told.try_recv().is_err(), "the first one never had them");
    let _ = std::fs::remove_file(&place);
}

#[test]
fn what_is_no_successor_gets_no_socket() {
    let place = empty("stranger");
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = listen(address).expect("a port");
    offer(place.clone(), vec![(address, listener)], |_| panic!("nobody took them")).expect("offered");
    let mut line = UnixStream::connect(&place).expect("it waits");
    line.write_all(&[b'x'; HELLO.len() + 1]).expect("said");
    assert_eq!(line.read_to_end(&mut Vec::new()).ok(), Some(0));
    assert!(take_over(&place).is_some(), "the next one is served");
    let _ = std::fs::remove_file(&place);
}
