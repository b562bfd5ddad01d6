//! Reading of INI files with all faults collected.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, ParseOption, Properties};

use crate::fault::{Result, SettingsError, SettingsFault};

type FaultList = Rc<RefCell<Vec<SettingsFault>>>;

/// A parsed file; its sections are read through [`SectionReader`].
pub struct SettingsReader {
    file: PathBuf,
    ini: Ini,
    faults: FaultList,
    used: RefCell<BTreeSet<String>>,
}

impl SettingsReader {
    /// Parses a file.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|error| SettingsError::Unreadable {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
        Self::parse(file, &text)
    }

    /// Parses `text`; `file` only names it in errors.
    ///
    /// ```
    /// use celeryshed_settings::SettingsReader;
    /// use std::path::Path;
    /// let reader = SettingsReader::parse(Path::new("a.ini"), "[instance]\nname = e1\n").unwrap();
    /// let name: Option<String> = reader.section("instance").required("name", "a name");
    /// assert_eq!(name.as_deref(), Some("e1"));
    /// assert!(reader.finish().is_ok());
    /// ```
    pub fn parse(file: &Path, text: &str) -> Result<Self> {
        let options =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| SettingsError::Syntax {
            file: file.to_owned(),
            line: error.line + 1,
            reason: error.msg.to_string(),
        })?;
        let reader = Self {
            file: file.to_owned(),
            ini,
            faults: FaultList::default(),
            used: RefCell::default(),
        };
        reader.reject_repeated_keys();
        Ok(reader)
    }

    /// Whether the file has a section.
    pub fn has_section(&self, name: &str) -> bool {
        self.ini.section(Some(name)).is_some()
    }

    /// A section that must be there once.
    pub fn section(&self, name: &str) -> SectionReader<'_> {
        if self.ini.section(Some(name)).is_none() {
            self.fault(name, "", None, "this section");
        }
        self.optional_section(name)
    }

    /// A section that may be missing; its keys then have their defaults.
    pub fn optional_section(&self, name: &str) -> SectionReader<'_> {
        self.used.borrow_mut().insert(name.to_owned());
        SectionReader {
            name: name.to_owned(),
            properties: self.ini.section(Some(name)),
            faults: Rc::clone(&self.faults),
            used: RefCell::default(),
        }
    }

    /// Sections called `prefix NAME`, with their names, in the file's order.
    pub fn named_sections(&self, prefix: &str) -> Vec<(String, SectionReader<'_>)> {
        let names: Vec<&str> = self.ini.sections().flatten().collect();
        let mut found = Vec::new();
        for section in names {
            let Some(name) = section.strip_prefix(prefix).and_then(|rest| rest.strip_prefix(' '))
            else {
                continue;
            };
            found.push((name.trim().to_owned(), self.optional_section(section)));
        }
        found
    }

    /// Adds a fault found by a check across keys.
    pub fn fault(&self, section: &str, key: &str, value: Option<&str>, accepted: &str) {
        push(&self.faults, section, key, value, accepted);
    }

    /// Ends reading; an error holds every fault found.
    pub fn finish(self) -> Result<()> {
        for section in self.ini.sections() {
            let name = section.unwrap_or("");
            let has_keys = self.ini.section(section).is_some_and(|keys| !keys.is_empty());
            if section.is_none() && has_keys {
                self.fault("", "", Some("keys before the first section"), "keys in a section");
            }
            if section.is_some() && !self.used.borrow().contains(name) {
                self.fault(name, "", Some(name), "a known section");
            }
        }
        let faults = self.faults.take();
        if faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError::Faults { file: self.file, faults })
    }

    /// A key given twice is a fault: which of the values was meant can't be known.
    fn reject_repeated_keys(&self) {
        let mut sections = BTreeSet::new();
        for (section, keys) in self.ini.iter() {
            let name = section.unwrap_or("");
            if section.is_some() && !sections.insert(name) {
                self.fault(name, "", Some(name), "each section once");
            }
            let mut seen = BTreeSet::new();
            for (key, value) in keys.iter() {
                if !seen.insert(key) {
                    self.fault(name, key, Some(value), "each key once");
                }
            }
        }
    }
}

/// One section; dropping it reports its unknown keys.
pub struct SectionReader<'a> {
    name: String,
    properties: Option<&'a Properties>,
    faults: FaultList,
    used: RefCell<BTreeSet<String>>,
}

