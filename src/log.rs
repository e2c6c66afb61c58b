//! The log: lines on standard error, as text or as JSON objects.

use clap::ValueEnum;
use std::fmt;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// How lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// `quinceflow: ` and the words that `docs/on-call.md` names.
    #[default]
    Text,
    /// A JSON object a line: `timestamp`, `level`, `target` and `fields`, with the same words in `fields.message`.
    Json,
}

/// The words of the line, then its fields; no time and no colour: who collects the lines adds the time.
struct Words;

impl<S, N> FormatEvent<S, N> for Words
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "quinceflow: ")?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Starts the log of this process; a second start changes nothing.
pub fn init(form: LogFormat) {
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(tracing::Level::INFO);
    let _ = match form {
        LogFormat::Text => lines.event_format(Words).try_init(),
        LogFormat::Json => lines.json().try_init(),
    };
}
