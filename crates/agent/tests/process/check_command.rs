//! The `check` command.

use assert_cmd::Command;
use rstest::rstest;

const VALID_SETTINGS: &str = "\
name: agent-1
zone: z1
endpoint: 127.0.0.1:9000
slots: 8
seeds: [127.0.0.1:7000]
admin: 127.0.0.1:0
stop_limit: 30s
log: {format: json, level: info}
";

fn run_check(name: &str, text: &str) -> std::process::Output {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_knapweedwall-agent"));
    let command = command.args(["check", "--settings"]).arg(&path);
    command.output().unwrap()
}

#[rstest]
fn valid_settings_are_accepted() {
    let output = run_check("valid.yaml", VALID_SETTINGS);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).ends_with("valid.yaml: ok\n"));
}

/// Guards against invalid settings being accepted, or being reported without their location and the
/// allowed values.
#[rstest]
#[case::address("endpoint: 127.0.0.1:9000", "endpoint: somewhere", &["endpoint", "somewhere", "port"])]
#[case::slots("slots: 8", "slots: 0", &["slots", "1"])]
#[case::seeds("seeds: [127.0.0.1:7000]", "seeds: []", &["seeds", "1"])]
#[case::unknown("zone: z1", "zone: z1\nweight: 3", &["weight", "slots"])]
#[case::missing("zone: z1\n", "", &["zone"])]
#[case::stop_limit("stop_limit: 30s", "stop_limit: 9h", &["stop_limit", "1"])]
fn invalid_settings_are_reported(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected_parts: &[&str],
) {
    let name = format!("fault-{}.yaml", expected_parts[0]);
    let output = run_check(&name, &VALID_SETTINGS.replace(from, to));
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in expected_parts.iter().chain([&name.as_str()]) {
        assert!(error.contains(part), "{part} is missing in: {error}");
    }
    assert!(error.contains("line"), "no line in: {error}");
}
