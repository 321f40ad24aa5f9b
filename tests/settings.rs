//! Tests that the example settings are valid and that each kind of error gives one clear line.

use std::path::{Path, PathBuf};

use comfreyhead::process::settings::{LogFormat, RoleSettings, Settings, TargetKind};
use comfreyhead::version::config::{ConfigChange, ConfigContent, validate};
use insta::assert_snapshot;

const ENTRY: &str = "\
[process]
name = entry-1
role = entry
data_centre = sofia-1

[addresses]
callers = 0.0.0.0:8080
control = 10.1.0.1:7000
operators = 10.1.0.1:7001

[platform]
log = http://10.9.0.1:8000/
vms = 10.9.0.2:8000
weights = http://weights.platform:8000

[peers]
seeds = 10.1.0.2:7000, 10.1.0.3:7000

[tokens]
operator_sha256 = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
peer = a-token-of-the-deployment
";

/// Returns the settings of the entry with `old` replaced by `new`.
fn entry_with(old: &str, new: &str) -> String {
    assert!(ENTRY.contains(old), "{old} is not in the fixture");
    ENTRY.replace(old, new)
}

/// Returns the settings of an agent.
fn agent_text() -> String {
    let text = entry_with("role = entry", "role = agent").replace("callers =", "work =");
    text + "\n[target]\naddress = 127.0.0.1:9000\nkind = engine\n"
}

fn error_of(text: &str) -> String {
    let error = Settings::parse(Path::new("entry.ini"), text).unwrap_err();
    error.to_string()
}

#[test]
fn valid_entry_settings_are_read_with_their_defaults() {
    let settings = Settings::parse(Path::new("entry.ini"), ENTRY).unwrap();

    assert_eq!(&*settings.process.name, "entry-1");
    assert!(matches!(&settings.role, RoleSettings::Entry(entry) if entry.callers.port() == 8080));
    assert_eq!(&*settings.platform.log, "http://10.9.0.1:8000");
    assert_eq!(&*settings.platform.vms, "http://10.9.0.2:8000");
    assert_eq!(settings.peers.seeds.len(), 2);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.limits.max_body_bytes, 4 << 20);
}

#[test]
fn valid_agent_settings_name_the_target() {
    let settings = Settings::parse(Path::new("agent.ini"), &agent_text()).unwrap();

    let RoleSettings::Agent(agent) = settings.role else {
        panic!("expected an agent");
    };
    assert_eq!(agent.target.port(), 9000);
    assert_eq!(agent.kind, TargetKind::Engine);
}

#[test]
fn every_example_file_is_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings");
    let files: Vec<PathBuf> = ["guild", "frontenac"]
        .iter()
        .flat_map(|deployment| std::fs::read_dir(root.join(deployment)).unwrap())
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "ini"))
        .collect();

    let errors: Vec<String> = files
        .iter()
        .filter_map(|path| Settings::load(path).err())
        .map(|err| err.to_string())
        .collect();

    assert_eq!(errors, Vec::<String>::new());
    assert!(6 <= files.len(), "found {}", files.len());
}

#[test]
fn every_first_version_is_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings");
    for deployment in ["guild", "frontenac"] {
        let text = std::fs::read_to_string(root.join(deployment).join("first-version.json"));
        let changes: Vec<ConfigChange> = serde_json::from_str(&text.unwrap()).unwrap();
        let mut content = ConfigContent::default();

        for change in &changes {
            change.apply(&mut content).unwrap();
        }

        assert_eq!(validate(&content), [], "{deployment}");
        assert_eq!((content.targets.len(), content.accounts.len()), (19, 10));
    }
}

#[test]
fn debug_output_omits_the_peer_token() {
    let settings = Settings::parse(Path::new("entry.ini"), ENTRY).unwrap();

    let text = format!("{settings:?}");

    assert!(!text.contains("a-token-of-the-deployment"));
}

#[test]
fn missing_file() {
    let error = Settings::load(Path::new("no-such.ini")).unwrap_err();

    assert_snapshot!(error, @"no-such.ini: No such file or directory (os error 2)");
}