impl SectionReader<'_> {
    /// The section's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// A value that must be there and parse.
    pub fn required<T: FromStr>(&self, key: &str, accepted: &str) -> Option<T> {
        let value = self.raw(key);
        if value.is_none() {
            self.fault(key, None, accepted);
        }
        self.parse(key, value?, accepted)
    }

    /// A value with a default.
    pub fn with_default<T: FromStr>(&self, key: &str, accepted: &str, default: T) -> T {
        let Some(value) = self.raw(key) else {
            return default;
        };
        self.parse(key, value, accepted).unwrap_or(default)
    }

    /// A checked type that must be there.
    pub fn checked<'v, T>(&'v self, key: &str) -> Option<T>
    where
        T: TryFrom<&'v str>,
        T::Error: Display,
    {
        let value = self.raw(key);
        if value.is_none() {
            self.fault(key, None, "a value");
        }
        self.convert(key, value?)
    }

    /// A checked type that may be missing.
    pub fn checked_optional<'v, T>(&'v self, key: &str) -> Option<T>
    where
        T: TryFrom<&'v str>,
        T::Error: Display,
    {
        let value = self.raw(key)?;
        self.convert(key, value)
    }

    /// An integer in a range, with a default.
    pub fn integer(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let accepted = format!("an integer from {} to {}", range.start(), range.end());
        let value: u64 = self.with_default(key, &accepted, default);
        if range.contains(&value) {
            return value;
        }
        self.fault(key, Some(&value.to_string()), &accepted);
        default
    }

    /// An integer in a range that must be there.
    pub fn required_integer(&self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        if self.raw(key).is_none() {
            let accepted = format!("an integer from {} to {}", range.start(), range.end());
            self.fault(key, None, &accepted);
            return None;
        }
        let first = *range.start();
        Some(self.integer(key, range, first))
    }

    /// A duration in milliseconds.
    pub fn millis(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.integer(key, range, default))
    }

    /// A duration in seconds.
    pub fn seconds(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_secs(self.integer(key, range, default))
    }

    /// `yes` or `no`.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        match self.raw(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.fault(key, Some(other), "yes or no");
                default
            }
        }
    }

    /// One of several words.
    pub fn choice<T: Clone>(&self, key: &str, choices: &[(&str, T)], default: T) -> T {
        let Some(value) = self.raw(key) else {
            return default;
        };
        if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == value) {
            return choice.clone();
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.fault(key, Some(value), &format!("one of {}", words.join(", ")));
        default
    }

    /// Words separated by commas or spaces; empty when the key is missing.
    pub fn words(&self, key: &str) -> Vec<&str> {
        let value = self.raw(key).unwrap_or("");
        value.split([',', ' ']).filter(|word| !word.is_empty()).collect()
    }

    /// Adds a fault of a key.
    pub fn fault(&self, key: &str, value: Option<&str>, accepted: &str) {
        push(&self.faults, &self.name, key, value, accepted);
    }

    /// The raw value.
    pub fn raw(&self, key: &str) -> Option<&str> {
        self.used.borrow_mut().insert(key.to_owned());
        self.properties?.get(key)
    }

    fn parse<T: FromStr>(&self, key: &str, value: &str, accepted: &str) -> Option<T> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.fault(key, Some(value), accepted);
        }
        parsed
    }

    fn convert<'v, T>(&'v self, key: &str, value: &'v str) -> Option<T>
    where
        T: TryFrom<&'v str>,
        T::Error: Display,
    {
        match T::try_from(value) {
            Ok(checked) => Some(checked),
            Err(error) => {
                self.fault(key, Some(value), &error.to_string());
                None
            }
        }
    }
}

impl Drop for SectionReader<'_> {
    fn drop(&mut self) {
        let Some(properties) = self.properties else {
            return;
        };
        let used = self.used.borrow();
        let known: Vec<&str> = used.iter().map(String::as_str).collect();
        let accepted = format!("one of the keys {}", known.join(", "));
        for (key, value) in properties.iter() {
            if !used.contains(key) {
                push(&self.faults, &self.name, key, Some(value), &accepted);
            }
        }
    }
}

fn push(faults: &FaultList, section: &str, key: &str, value: Option<&str>, accepted: &str) {
    faults.borrow_mut().push(SettingsFault {
        section: section.to_owned(),
        key: key.to_owned(),
        value: value.map(str::to_owned),
        accepted: accepted.to_owned(),
    });
}
