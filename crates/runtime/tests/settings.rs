//! Settings files: units, and errors that state the location, the value found and what was expected.
#![allow(clippy::unwrap_used, reason = "a failure in a fixture fails its test")]

use std::time::Duration;

use garde::Validate;
use knapweedwall_runtime::ByteSize;
use knapweedwall_runtime::settings::{
    Error, duration_within, load, number_within, parse, process_name, size_within, socket_address,
};
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Sample {
    #[garde(custom(process_name))]
    name: String,
    #[serde(with = "humantime_serde")]
    #[garde(custom(duration_within(Duration::from_secs(1), Duration::from_secs(60))))]
    wait: Duration,
    #[garde(custom(size_within(1 << 10, 1 << 20)))]
    size: ByteSize,
    #[garde(custom(number_within(1, 9)))]
    count: u32,
    #[garde(custom(socket_address))]
    address: String,
}

const GOOD: &str = "name: n-1\nwait: 30s\nsize: 64KiB\ncount: 3\naddress: 127.0.0.1:80\n";

// Guards against units that are parsed incorrectly.
#[rstest]
fn units_are_read() {
    let sample: Sample = parse(GOOD).unwrap();
    assert_eq!(sample.name, "n-1");
    assert_eq!(sample.wait, Duration::from_secs(30));
    assert_eq!(sample.size, ByteSize(65_536));
    assert_eq!((sample.count, sample.address.as_str()), (3, "127.0.0.1:80"));
}

// Guards against error messages that do not locate and explain the error.
#[rstest]
#[case("wait: 30s", "wait: 2m", &["line 2", "`wait`", "found 120s", "expected 1s to 60s"])]
#[case("wait: 30s", "wait: 30", &["line 2", "\"30\"", "a duration"])]
#[case("wait: 30s", "wait: soon", &["line 2", "\"soon\"", "a duration"])]
#[case("size: 64KiB", "size: 64", &["line 3", "\"64\"", "B, KiB, MiB or GiB"])]
#[case("size: 64KiB", "size: -1KiB", &["line 3", "\"-1KiB\"", "whole number"])]
#[case("size: 64KiB", "size: 99999999999999999999GiB", &["line 3", "whole number"])]
#[case("size: 64KiB", "size: 2MiB", &["line 3", "`size`", "found 2MiB", "1KiB to 1MiB"])]
#[case("count: 3", "count: 10", &["line 4", "`count`", "found 10", "expected 1 to 9"])]
#[case("count: 3", "count: many", &["line 4"])]
#[case("count: 3", "count: 3\ncount: 4", &["line 5", "duplicate", "count"])]
#[case("count: 3", "count: 3\ncolour: red", &["line 5", "colour", "expected one of"])]
#[case("count: 3\n", "", &["missing field `count`"])]
#[case("name: n-1", "name: a b", &["line 1", "`name`", "\"a b\"", "A-Z a-z 0-9"])]
#[case("address: 127.0.0.1:80", "address: here", &["line 5", "`address`", "IP address with a port"])]
#[case("wait: 30s", "wait: [30s", &["line"])]
fn error_is_described(#[case] good: &str, #[case] bad: &str, #[case] parts: &[&str]) {
    let text = GOOD.replace(good, bad);
    let message = parse::<Sample>(&text).unwrap_err().to_string();
    for part in parts {
        assert!(message.contains(part), "{part} is not in\n{message}");
    }
}

// Guards against reporting invalid values one at a time, which would take an operator one start of
// the process for each.
#[rstest]
fn all_invalid_values_are_listed() {
    let text = "name: a b\nwait: 2m\nsize: 2MiB\ncount: 0\naddress: here\n";
    let message = parse::<Sample>(text).unwrap_err().to_string();
    for field in ["`name`", "`wait`", "`size`", "`count`", "`address`"] {
        assert!(message.contains(field), "{field} is not in\n{message}");
    }
}

// Guards against an error for a missing file that does not name the file.
#[rstest]
fn missing_file_is_named() {
    let path = std::path::Path::new("/nonexistent/settings.yaml");
    let error = load::<Sample>(path).unwrap_err();
    assert!(matches!(error, Error::Read { .. }));
    assert!(error.to_string().contains("/nonexistent/settings.yaml"));
}
