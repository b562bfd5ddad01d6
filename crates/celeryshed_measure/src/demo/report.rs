//! The demo's table.

use celeryshed_base::common_derives;

common_derives! { value:
    /// One promise and whether the counts show that it was kept.
    pub struct PromiseCheck {
        /// The promise.
        pub promise: String,
        /// The counts.
        pub counts: String,
        /// Whether it was kept.
        pub kept: bool,
    }

    /// What the demo came to.
    #[derive(Default)]
    pub struct DemoReport {
        /// Lines of what was served, run, spread and refused.
        pub facts: Vec<(String, String)>,
        /// Promises.
        pub checks: Vec<PromiseCheck>,
    }
}

impl DemoReport {
    /// Whether every promise was kept.
    ///
    /// ```
    /// use celeryshed_measure::demo::{DemoReport, PromiseCheck};
    /// let mut report = DemoReport::default();
    /// report.check("whole answers", "9 of 10", false);
    /// assert!(!report.kept_all_promises());
    /// ```
    pub fn kept_all_promises(&self) -> bool {
        self.checks.iter().all(|check| check.kept)
    }

    /// Adds a line.
    pub fn fact(&mut self, name: &str, value: impl ToString) {
        self.facts.push((name.to_owned(), value.to_string()));
    }

    /// Adds a promise.
    pub fn check(&mut self, promise: &str, counts: impl ToString, kept: bool) {
        let (promise, counts) = (promise.to_owned(), counts.to_string());
        self.checks.push(PromiseCheck { promise, counts, kept });
    }

    /// The table as text.
    pub fn render(&self) -> String {
        let names = self.facts.iter().map(|(name, _)| name.len());
        let promises = self.checks.iter().map(|check| check.promise.len());
        let width = names.chain(promises).max().unwrap_or(0);
        let mut text = String::from("\n");
        for (name, value) in &self.facts {
            text.push_str(&format!("{name:<width$}  {value}\n"));
        }
        text.push('\n');
        for check in &self.checks {
            let mark = if check.kept { "kept" } else { "BROKEN" };
            text.push_str(&format!("{:<width$}  {mark}: {}\n", check.promise, check.counts));
        }
        text
    }
}
