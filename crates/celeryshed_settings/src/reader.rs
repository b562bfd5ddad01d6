//! Readers for INI files that collect all errors of a file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, ParseOption, Properties};

use crate::error::{InvalidSetting, Result, SettingsError};

type ErrorList = Rc<RefCell<Vec<InvalidSetting>>>;

/// A parsed file. [`SettingsReader::finish`] reports the errors found by it and its
/// [`SectionReader`]s.
pub struct SettingsReader {
    file: PathBuf,
    ini: Ini,
    errors: ErrorList,
    read_sections: RefCell<BTreeSet<String>>,
}

impl SettingsReader {
    /// Reads and parses a file.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|error| SettingsError::Unreadable {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
        Self::parse(file, &text)
    }

    /// Parses `text`; `file` is used only in error messages.
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
            errors: ErrorList::default(),
            read_sections: RefCell::default(),
        };
        reader.reject_repeated_keys();
        Ok(reader)
    }

    /// Whether the file has the section `name`.
    pub fn has_section(&self, name: &str) -> bool {
        self.ini.section(Some(name)).is_some()
    }

    /// Returns a required section; a missing one is an error of the file.
    pub fn section(&self, name: &str) -> SectionReader<'_> {
        if self.ini.section(Some(name)).is_none() {
            self.add_error(name, "", None, "this section");
        }
        self.optional_section(name)
    }

    /// Returns an optional section; when it is missing, its keys have their defaults.
    pub fn optional_section(&self, name: &str) -> SectionReader<'_> {
        self.read_sections.borrow_mut().insert(name.to_owned());
        SectionReader {
            name: name.to_owned(),
            properties: self.ini.section(Some(name)),
            errors: Rc::clone(&self.errors),
            read_keys: RefCell::default(),
        }
    }

    /// Returns all sections `[prefix NAME]` with their `NAME`, in the order of the file.
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

    /// Adds an error found by a check that involves several keys or sections.
    pub fn add_error(&self, section: &str, key: &str, value: Option<&str>, accepted: &str) {
        push_error(&self.errors, section, key, value, accepted);
    }

    /// Checks for unknown sections and returns all collected errors. Call it after every
    /// [`SectionReader`] was dropped, since unknown keys are reported on drop.
    pub fn finish(self) -> Result<()> {
        for section in self.ini.sections() {
            let name = section.unwrap_or("");
            let has_keys = self.ini.section(section).is_some_and(|keys| !keys.is_empty());
            if section.is_none() && has_keys {
                self.add_error("", "", Some("keys before the first section"), "keys in a section");
            }
            if section.is_some() && !self.read_sections.borrow().contains(name) {
                self.add_error(name, "", Some(name), "a known section");
            }
        }
        let errors = self.errors.take();
        if errors.is_empty() {
            return Ok(());
        }
        Err(SettingsError::Invalid { file: self.file, errors })
    }

    /// Reports sections and keys that occur twice, since the intended value is ambiguous.
    fn reject_repeated_keys(&self) {
        let mut sections = BTreeSet::new();
        for (section, keys) in self.ini.iter() {
            let name = section.unwrap_or("");
            if section.is_some() && !sections.insert(name) {
                self.add_error(name, "", Some(name), "each section once");
            }
            let mut seen = BTreeSet::new();
            for (key, value) in keys.iter() {
                if !seen.insert(key) {
                    self.add_error(name, key, Some(value), "each key once");
                }
            }
        }
    }
}

/// Reads the keys of one section. On drop, keys that were never read are reported as unknown.
pub struct SectionReader<'a> {
    name: String,
    properties: Option<&'a Properties>,
    errors: ErrorList,
    read_keys: RefCell<BTreeSet<String>>,
}

