//! Log of a process: structured records on standard error or standard output.

use std::io;

use garde::Validate;
use knapweedwall_core::Event;
use serde::Deserialize;
use slog::{Drain, KV, Level, LevelFilter, Logger, Record, Serializer, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Records that may wait to be written. Further records are dropped, counted, and the count is
/// logged as soon as there is room.
const WAITING_RECORDS: usize = 4_096;

/// Form of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Terminal,
}

/// Least important level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Threshold {
    /// Everything that the build contains.
    Debug,
    /// Normal operation.
    #[default]
    Info,
    /// What needs attention.
    Warning,
    /// Failures.
    Error,
}

/// Where the records go.
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
    /// Form of the records.
    #[garde(skip)]
    pub format: Format,
    /// Least important level.
    #[garde(skip)]
    pub level: Threshold,
    /// Where the records go.
    #[garde(skip)]
    pub output: Output,
}

/// Opens the log. The records still waiting are written when the guard is
/// dropped.
pub fn open(settings: Settings, process: &str) -> (Logger, AsyncGuard) {
    let level = match settings.level {
        Threshold::Debug => Level::Debug,
        Threshold::Info => Level::Info,
        Threshold::Warning => Level::Warning,
        Threshold::Error => Level::Error,
    };
    let (drain, guard) = match settings.output {
        Output::Stderr => open_on(io::stderr(), settings.format, level),
        Output::Stdout => open_on(io::stdout(), settings.format, level),
    };
    let log = Logger::root(drain.fuse(), o!("process" => process.to_owned()));
    (log, guard)
}

fn open_on<W>(output: W, format: Format, level: Level) -> (Async, AsyncGuard)
where
    W: io::Write + Send + 'static,
{
    match format {
        Format::Json => {
            let json = slog_json::Json::new(output).add_default_keys().build();
            start(LevelFilter::new(json, level).fuse())
        }
        Format::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            let text = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build();
            start(LevelFilter::new(text, level).fuse())
        }
    }
}

fn start<D>(drain: D) -> (Async, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    Async::new(drain)
        .chan_size(WAITING_RECORDS)
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
