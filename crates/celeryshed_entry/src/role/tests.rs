//! Guards against settings that are read and checked but not passed on to the tasks.

use std::path::Path;

use celeryshed_settings::SettingsReader;

use super::*;

#[test]
fn serving_settings_reach_the_requests() {
    let text = "[instance]\nname = e1\nzone = puget-a\nregion = puget\nlisten = 127.0.0.1:8080\n\
        [platform]\nlog_url = http://127.0.0.1:9000\nlist_url = http://127.0.0.1:9001\n\
        [serving]\nqueue_limit = 7\nmax_request_s = 9\n";
    let reader = SettingsReader::parse(Path::new("entry.ini"), text).expect("valid INI");
    let options = completion_options(&EntrySettings::read(reader).expect("valid settings"));
    assert_eq!(options.queues.length, 7);
    assert_eq!(options.max_request, Duration::from_secs(9));
}