#[test]
fn invalid_ini_syntax() {
    assert_snapshot!(error_of("[process\nname = entry-1\n"), @r#"entry.ini: line 3:1 expecting "[Some(']')]" but found EOF."#);
}

#[test]
fn key_before_the_first_section() {
    assert_snapshot!(error_of(&format!("level = info\n{ENTRY}")), @"entry.ini: level: expected a [section] before the first key");
}

#[test]
fn missing_section() {
    let text = entry_with("[peers]\nseeds = 10.1.0.2:7000, 10.1.0.3:7000\n", "");

    assert_snapshot!(error_of(&text), @"entry.ini: [peers]: missing section, expected the keys seeds");
}

#[test]
fn unknown_section() {
    assert_snapshot!(error_of(&format!("{ENTRY}[limit]\n")), @"entry.ini: [limit]: unknown section, expected one of process, addresses, platform, peers, target, tokens, log, limits");
}

#[test]
fn duplicate_section() {
    assert_snapshot!(error_of(&format!("{ENTRY}[peers]\nseeds = 10.1.0.9:7000\n")), @"entry.ini: [peers]: duplicate section");
}

#[test]
fn unknown_key() {
    assert_snapshot!(error_of(&entry_with("seeds =", "seed =")), @"entry.ini: [peers] seed: unknown key, expected one of seeds");
}

#[test]
fn duplicate_key() {
    assert_snapshot!(error_of(&entry_with("role = entry", "role = entry\nrole = agent")), @"entry.ini: [process] role: occurs 2 times, expected once");
}

#[test]
fn missing_key() {
    assert_snapshot!(error_of(&entry_with("name = entry-1\n", "")), @"entry.ini: [process] name: missing, expected a name of lower-case letters, digits, '-', '_' and '.'");
}

#[test]
fn empty_value() {
    assert_snapshot!(error_of(&entry_with("10.9.0.2:8000", "")), @"entry.ini: [platform] vms: empty, expected a value");
}

#[test]
fn unknown_role() {
    assert_snapshot!(error_of(&entry_with("role = entry", "role = router")), @r#"entry.ini: [process] role: expected entry or agent, found "router""#);
}

#[test]
fn invalid_name() {
    assert_snapshot!(error_of(&entry_with("sofia-1", "Sofia 1")), @r#"entry.ini: [process] data_centre: expected a name of lower-case letters, digits, '-', '_' and '.', found "Sofia 1""#);
}

#[test]
fn invalid_address() {
    assert_snapshot!(error_of(&entry_with("10.1.0.1:7001", "ops.guild:7001")), @r#"entry.ini: [addresses] operators: expected an IP address and a port, such as 10.0.0.7:7000, found "ops.guild:7001""#);
}

#[test]
fn unreachable_control_address() {
    assert_snapshot!(error_of(&entry_with("10.1.0.1:7000", "0.0.0.0:7000")), @"entry.ini: [addresses] control: expected an address that peers can reach, found 0.0.0.0:7000");
}

#[test]
fn two_listeners_on_one_port() {
    assert_snapshot!(error_of(&entry_with("0.0.0.0:8080", "0.0.0.0:7001")), @"entry.ini: [addresses] operators: expected a different port from callers, found 10.1.0.1:7001");
}

#[test]
fn invalid_platform_url() {
    assert_snapshot!(error_of(&entry_with("http://10.9.0.1", "ftp://10.9.0.1")), @r#"entry.ini: [platform] log: expected an http URL or an IP address and a port, found "ftp://10.9.0.1:8000/""#);
}

#[test]
fn invalid_seed_in_a_list() {
    assert_snapshot!(error_of(&entry_with("10.1.0.3:7000", "10.1.0.3")), @r#"entry.ini: [peers] seeds: expected control addresses separated by commas, each an IP address and a port, found "10.1.0.3""#);
}

#[test]
fn agent_address_in_an_entry() {
    assert_snapshot!(error_of(&entry_with("callers =", "work = 10.1.0.1:1\ncallers =")), @"entry.ini: [addresses] work: allowed only with role agent");
}

#[test]
fn target_section_in_an_entry() {
    assert_snapshot!(error_of(&format!("{ENTRY}[target]\nkind = engine\n")), @"entry.ini: [target]: allowed only with role agent");
}

#[test]
fn agent_without_a_target() {
    let text = agent_text();
    let (text, _) = text.split_once("[target]").unwrap();

    assert_snapshot!(error_of(text), @"entry.ini: [target]: missing section, expected the keys address, kind");
}

#[test]
fn unknown_target_kind() {
    assert_snapshot!(error_of(&agent_text().replace("engine", "database")), @r#"entry.ini: [target] kind: expected engine or service, found "database""#);
}

#[test]
fn invalid_operator_digest() {
    assert_snapshot!(error_of(&entry_with("5e884898", "5E88")), @r#"entry.ini: [tokens] operator_sha256: expected SHA-256 digests separated by commas, each of 64 lower-case hex digits, found "5E88da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8""#);
}

#[test]
fn error_about_a_short_peer_token_omits_it() {
    assert_snapshot!(error_of(&entry_with("a-token-of-the-deployment", "secret")), @"entry.ini: [tokens] peer: expected a token of at least 16 bytes");
}

#[test]
fn unknown_log_level() {
    assert_snapshot!(error_of(&format!("{ENTRY}[log]\nlevel = loud\n")), @r#"entry.ini: [log] level: expected critical, error, warning, info or debug, found "loud""#);
}

#[test]
fn value_that_is_not_a_number() {
    assert_snapshot!(error_of(&format!("{ENTRY}[limits]\nmax_body_bytes = 4 MB\n")), @r#"entry.ini: [limits] max_body_bytes: expected a number from 1 to 1073741824, found "4 MB""#);
}

#[test]
fn number_out_of_range() {
    assert_snapshot!(error_of(&format!("{ENTRY}[limits]\ndrain_seconds = 0\n")), @r#"entry.ini: [limits] drain_seconds: expected a number from 1 to 86400, found "0""#);
}
