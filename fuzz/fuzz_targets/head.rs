//! Checks that arbitrary bytes on a connection are parsed to HTTP requests and at most one error,
//! after which nothing more is parsed.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::proto::http::{Response, ServerConnection};

fuzz_target!(|bytes: &[u8]| {
    let mut server = ServerConnection::default();
    server.input().extend(bytes);
    server.on_end_of_stream();
    let mut errors = 0;
    while let Some(result) = server.next_request() {
        match result {
            Ok(_) => server.respond(Response::new(200, "", "x"), false),
            Err(error) => {
                errors += 1;
                server.respond(Response::new(error.status(), "", ""), true);
            }
        }
        let written = server.output().len();
        server.advance_output(written);
    }
    assert!(errors <= 1);
});
