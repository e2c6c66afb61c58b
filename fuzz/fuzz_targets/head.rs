//! Checks that arbitrary bytes on a connection are HTTP requests and at most one error, after which
//! nothing more is parsed.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::proto::http::{Response, ServerConnection};

fuzz_target!(|bytes: &[u8]| {
    let mut server = ServerConnection::default();
    server.input().extend(bytes);
    server.on_end_of_stream();
    let mut errors = 0;
    while let Some(polled) = server.next_request() {
        match polled {
            Ok(_) => server.respond(Response::new(200, "", "x"), false),
            Err(e) => {
                errors += 1;
                server.respond(Response::new(e.status(), "", ""), true);
            }
        }
        let n = server.output().len();
        server.advance_output(n);
    }
    assert!(errors <= 1);
});
