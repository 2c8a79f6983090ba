//! The configuration in use, and how recently the store confirmed that it is the newest.
//!
//! Each entry process watches the store. One that the store does not serve gets the document from a
//! peer whose heartbeats name a newer version. Documents are sent on request only, since many
//! processes that send each other a large one would fill the links of small hosts.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;

use super::io::{Action, Answer, CallKey, ConfigSource};
use super::machine::{Machine, log, ms};
use crate::clock::Now;
use crate::job::QueueCatalog;
use crate::peer::LinkKey;

/// Time after which a request for a queue that is not known yet may be repeated. Covers a read of the
/// store and a request to a peer.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time that the store has to deliver a version before a peer is asked for it.
const STORE_DELAY: Duration = Duration::from_millis(200);

/// Minimum interval between requests to peers for their configuration.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Interval in which at most [`MAX_LOGGED_MISSES`] requests for unknown queues are logged.
const MISS_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of requests for unknown queues that are logged in an interval.
const MAX_LOGGED_MISSES: u32 = 20;

/// The configuration in use.
#[derive(Debug, Default)]
pub(super) struct Configuration {
    pub(super) catalog: Option<QueueCatalog>,
    document: Bytes,
    /// When the last request to the store was sent whose response showed no newer version.
    confirmed_at: Option<Duration>,
    /// When a heartbeat of a peer first named a newer version than the one in use.
    behind_since: Option<Duration>,
    /// Time of the last request to a peer for its configuration.
    requested_at: Option<Duration>,
    /// Whether the configuration has been reported as unconfirmed.
    unconfirmed: bool,
    /// Start of the current interval for logging requests for unknown queues, and their number.
    logged_misses: (Duration, u32),
}

impl Configuration {
    /// Returns the version in use, or 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Returns the time since the store last confirmed the configuration, if it ever has.
    pub(super) fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns a frame with the configuration in use, if there is one.
    pub(super) fn update_frame(&self) -> Option<Body> {
        let update = wire::ConfigUpdate {
            version: self.version(),
            document: self.document.clone(),
        };
        (!self.document.is_empty()).then_some(Body::ConfigUpdate(update))
    }
}

