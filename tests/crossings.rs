//! Two events that cross, on real sockets. A stand-in holds one side until the other has happened, so that each order is
//! forced: `docs/crossings.md` lists the pairs.

mod standin;

use serde_json::json;
use standin::platform::{frame, node, Act};
use standin::site::*;
use standin::Edge;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;

#[test]
fn a_client_that_leaves_while_its_parts_wait_for_a_connection_has_none_of_them_sent() {
    // Counted at the wire: cases, and parts that came to a node after their client had left. Parts of a call of several, and
    // all where nodes may not be told to call parts off, went out when the connection came up.
    let run = |cancel: bool, bundle: u32| {
        let nodes = [Shut::new(), Shut::new()];
        let addresses = [nodes[0].address(), nodes[1].address()];
        let agent = Agent::new();
        let site = Site { cancel, bundle, ..USUAL };
        let (edge, _watch) = started(&format!("left-{cancel}-{bundle}"), &site, &agent, &addresses);
        let behind = [
            String::new(),
            "POST /api HTT".to_owned(),
            request("next", "look", &[0], ""),
            "x".repeat(300_000),
        ];
        let classes = ["look", "once", "some"];
        let mut clients = Vec::new();
        for (n, (class, behind)) in
            classes.iter().flat_map(|c| behind.iter().map(move |b| (c, b))).enumerate()
        {
            let mut client = waiting(&edge, &request(&format!("left{n}"), class, &[0, 1, 2, 3, 4, 5], ""));
            // The program reads only so much of it: what it does not take is not waited for.
            client.set_nonblocking(true).expect("set");
            let _ = client.write(behind.as_bytes());
            clients.push(client);
        }
        let cases = clients.len();
        until(&edge, "queries_accepted", cases as u64);
        until(&edge, "attempts_dispatched", 2);
        drop(clients);
        until(&edge, "queries_abandoned", cases as u64);
        let logs = nodes.map(Log::of);
        assert_eq!(ask(&edge, "stays", "look", &[0, 1, 2, 3, 4, 5]).status, 200);
        drop(edge);
        let came: Vec<String> = logs.into_iter().flat_map(Log::whole).collect();
        assert!(came.iter().any(|id| id.starts_with("stays.")), "{came:?}");
        let late = came.iter().filter(|id| !id.starts_with("stays.")).count();
        (cases, late)
    };
    let all: Vec<_> = [(true, 1), (true, 4), (false, 1), (false, 4)]
        .map(|(cancel, bundle)| std::thread::spawn(move || run(cancel, bundle)))
        .into_iter()
        .map(|t| t.join().expect("it ends"))
        .collect();
    println!("cases and late sends: {all:?}");
    assert!(all.iter().all(|(cases, late)| (*cases, *late) == (12, 0)), "{all:?}");
}

#[test]
fn a_client_that_leaves_while_its_part_waits_for_a_retry_has_it_not_sent_again() {
    let agent = Agent::new();
    let nodes = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let addresses = nodes.each_ref().map(|n| n.local_addr().expect("bound"));
    let (edge, mut watch) = started("left-retry", &USUAL, &agent, &addresses);
    let client = waiting(&edge, &request("left", "look", &[0], ""));
    // Whichever node it goes to holds it until nobody is left to take it.
    let (tell, asked) = channel();
    let served = nodes.map(|listener| {
        let tell = tell.clone();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            tell.send((parts(&mut stream).expect("a part"), stream.try_clone().expect("a handle")))
                .expect("told");
            serve(stream, |_| panic!("nothing more is on this one"))
        })
    });
    let (ids, mut stream) = asked.recv().expect("one of them");
    let drained: Vec<_> = in_service(&addresses).into_iter().map(|(n, a, _)| (n, a, "terminating")).collect();
    watch.say(&list(2, false, &drained).to_string());
    until(&edge, "endpoint_updates", 3);
    frame(&mut stream, b'a', &format!("{} skipped 0 -\n", ids[0])).expect("told");
    until(&edge, "attempts_rejected", 1);
    drop(client);
    until(&edge, "queries_abandoned", 1);
    watch.say(&list(3, false, &in_service(&addresses)).to_string());
    until(&edge, "endpoint_updates", 4);
    // Sound again, and asked by another: that one's part alone goes out.
    let other = waiting(&edge, &request("stays", "look", &[0], ""));
    let (ids, mut stream) = asked.recv().expect("one of them");
    assert_eq!(ids, ["stays.0"]);
    frame(&mut stream, b'a', "stays.0 served 1 -\ncell").expect("told");
    drop(stream);
    let mut first = String::new();
    BufReader::new(other).read_line(&mut first).expect("an answer");
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    until(&edge, "attempts_dispatched", 2);
    drop(edge);
    drop(served);
}

