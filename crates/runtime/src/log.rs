//! Structured log of a process, written to standard error or standard output.

use std::io;

use garde::Validate;
use knapweedwall_core::Event;
use serde::Deserialize;
use slog::{Drain, KV, Level, LevelFilter, Logger, Record, Serializer, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Capacity of the queue of records to be written. Records beyond it are dropped; their number is
/// logged as soon as there is room again.
const QUEUE_CAPACITY: usize = 4_096;

/// Format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text for reading in a terminal.
    Terminal,
}

/// Lowest level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Threshold {
    /// All records that are compiled into the build.
    Debug,
    /// Records of normal operation and above.
    #[default]
    Info,
    /// Records that need attention and above.
    Warning,
    /// Failures only.
    Error,
}

/// Output stream of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Output {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Settings of the log.
#[derive(Debug, Clone, Copy, Default, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Format of the records.
    #[garde(skip)]
    pub format: Format,
    /// Lowest level that is logged.
    #[garde(skip)]
    pub level: Threshold,
    /// Output stream.
    #[garde(skip)]
    pub output: Output,
}

/// Opens the log. Dropping the guard writes the records that are still queued.
pub fn open(settings: Settings, process: &str) -> (Logger, AsyncGuard) {
    let level = match settings.level {
        Threshold::Debug => Level::Debug,
        Threshold::Info => Level::Info,
        Threshold::Warning => Level::Warning,
        Threshold::Error => Level::Error,
    };
    let (drain, guard) = match settings.output {
        Output::Stderr => open_output(io::stderr(), settings.format, level),
        Output::Stdout => open_output(io::stdout(), settings.format, level),
    };
    let log = Logger::root(drain.fuse(), o!("process" => process.to_owned()));
    (log, guard)
}

fn open_output<W>(output: W, format: Format, level: Level) -> (Async, AsyncGuard)
where
    W: io::Write + Send + 'static,
{
    match format {
        Format::Json => {
            let json = slog_json::Json::new(output).add_default_keys().build();
            spawn_writer(LevelFilter::new(json, level).fuse())
        }
        Format::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            let text = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build();
            spawn_writer(LevelFilter::new(text, level).fuse())
        }
    }
}

fn spawn_writer<D>(drain: D) -> (Async, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".into())
        .build_with_guard()
}

/// Logs an event with its number and fields.
pub fn event(log: &Logger, event: &Event) {
    if event.warning {
        slog::warn!(log, "{}", event.text; Fields(event));
    } else {
        slog::info!(log, "{}", event.text; Fields(event));
    }
}

struct Fields<'a>(&'a Event);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u16("event", self.0.number)?;
        for (name, value) in &self.0.fields {
            serializer.emit_str(name, value)?;
        }
        Ok(())
    }
}
