//! Rendering of the coordinator's answers as responses to `POST /api`.

use super::{JSON, TEXT};
use crate::coordinator::Answer;
use crate::proto::http::Response;
use crate::time::Micros;
use serde::Serialize;
use std::borrow::Cow;

/// The body of an answer.
#[derive(Serialize)]
struct AnswerBody<'a> {
    #[serde(rename = "full")]
    complete: bool,
    #[serde(rename = "pieces")]
    parts: Vec<AnsweredPart<'a>>,
}

/// A part of an answer.
#[derive(Serialize)]
struct AnsweredPart<'a> {
    /// The number of the shard.
    #[serde(rename = "tablet")]
    shard: u32,
    /// The value of the part, in which U+FFFD replaces each invalid UTF-8 sequence.
    #[serde(rename = "cell")]
    value: Cow<'a, str>,
}

/// Returns the response for an answer.
pub(super) fn render(answer: Answer) -> Response {
    match answer {
        Answer::Served { complete, parts } => {
            let answered_part = |shard: u32, value| AnsweredPart {
                shard,
                value: String::from_utf8_lossy(value),
            };
            let parts = parts
                .iter()
                .map(|part| answered_part(part.shard.0, &part.value))
                .collect();
            match serde_json::to_vec(&AnswerBody { complete, parts }) {
                Ok(body) => Response::new(200, JSON, body),
                Err(error) => Response::new(500, TEXT, format!("{error}\n")),
            }
        }
        Answer::Rejected { retry_after, .. } => {
            let mut response = Response::new(503, TEXT, "refused: ask again\n");
            if let Some(time) = retry_after {
                response.add_header("Retry-After", format_seconds(time));
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

/// Formats a time in seconds with three decimals, the platform's format of `Retry-After`.
fn format_seconds(time: Micros) -> String {
    format!("{}.{:03}", time.0 / 1_000_000, time.0 / 1_000 % 1_000)
}
