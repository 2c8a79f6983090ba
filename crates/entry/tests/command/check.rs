//! `knapweedwall-entry check`, `--help` and `--version`.

use assert_cmd::Command;
use rstest::rstest;

use crate::fixture::{settings_file, settings_without_store};

fn run(args: &[&str]) -> (bool, String) {
    let output = Command::cargo_bin("knapweedwall-entry")
        .unwrap()
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

// Guards against an outdated sample file.
#[rstest]
fn sample_file_is_valid() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/samples/entry.yaml");
    let (success, text) = run(&["check", "--settings", sample]);
    assert!(success, "{text}");
    assert!(text.contains("settings of entry-1 are valid"));
}

// Guards against commented-out fields in the sample file that do not exist.
#[rstest]
fn fields_of_sample_file_exist() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/samples/entry.yaml");
    let text = std::fs::read_to_string(sample).unwrap();
    let mut uncommented = String::new();
    for line in text.lines() {
        // A `#` that is not followed by a space marks a field with its default.
        let (indent, rest) = line.split_at(line.len() - line.trim_start().len());
        let field = rest.strip_prefix('#').filter(|rest| !rest.starts_with(' '));
        uncommented.push_str(&format!("{indent}{}\n", field.unwrap_or(rest)));
    }
    assert!(uncommented.contains("  unread: 16MiB") && uncommented.contains("  route_limit: 5s"));
    let path = settings_file("uncommented", &uncommented);
    let (success, text) = run(&["check", "--settings", path.to_str().unwrap()]);
    assert!(success, "{text}\n{uncommented}");
}

// Guards against invalid settings that are not detected until the process runs.
#[rstest]
#[case(1, "zone: a", "zone: a\ncolour: red", &["line 3", "colour"])]
#[case(2, "entry-1", "'entry 1'", &["line 1", "`name`", "\"entry 1\""])]
#[case(3, "http: {listen: '127.0.0.1:0'}", "http: {listen: here}", &["line 3"])]
#[case(4, "frames: {", "frames: {seeds: [nowhere], ", &["line 4", "`frames.seeds[0]`", "nowhere"])]
#[case(5, "store: {", "store: {timeout: 1ms, ", &["line 6", "`store.timeout`", "found 1ms"])]
fn invalid_settings_are_reported(
    #[case] number: u8,
    #[case] good: &str,
    #[case] bad: &str,
    #[case] parts: &[&str],
) {
    let settings = settings_without_store().replace(good, bad);
    let path = settings_file(&format!("bad-{number}"), &settings);
    let (success, text) = run(&["check", "--settings", path.to_str().unwrap()]);
    assert!(!success);
    for part in parts {
        assert!(text.contains(part), "{part} is not in\n{text}");
    }
}

// Guards against missing or incomplete help and version output.
#[rstest]
#[case(&["--help"], "check --settings")]
#[case(&["run", "--help"], "--settings <FILE>")]
#[case(&["--version"], "knapweedwall-entry 0")]
fn help_and_version_are_shown(#[case] args: &[&str], #[case] part: &str) {
    let (success, text) = run(args);
    assert!(success);
    assert!(text.contains(part), "{text}");
}
