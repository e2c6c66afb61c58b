//! Tests of the error texts that operators read in the log.

use super::*;

#[test]
fn startup_errors_state_the_address_or_the_resource() {
    let io_error = || io::Error::other("no more");
    let address = SocketAddr::from(([127, 0, 0, 1], 8080));
    let errors = [
        ServerError::Listen {
            address,
            source: io_error(),
        },
        ServerError::LocalAddress(io_error()),
        ServerError::Coroutine(io_error()),
        ServerError::Signals(io_error()),
        ServerError::Timer(io_error()),
        ServerError::CursorKey(CursorKeyError::Malformed),
        ServerError::CoordinatorPanicked,
    ];
    let texts = [
        "cannot listen on 127.0.0.1:8080: no more",
        "no more",
        "cannot start a coroutine: no more",
        "no more",
        "no more",
        "cursor_key must be 32 hexadecimal digits or more, an even number",
        "the coroutine of a coordinator panicked",
    ];
    assert_eq!(errors.map(|e| e.to_string()), texts);
}
