//! The log: lines on standard error, as text or as JSON objects.
//!
//! The subscriber of `tracing` is global, since a process has one standard error.

use clap::ValueEnum;
use std::fmt;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// The format of log lines. The texts of the variants are part of the program's `--help`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// A line an event: `quinceflow: `, the level, the message and the fields as `name=value`.
    #[default]
    Text,
    /// A JSON object a line: `timestamp`, `level`, `target` and `fields`, with the message in
    /// `fields.message`.
    Json,
}

/// The text format: the level, the message and the fields, without colours. It has no timestamp,
/// since the collector of the log adds one.
struct PlainFormat;

impl<S, N> FormatEvent<S, N> for PlainFormat
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
        write!(writer, "quinceflow: {} ", event.metadata().level())?;
        context
            .field_format()
            .format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Starts the log of this process. Later calls have no effect.
pub fn init(format: LogFormat) {
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(tracing::Level::INFO);
    let _ = match format {
        LogFormat::Text => subscriber.event_format(PlainFormat).try_init(),
        LogFormat::Json => subscriber.json().try_init(),
    };
}