#[test]
fn a_part_that_waits_for_its_connection_does_not_go_to_a_node_that_is_told_to_drain_meanwhile() {
    for bundle in [1, 4] {
        let nodes = [Shut::new(), Shut::new()];
        let addresses = [nodes[0].address(), nodes[1].address()];
        let agent = Agent::new();
        let site = Site { bundle, ..USUAL };
        let (edge, mut watch) = started(&format!("drain-dial-{bundle}"), &site, &agent, &addresses);
        let clients: Vec<_> = (0..4)
            .map(|n| {
                waiting(&edge, &request(&format!("q{n}"), "once", &[0, 1, 2, 3], "Connection: close\r\n"))
            })
            .collect();
        until(&edge, "dials", 2);
        until(&edge, "queries_accepted", 4);
        watch.say(&list(2, false, &[(0, addresses[0], "terminating")]).to_string());
        until(&edge, "endpoint_updates", 3);
        until(&edge, "attempts_not_sent", 1);
        let logs = nodes.map(Log::of);
        for client in clients {
            assert!(answer(client).starts_with("HTTP/1.1 200"), "the other node takes it");
        }
        drop(edge);
        let came = logs.map(Log::whole);
        assert_eq!((came[0].len(), came[1].len()), (0, 16), "{came:?}");
    }
}

#[test]
fn a_watch_that_falls_silent_or_is_reset_is_opened_anew_and_what_it_missed_is_kept() {
    let nodes = [node(|_| Act::Serve), node(|_| Act::Serve)];
    let addresses = nodes.each_ref().map(|n| n.address);
    for silent in [true, false] {
        let agent = Agent::new();
        let (edge, first) = started(&format!("watch-{silent}"), &USUAL, &agent, &addresses);
        let began = std::time::Instant::now();
        let kept = if silent {
            Some(first)
        } else {
            None.or({
                first.reset();
                None
            })
        };
        // The change comes while no watch is open; the next one tells of it, indented.
        let told = serde_json::to_string_pretty(&list(2, false, &[(0, addresses[0], "terminating")]))
            .expect("a list");
        let second = agent.tell(&told);
        let took = began.elapsed().as_millis();
        assert!(took < if silent { 5_000 } else { 1_000 }, "{took} ms: it counts as told after 6 s");
        assert!(second.request.contains("since=1"), "{}", second.request);
        until(&edge, "endpoint_updates", 3);
        let before = seen(&nodes[0]).len();
        for n in 0..6 {
            assert_eq!(ask(&edge, &format!("q{silent}{n}"), "look", &[0, 1, 2, 3]).status, 200);
        }
        assert_eq!(seen(&nodes[0]).len(), before, "it drains");
        drop(kept);
    }
}

#[test]
fn an_agent_that_says_nothing_at_first_is_asked_again_and_its_return_is_heard() {
    let nodes = [node(|_| Act::Serve), node(|_| Act::Serve)];
    let addresses = nodes.each_ref().map(|n| n.address);
    let agent = Agent::new();
    let edge = Edge::platform("agent", &USUAL.config(agent.address(), &addresses), 1024);
    let began = std::time::Instant::now();
    // Down: whoever asks gets no answer, then or later.
    let unanswered = [agent.watch(), agent.watch()];
    assert!(began.elapsed().as_millis() < 2_500, "what it gets at its return counts at once");
    let _back = agent.tell(
        &list(5, true, &[(0, addresses[0], "terminating"), (1, addresses[1], "in_service")]).to_string(),
    );
    until(&edge, "endpoint_updates", 2);
    for n in 0..6 {
        assert_eq!(ask(&edge, &format!("q{n}"), "look", &[0, 1]).status, 200);
    }
    assert_eq!(seen(&nodes[0]).len(), 0);
    drop(unanswered);
}