impl SectionReader<'_> {
    /// Name of the section, without brackets.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Parses a required value with [`FromStr`].
    pub fn required<T: FromStr>(&self, key: &str, accepted: &str) -> Option<T> {
        let value = self.raw(key);
        if value.is_none() {
            self.add_error(key, None, accepted);
        }
        self.parse(key, value?, accepted)
    }

    /// Parses an optional value with [`FromStr`]; `default` when it is missing or invalid.
    pub fn with_default<T: FromStr>(&self, key: &str, accepted: &str, default: T) -> T {
        let Some(value) = self.raw(key) else {
            return default;
        };
        self.parse(key, value, accepted).unwrap_or(default)
    }

    /// Converts a required value to a checked type, whose error describes what is accepted.
    pub fn required_checked<'v, T>(&'v self, key: &str) -> Option<T>
    where
        T: TryFrom<&'v str>,
        T::Error: Display,
    {
        let value = self.raw(key);
        if value.is_none() {
            self.add_error(key, None, "a value");
        }
        self.convert(key, value?)
    }

    /// Converts an optional value to a checked type.
    pub fn optional_checked<'v, T>(&'v self, key: &str) -> Option<T>
    where
        T: TryFrom<&'v str>,
        T::Error: Display,
    {
        let value = self.raw(key)?;
        self.convert(key, value)
    }

    /// Parses an optional integer in `range`; `default` when it is missing or invalid.
    pub fn integer(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let accepted = format!("an integer from {} to {}", range.start(), range.end());
        let value: u64 = self.with_default(key, &accepted, default);
        if range.contains(&value) {
            return value;
        }
        self.add_error(key, Some(&value.to_string()), &accepted);
        default
    }

    /// Parses a required integer in `range`; `None` only when it is missing.
    pub fn required_integer(&self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        if self.raw(key).is_none() {
            let accepted = format!("an integer from {} to {}", range.start(), range.end());
            self.add_error(key, None, &accepted);
            return None;
        }
        let first = *range.start();
        Some(self.integer(key, range, first))
    }

    /// Parses an optional duration in milliseconds; `range` and `default` are in milliseconds.
    pub fn millis(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.integer(key, range, default))
    }

    /// Parses an optional duration in seconds; `range` and `default` are in seconds.
    pub fn seconds(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_secs(self.integer(key, range, default))
    }

    /// Parses an optional `yes` or `no`.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        match self.raw(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.add_error(key, Some(other), "yes or no");
                default
            }
        }
    }

    /// Maps an optional keyword to the value listed for it in `choices`.
    pub fn choice<T: Clone>(&self, key: &str, choices: &[(&str, T)], default: T) -> T {
        let Some(value) = self.raw(key) else {
            return default;
        };
        if let Some((_, choice)) = choices.iter().find(|(keyword, _)| *keyword == value) {
            return choice.clone();
        }
        let keywords: Vec<&str> = choices.iter().map(|(keyword, _)| *keyword).collect();
        self.add_error(key, Some(value), &format!("one of {}", keywords.join(", ")));
        default
    }

    /// Splits an optional list at commas and spaces; empty when the key is missing.
    pub fn list(&self, key: &str) -> Vec<&str> {
        let value = self.raw(key).unwrap_or("");
        value.split([',', ' ']).filter(|item| !item.is_empty()).collect()
    }

    /// Adds an error of `key`; an empty key stands for the section itself.
    pub fn add_error(&self, key: &str, value: Option<&str>, accepted: &str) {
        push_error(&self.errors, &self.name, key, value, accepted);
    }

    /// Returns the unparsed value; `None` when the key is missing.
    pub fn raw(&self, key: &str) -> Option<&str> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        self.properties?.get(key)
    }

    fn parse<T: FromStr>(&self, key: &str, value: &str, accepted: &str) -> Option<T> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.add_error(key, Some(value), accepted);
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
                self.add_error(key, Some(value), &error.to_string());
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
        let read_keys = self.read_keys.borrow();
        let known: Vec<&str> = read_keys.iter().map(String::as_str).collect();
        let accepted = format!("one of the keys {}", known.join(", "));
        for (key, value) in properties.iter() {
            if !read_keys.contains(key) {
                push_error(&self.errors, &self.name, key, Some(value), &accepted);
            }
        }
    }
}

fn push_error(errors: &ErrorList, section: &str, key: &str, value: Option<&str>, accepted: &str) {
    errors.borrow_mut().push(InvalidSetting {
        section: section.to_owned(),
        key: key.to_owned(),
        value: value.map(str::to_owned),
        accepted: accepted.to_owned(),
    });
}
