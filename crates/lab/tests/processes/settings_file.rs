//! Settings from a file and from the command line.

use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use assert_cmd::Command;
use clap::Parser;
use knapweedwall_lab::standin_endpoint;
use knapweedwall_lab::standin_store::{Options, Outage};
use rstest::rstest;

use crate::child::{ENDPOINT, STORE};

/// Writes a settings file with this name into the tests' own directory.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::File::create(&path)
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    path
}

/// Guards against options that lose against the file, or settings of the file that are dropped.
#[rstest]
fn options_take_precedence() {
    let path = file(
        "store.yaml",
        "seed: 7\ncontrols:\n  write_time: 9ms\n  write_rate: 50\n  outage: unavailable\n  \
         lost: {share: 0.5}\n",
    );
    let path = path.to_str().unwrap();
    let arguments = [
        "x",
        "--settings",
        path,
        "--write-time",
        "2ms",
        "--seed",
        "8",
    ];
    let settings = Options::parse_from(arguments).resolve().unwrap();
    let controls = settings.controls;
    assert_eq!(settings.seed, 8);
    assert_eq!(controls.write_time, Duration::from_millis(2));
    assert_eq!((controls.write_rate, controls.read_rate), (50, 2_000));
    assert_eq!(controls.outage, Outage::Unavailable);
    assert_eq!(f64::from(controls.lost.share), 0.5);
}

/// Guards against an endpoint's file that is read with the names of the store's.
#[rstest]
fn endpoint_reads_its_file() {
    let text = "slots: 3\ncontrols:\n  speed: 0.5\n  stall: {every: 2s, length: 100ms}\n";
    let path = file("endpoint.yaml", text);
    let arguments = ["x", "--settings", path.to_str().unwrap(), "--speed", "4"];
    let options = standin_endpoint::Options::parse_from(arguments);
    let settings = options.resolve().unwrap();
    assert_eq!(
        (settings.slots, f64::from(settings.controls.speed)),
        (3, 4.0)
    );
    assert_eq!(settings.controls.stall.every, Duration::from_secs(2));
}

/// Guards against wrong settings that are ignored.
#[rstest]
#[case::field(STORE, "field.yaml", "contols: {}\n", "contols")]
#[case::share(
    STORE,
    "share.yaml",
    "controls: {lost: {share: 2}}\n",
    "between 0 and 1"
)]
#[case::speed(ENDPOINT, "speed.yaml", "controls: {speed: 0}\n", "positive")]
fn wrong_file_is_an_error(
    #[case] binary: &str,
    #[case] name: &str,
    #[case] text: &str,
    #[case] reason: &str,
) {
    let path = file(name, text);
    let output = Command::new(binary)
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(error.contains(reason) && error.contains(name), "{error}");
}