#[test]
fn a_list_that_goes_back_takes_no_drain_back() {
    let nodes = [node(|_| Act::Serve), node(|_| Act::Serve)];
    let addresses = nodes.each_ref().map(|n| n.address);
    let agent = Agent::new();
    let (edge, mut watch) = started("back", &USUAL, &agent, &addresses);
    watch.say(&list(7, false, &[(0, addresses[0], "terminating")]).to_string());
    watch.say(&list(6, true, &in_service(&addresses)).to_string());
    edge.wait_for("the list goes back from version 7 to 6");
    until(&edge, "endpoint_updates", 4);
    for n in 0..6 {
        assert_eq!(ask(&edge, &format!("q{n}"), "look", &[0, 1, 2, 3]).status, 200);
    }
    assert_eq!(seen(&nodes[0]).len(), 0);
    watch.reset();
    assert!(agent.watch().request.contains("since=7"), "what came since the newest is asked for");
}

#[test]
fn a_move_of_discovery_is_followed_while_a_watch_is_waited_for() {
    // Where lists are asked for the wait is up to must-ask-in, here 600 s: a SIGHUP was not seen before it was over.
    let nodes = [node(|_| Act::Serve), node(|_| Act::Serve)];
    let addresses = nodes.each_ref().map(|n| n.address);
    let (old, new) = (Agent::new(), Agent::new());
    let edge =
        Edge::platform("moved", &Site { push: false, ..USUAL }.config(old.address(), &addresses), 1024);
    old.watch().reset();
    edge.wait_for("the watch broke");
    edge.configure(&edge.with("/discovery", json!(new.address().to_string())));
    edge.signal("HUP");
    let _watch = new.tell(&list(2, false, &[(0, addresses[0], "terminating")]).to_string());
    old.listener.set_nonblocking(true).expect("set");
    assert!(old.listener.accept().is_err(), "the old one was not asked again meanwhile");
    until(&edge, "endpoint_updates", 2);
    for n in 0..6 {
        assert_eq!(ask(&edge, &format!("q{n}"), "look", &[0, 1]).status, 200);
    }
    assert_eq!(seen(&nodes[0]).len(), 0);
}

