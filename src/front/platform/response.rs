//! Rendering of the core's answers as responses to `POST /api`.

use super::{JSON, TEXT};
use crate::coordinator::Answer;
use crate::proto::http::Response;
use crate::time::Micros;
use serde::Serialize;
use std::borrow::Cow;

/// Body of an answer.
#[derive(Serialize)]
struct Served<'a> {
    /// Whether the answer is complete.
    full: bool,
    /// Parts of the answer.
    pieces: Vec<Piece<'a>>,
}

/// Part of an answer.
#[derive(Serialize)]
struct Piece<'a> {
    /// Number of the shard.
    tablet: u32,
    /// Value of the part, as UTF-8.
    cell: Cow<'a, str>,
}

/// Returns the response for an answer.
pub(super) fn render(answer: Answer) -> Response {
    match answer {
        Answer::Served { complete, parts } => {
            let piece = |shard: u32, value| Piece {
                tablet: shard,
                cell: String::from_utf8_lossy(value),
            };
            let pieces = parts
                .iter()
                .map(|part| piece(part.shard.0, &part.value))
                .collect();
            match serde_json::to_vec(&Served {
                full: complete,
                pieces,
            }) {
                Ok(body) => Response::new(200, JSON, body),
                Err(error) => Response::new(500, TEXT, format!("{error}\n")),
            }
        }
        Answer::Rejected { retry_after, .. } => {
            let mut response = Response::new(503, TEXT, "refused: ask again\n");
            if let Some(time) = retry_after {
                response.add_header("Retry-After", seconds(time));
            }
            response
        }
        Answer::UnknownClass => Response::new(400, TEXT, "X-Qos names no class\n"),
        Answer::DuplicateRequestId => {
            Response::new(409, TEXT, "X-Trace-Id is that of an open request\n")
        }
        Answer::Failed { late: true } => Response::new(504, TEXT, "out of time\n"),
        Answer::Failed { late: false } => Response::new(502, TEXT, "failed\n"),
    }
}

/// Formats a time in seconds with three decimals, as in the platform's `Retry-After`.
fn seconds(time: Micros) -> String {
    format!("{}.{:03}", time.0 / 1_000_000, time.0 / 1_000 % 1_000)
}
