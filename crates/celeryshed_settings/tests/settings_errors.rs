//! Guards the texts of settings errors, for which operators search. Each must name the file,
//! section, key, rejected value and accepted values.

use std::path::Path;

use celeryshed_settings::{
    ContractFile, EntrySettings, SettingsReader, SideSettings, StandinSettings,
};

const ENTRY: &str = "[instance]\nname = e1\nzone = puget-a\nregion = puget\n\
    listen = 127.0.0.1:8080\n[platform]\nlog_url = http://127.0.0.1:9000\n\
    list_url = http://127.0.0.1:9001\n";

fn entry_error(text: &str) -> String {
    let reader = match SettingsReader::parse(Path::new("entry.ini"), text) {
        Ok(reader) => reader,
        Err(error) => return error.to_string(),
    };
    EntrySettings::read(reader).expect_err("settings must be refused").to_string()
}

#[test]
fn entry_errors_name_place_and_accepted_values() {
    let cases = [
        (
            ENTRY.replace("listen = 127.0.0.1:8080", "listen = localhost"),
            "entry.ini: section [instance], key listen: \"localhost\" is not accepted; \
             accepted: an IP address and port, such as 127.0.0.1:8080",
        ),
        (
            ENTRY.replace("name = e1\n", ""),
            "entry.ini: section [instance], key name: missing; accepted: a value",
        ),
        (
            ENTRY.replace("zone = puget-a", "zone = two words"),
            "entry.ini: section [instance], key zone: \"two words\" is not accepted; accepted: \
             availability zone \"two words\" is not a name: accepted are 1 to 64 of a-z, A-Z, \
             0-9, '-', '_' and '.'",
        ),
        (
            format!("{ENTRY}[bookings]\nwindow_s = 86341\n"),
            "entry.ini: section [bookings], key window_s: \"86341\" is not accepted; accepted: \
             at least 60 below log_retention_s of section [configuration]",
        ),
        (
            format!("{ENTRY}[bookings]\nwindow = 5\n"),
            "entry.ini: section [bookings], key window: \"5\" is not accepted; accepted: one of \
             the keys claim_partitions, window_s",
        ),
        (
            format!("{ENTRY}[booking]\nwindow_s = 50\n"),
            "entry.ini: section [booking]: \"booking\" is not accepted; accepted: a known section",
        ),
        (
            format!("{ENTRY}[serving]\nmax_request_s = 0\n"),
            "entry.ini: section [serving], key max_request_s: \"0\" is not accepted; accepted: \
             an integer from 1 to 86400",
        ),
        (
            format!("{ENTRY}[serving]\nqueue_limit = 1\nqueue_limit = 2\n"),
            "entry.ini: section [serving], key queue_limit: \"2\" is not accepted; accepted: \
             each key once",
        ),
        (
            ENTRY.replace("http://127.0.0.1:9001", "127.0.0.1:9001"),
            "entry.ini: section [platform], key list_url: \"127.0.0.1:9001\" is not accepted; \
             accepted: a URL such as http://127.0.0.1:9000",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(entry_error(&text), expected, "settings:\n{text}");
    }
}

#[test]
fn all_errors_of_a_file_are_listed() {
    let error = entry_error("[instance]\nname = a b\nlisten = x\n");
    for part in ["key name", "key zone", "key region", "key listen", "section [platform]"] {
        assert!(error.contains(part), "{part} is missing in:\n{error}");
    }
}

#[test]
fn syntax_errors_name_the_line() {
    let error = entry_error("[instance\nname = e1\n");
    assert!(error.starts_with("entry.ini: line "), "{error}");
}

#[test]
fn missing_endpoint_section_is_an_error() {
    let text = ENTRY.replace(
        "list_url",
        "store_url = http://127.0.0.1:9002\norigin_url = http://127.0.0.1:9003\nlist_url",
    );
    let reader = SettingsReader::parse(Path::new("side.ini"), &text).expect("valid INI");
    let error = SideSettings::read(reader).expect_err("no endpoint").to_string();
    assert!(error.contains("side.ini: section [endpoint]: missing; accepted: this section"));
}

#[test]
fn contract_errors_name_place_and_accepted_values() {
    let contract = "[contract portal]\nservice = copywriter\ntokens_per_s = 100\n\
        requests_in_progress = 4\n";
    let hash = format!("api_key_hash = {}\n", "ab".repeat(32));
    let cases = [
        (contract.to_owned(), "section [contract portal], key api_key_hash: missing"),
        (format!("{contract}api_key_hash = secret\n"), "accepted: \"secret\" is not a digest"),
        (format!("{contract}{hash}objective_percent = 100\n"), "key objective_percent: \"100\""),
        (format!("{contract}{hash}scarcity = maybe\n"), "one of wait, smaller_model, refuse"),
        (format!("{contract}{hash}scarcity = smaller_model\n"), "key smaller_service: missing"),
        (format!("{contract}{hash}displaces = a!\n"), "key displaces: \"a!\""),
        (format!("{contract}{hash}tokens_per_sec = 4\n"), "key tokens_per_sec: \"4\""),
        (
            "[service copywriter]\nendpoints = 3\nslots_per_endpoint = 2\n".to_owned(),
            "key tokens_per_s_per_endpoint: \"0\" is not accepted; accepted: at least 1",
        ),
    ];
    for (text, expected) in cases {
        let reader = SettingsReader::parse(Path::new("c.ini"), &text).expect("valid INI");
        let error = ContractFile::read(reader).expect_err("must be refused").to_string();
        assert!(error.contains(expected), "expected {expected:?} in:\n{error}");
    }
}

#[test]
fn standin_file_may_describe_a_whole_platform() {
    let text = "[log]\nlisten = 127.0.0.1:9000\nretention_s = 60\n\
        [list]\nlisten = 127.0.0.1:9001\nlag_ms = 500\n\
        [instance e1]\naddress = 127.0.0.1:8080\nzone = puget-a\nregion = puget\n\
        [store]\nlisten = 127.0.0.1:9002\n[origin]\nlisten = 127.0.0.1:9003\nrate_mib_per_s = 4\n\
        [engine g1]\nlisten = 127.0.0.1:9100\n[service d1]\nlisten = 127.0.0.1:9200\n";
    let reader = SettingsReader::parse(Path::new("s.ini"), text).expect("valid INI");
    let settings = StandinSettings::read(reader).expect("valid settings");
    assert_eq!(settings.engines.len(), 1);
    assert_eq!(settings.services.len(), 1);
    assert_eq!(settings.list.map(|list| list.instances.len()), Some(1));
    assert_eq!(settings.origin.map(|origin| origin.rate_mib_per_s), Some(4));
}