#[test]
fn a_part_whose_frame_has_begun_to_go_out_does_not_go_again() {
    // Nodes that read nothing: a long frame stands half written until its time-out. It was told as never sent, so its query
    // was refused, or it went to the other node, while the rest of it went out and ran.
    use rustix::net::sockopt::set_socket_recv_buffer_size;
    let nodes = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    nodes.iter().for_each(|n| set_socket_recv_buffer_size(n, 2_048).expect("set"));
    let addresses = nodes.each_ref().map(|n| n.local_addr().expect("bound"));
    let agent = Agent::new();
    let (edge, _watch) = started("begun", &Site { aim_ms: 400, ..USUAL }, &agent, &addresses);
    let body =
        json!({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x".repeat(60_000)}).to_string();
    let head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: long\r\nX-Qos: once\r\nX-Expires-In: 0.8\r\nConnection: close";
    let answer = edge.send(&format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    until(&edge, "attempts_dispatched", 1);
    assert_eq!(answer.status, 504, "it may run: {answer:?}");
    let mut runs = 0;
    for listener in nodes {
        listener.set_nonblocking(true).expect("set");
        while let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("set");
            // Read to the frame that follows it: the cancel.
            while let Ok((letter, _)) = next_frame(&mut stream) {
                runs += usize::from(letter == b'q');
                if letter == b'c' {
                    break;
                }
            }
        }
    }
    assert_eq!(runs, 1);
}

#[test]
fn a_late_answer_beside_the_next_attempt_leads_to_no_third() {
    let nodes = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let addresses = nodes.each_ref().map(|n| n.local_addr().expect("bound"));
    let agent = Agent::new();
    let (edge, _watch) = started("late", &Site { aim_ms: 8_000, ..USUAL }, &agent, &addresses);
    let client = waiting(&edge, &request("late", "look", &[0], "Connection: close\r\n"));
    let (tell, asked) = channel();
    for (n, listener) in nodes.into_iter().enumerate() {
        let tell = tell.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let tell = tell.clone();
                std::thread::spawn(move || {
                    while let Ok((letter, rest)) = next_frame(&mut stream) {
                        let stream = stream.try_clone().expect("a handle");
                        if tell.send((n, letter, rest, stream)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    let (first, letter, _, mut its) = asked.recv().expect("the first attempt");
    assert_eq!(letter, b'q');
    // It is called off and goes to the other, in whichever order that is seen here.
    let both = [asked.recv().expect("a frame"), asked.recv().expect("a frame")];
    let other = both.into_iter().find(|f| f.1 == b'q').expect("the next attempt");
    assert_ne!(other.0, first);
    frame(&mut its, b'a', "late.0 broke 0 -\n").expect("told");
    until(&edge, "attempts_cancelled", 1);
    let mut its = other.3;
    frame(&mut its, b'a', "late.0 served 1 -\ncell").expect("told");
    assert!(answer(client).starts_with("HTTP/1.1 200"));
    drop(edge);
    drop(tell);
    assert!(asked.try_iter().all(|f| f.1 != b'q'), "two attempts, one after the other");
}

#[test]
fn a_connection_that_comes_up_after_it_was_given_up_carries_nothing() {
    let (shut, sound) = (Shut::new(), node(|_| Act::Serve));
    let agent = Agent::new();
    let site = Site { dial_timeout_ms: 150, ..USUAL };
    let (edge, _watch) = started("late-dial", &site, &agent, &[shut.address(), sound.address]);
    let clients: Vec<_> = (0..4)
        .map(|n| waiting(&edge, &request(&format!("q{n}"), "once", &[0, 1, 2, 3], "Connection: close\r\n")))
        .collect();
    for client in clients {
        assert!(answer(client).starts_with("HTTP/1.1 200"), "never sent there: it may go again");
    }
    until(&edge, "dials_failed", 1);
    let log = Log::of(shut);
    drop(edge);
    assert_eq!(log.whole(), Vec::<String>::new());
    let mut came = seen(&sound);
    came.sort();
    came.dedup();
    assert_eq!(came.len(), 16, "each part once");
    assert_eq!(seen(&sound).len(), 16);
}

#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_sent() {
    // The window was looked at when the repeat was launched; its connection came up when it was over, and it went out.
    let (held, shut) = (TcpListener::bind("127.0.0.1:0").expect("a port"), Shut::new());
    let addresses = [held.local_addr().expect("bound"), shut.address()];
    let agent = Agent::new();
    let (edge, mut watch) = started("window", &USUAL, &agent, &addresses);
    watch.say(&list(2, false, &[(1, addresses[1], "terminating")]).to_string());
    until(&edge, "endpoint_updates", 3);
    let client = waiting(&edge, &request("key", "key", &[0], "Connection: close\r\n"));
    let (mut first, _) = held.accept().expect("a connection");
    assert_eq!(parts(&mut first).expect("the first attempt"), ["key.0"]);
    watch.say(
        &list(3, false, &[(0, addresses[0], "terminating"), (1, addresses[1], "in_service")]).to_string(),
    );
    until(&edge, "endpoint_updates", 4);
    // It may have run: within its window it may go again, to the node that lets nobody in.
    drop(first);
    until(&edge, "attempts_dispatched", 2);
    until(&edge, "attempts_connect_failed", 1);
    let log = Log::of(shut);
    drop(client);
    until(&edge, "queries_abandoned", 1);
    drop(edge);
    assert_eq!(log.whole(), Vec::<String>::new());
}

#[test]
fn clients_that_leave_before_they_are_read_have_nothing_sent_on() {
    // They stand in the queue of the socket, their request and their end behind it, when the program goes on.
    let nodes = [node(|_| Act::Serve), node(|_| Act::Serve)];
    let agent = Agent::new();
    let (edge, _watch) = started("unread", &USUAL, &agent, &nodes.each_ref().map(|n| n.address));
    edge.signal("STOP");
    for n in 0..20 {
        drop(waiting(
            &edge,
            &request(&format!("left{n}"), ["look", "once", "some", "key"][n % 4], &[0, 1], ""),
        ));
    }
    let stays = waiting(&edge, &request("stays", "look", &[0, 1], "Connection: close\r\n"));
    edge.signal("CONT");
    assert!(answer(stays).starts_with("HTTP/1.1 200"));
    until(&edge, "queries_abandoned", 20);
    let mut came: Vec<_> = nodes.iter().flat_map(seen).collect();
    came.sort();
    assert_eq!(came, ["stays.0", "stays.1"]);
}

#[test]
fn frames_that_break_off_before_their_last_byte_go_to_the_other_node() {
    // More than the machine keeps for a node that reads nothing: at its reset one frame stands half written and others wait
    // behind it. They never ran, so they go again, whatever their class; what was written whole may have run and does not.
    use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};
    const QUERIES: usize = 90;
    let (deaf, sound) = (TcpListener::bind("127.0.0.1:0").expect("a port"), Shut::new());
    set_socket_recv_buffer_size(&deaf, 2_048).expect("set");
    let addresses = [deaf.local_addr().expect("bound"), sound.address()];
    let agent = Agent::new();
    let (edge, mut watch) = started("half-frames", &USUAL, &agent, &addresses);
    watch.say(&list(2, false, &[(1, addresses[1], "terminating")]).to_string());
    until(&edge, "endpoint_updates", 3);
    let body =
        json!({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x".repeat(60_000)}).to_string();
    let clients: Vec<_> = (0..QUERIES)
        .map(|n| {
            let head = format!(
                "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q{n}\r\nX-Qos: once\r\nX-Expires-In: 30"
            );
            let length = body.len();
            waiting(&edge, &format!("{head}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"))
        })
        .collect();
    until(&edge, "attempts_dispatched", QUERIES as u64);
    until(&edge, "attempts_fully_written", 1);
    watch.say(&list(3, false, &[(1, addresses[1], "in_service")]).to_string());
    until(&edge, "endpoint_updates", 4);
    let log = Log::of(sound);
    deaf.set_nonblocking(true).expect("set");
    while let Ok((stream, _)) = deaf.accept() {
        set_socket_linger(&stream, Some(std::time::Duration::ZERO)).expect("set");
    }
    let answers: Vec<String> = clients.into_iter().map(answer).collect();
    drop(edge);
    let mut again = log.whole();
    again.sort();
    let mut served: Vec<_> = (0..QUERIES).filter(|n| answers[*n].starts_with("HTTP/1.1 200")).collect();
    served.sort_by_key(|n| format!("q{n}.0"));
    assert_eq!(again, served.iter().map(|n| format!("q{n}.0")).collect::<Vec<_>>(), "each once");
    assert!((1..QUERIES).contains(&served.len()), "{} of {QUERIES}", served.len());
    assert!(answers.iter().all(|a| a.starts_with("HTTP/1.1 200") || a.starts_with("HTTP/1.1 502")));
}

#[test]
fn a_part_that_answers_after_its_query_harms_nothing_and_goes_nowhere_again() {
    let agent = Agent::new();
    let (sound, held) = (node(|_| Act::Serve), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let addresses = [sound.address, held.local_addr().expect("bound")];
    // Two shards, each with one of the two: the other holders drain, so that the late part has nowhere else to go.
    let (edge, mut watch) = started("after", &Site { aim_ms: 600, ..USUAL }, &agent, &addresses);
    watch.say(&list(2, false, &[(0, addresses[0], "terminating")]).to_string());
    until(&edge, "endpoint_updates", 3);
    let client = waiting(&edge, &request("q", "some", &[0, 1], "Connection: close\r\n"));
    let (mut stream, _) = held.accept().expect("a connection");
    let mut ids = parts(&mut stream).expect("a part");
    if ids.len() < 2 {
        ids.extend(parts(&mut stream).expect("the other"));
    }
    frame(&mut stream, b'a', &format!("{} served 1 -\ncell", ids[0])).expect("told");
    let text = answer(client);
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("\"full\":false"), "{text}");
    // The late one, then a query on the same connection.
    frame(&mut stream, b'a', &format!("{} served 1 -\ncell", ids[1])).expect("told");
    let next = waiting(&edge, &request("next", "look", &[1], "Connection: close\r\n"));
    assert_eq!(parts(&mut stream).expect("on the connection that is open"), ["next.1"]);
    frame(&mut stream, b'a', "next.1 served 1 -\ncell").expect("told");
    assert!(answer(next).starts_with("HTTP/1.1 200"));
    until(&edge, "attempts_dispatched", 3);
}

#[test]
fn an_idle_connection_is_left_before_its_node_may_close_it_by_the_time_in_the_settings() {
    let nodes = [node(|_| Act::Serve), node(|_| Act::Serve)];
    let addresses = nodes.each_ref().map(|n| n.address);
    let agent = Agent::new();
    let site = Site { idle_close_ms: 600, ..USUAL };
    let (edge, _watch) = started("idle", &site, &agent, &addresses);
    assert_eq!(ask(&edge, "q0", "once", &[0]).status, 200);
    until(&edge, "server_connections_idle_closed", 1);
    assert_eq!(ask(&edge, "q1", "once", &[0]).status, 200);
    let open: usize = nodes.iter().map(|n| *n.connections.lock().expect("count")).sum();
    assert_eq!((open, nodes.iter().map(|n| seen(n).len()).sum::<usize>()), (2, 2));
}