impl Machine {
    /// Applies a newer configuration. Other entry processes learn of its version from heartbeats.
    pub(super) fn configure(
        &mut self,
        now: Now,
        catalog: QueueCatalog,
        document: Bytes,
        source: ConfigSource,
        out: &mut Vec<Action>,
    ) {
        let before = self.configuration.version();
        if self.configuration.catalog.is_some() && before >= catalog.version {
            return;
        }
        let (source, delay) = match source {
            ConfigSource::Store(requested_at) => ("store", now.since(requested_at)),
            ConfigSource::Peer => ("peer", Duration::ZERO),
        };
        // `before` is the version that was in use until now.
        let fields = vec![
            ("version", catalog.version.to_string()),
            ("before", before.to_string()),
            ("queues", catalog.queues.len().to_string()),
            ("source", source.to_owned()),
            ("delay_ms", ms(delay)),
            ("config_age_ms", self.config_age_ms(now)),
        ];
        log(out, 306, "configuration applied", false, fields);
        let version = i64::try_from(catalog.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        self.update_queue_configs(&catalog);
        self.configuration.catalog = Some(catalog);
        self.configuration.document = document;
        self.configuration.behind_since = None;
        self.configuration.requested_at = None;
        self.update_ready(out);
    }

    /// Records that the store's response to a request sent at `requested_at` showed `version` as the
    /// newest one.
    pub(super) fn confirm_configuration(
        &mut self,
        now: Now,
        version: u64,
        requested_at: Duration,
        out: &mut Vec<Action>,
    ) {
        if version < self.configuration.version() {
            return;
        }
        let age = self.config_age_ms(now);
        let confirmed_at = self.configuration.confirmed_at;
        self.configuration.confirmed_at = confirmed_at.max(Some(requested_at));
        let wall_s = i64::try_from(now.wall_ms / 1_000).unwrap_or(i64::MAX);
        self.metrics.config_confirmed.set(wall_s);
        if self.configuration.unconfirmed {
            self.configuration.unconfirmed = false;
            let fields = vec![
                ("config", self.configuration.version().to_string()),
                ("config_age_ms", age),
            ];
            log(out, 331, "configuration confirmed again", false, fields);
        }
    }

    /// Reports a configuration that the store has not confirmed for some time.
    pub(super) fn check_configuration_age(&mut self, now: Now, out: &mut Vec<Action>) {
        let age = self.configuration.age(now);
        let limit = self.settings.config_limit;
        if self.configuration.unconfirmed || age.is_none_or(|age| age < limit) {
            return;
        }
        self.configuration.unconfirmed = true;
        let fields = vec![
            ("config", self.configuration.version().to_string()),
            ("config_age_ms", self.config_age_ms(now)),
        ];
        log(out, 330, "configuration not confirmed", true, fields);
    }

    /// Answers a request for a queue that the configuration in use does not have. Unless the store
    /// has recently confirmed the configuration, the queue may have been added, so that the request
    /// may be repeated.
    pub(super) fn reject_unknown_queue(&mut self, now: Now, call: CallKey, out: &mut Vec<Action>) {
        self.log_unknown_queue(now, out);
        let limit = self.settings.config_limit;
        let answer = match self.configuration.age(now) {
            Some(age) if age <= limit => Answer::NoQueue,
            _ => Answer::NotRun {
                reason: "the queue is not known yet".into(),
                retry: RETRY_AFTER,
            },
        };
        self.reply(call, answer, out);
    }

    fn log_unknown_queue(&mut self, now: Now, out: &mut Vec<Action>) {
        let (since, count) = &mut self.configuration.logged_misses;
        if now.since(*since) >= MISS_LOG_INTERVAL {
            (*since, *count) = (now.mono, 0);
        }
        *count += 1;
        if *count > MAX_LOGGED_MISSES {
            return;
        }
        let fields = vec![
            ("config", self.configuration.version().to_string()),
            ("config_age_ms", self.config_age_ms(now)),
        ];
        log(out, 329, "request for an unknown queue", false, fields);
    }

    /// Returns the age of the configuration for log events; empty if the store has never confirmed
    /// it.
    pub(super) fn config_age_ms(&self, now: Now) -> String {
        self.configuration.age(now).map(ms).unwrap_or_default()
    }

    /// Asks a peer for its configuration if its heartbeat names a newer version. While this process
    /// has a configuration, that is done only when the store has not delivered the version within
    /// [`STORE_DELAY`]. Repeated with later heartbeats, of whichever peer, until the version has
    /// arrived.
    pub(super) fn request_newer_configuration(
        &mut self,
        now: Now,
        link: LinkKey,
        version: u64,
        out: &mut Vec<Action>,
    ) {
        let configuration = &mut self.configuration;
        if version <= configuration.version() {
            return;
        }
        let behind_since = *configuration.behind_since.get_or_insert(now.mono);
        let waiting = configuration.catalog.is_some() && now.since(behind_since) < STORE_DELAY;
        let requested_at = configuration.requested_at;
        if waiting || requested_at.is_some_and(|at| now.since(at) < REQUEST_INTERVAL) {
            return;
        }
        configuration.requested_at = Some(now.mono);
        let request = Body::ConfigRequest(wire::ConfigRequest {});
        out.push(Action::Send(link, request));
    }

    /// Updates the queue configurations of open durable jobs.
    fn update_queue_configs(&mut self, catalog: &QueueCatalog) {
        let open = self
            .jobs
            .iter_open()
            .filter(|(_, job)| job.durable.is_some());
        for key in open.map(|(key, _)| key).collect::<Vec<_>>() {
            if let Some(job) = self.jobs.get_mut(key)
                && let Some(queue_config) = catalog.queue(&job.request.queue)
            {
                job.queue_config = queue_config.clone();
            }
        }
    }
}
