//! Results of the demo and the table that shows them.

use celeryshed_base::common_derives;

common_derives! { value:
    /// The check of one guarantee of the system.
    pub struct DemoCheck {
        /// The guarantee, as printed in the table.
        pub guarantee: String,
        /// The counts that the check compares, as printed in the table.
        pub counts: String,
        /// Whether the counts satisfy the guarantee.
        pub passed: bool,
    }

    /// Results of a demo run.
    #[derive(Default)]
    pub struct DemoReport {
        /// Name and value of each measured result, in printing order.
        pub facts: Vec<(String, String)>,
        /// Checked guarantees, in printing order.
        pub checks: Vec<DemoCheck>,
    }
}

impl DemoReport {
    /// Whether every check passed; `true` without checks.
    ///
    /// ```
    /// use celeryshed_measure::demo::DemoReport;
    /// let mut report = DemoReport::default();
    /// report.add_check("whole answers", "9 of 10", false);
    /// assert!(!report.all_checks_passed());
    /// ```
    pub fn all_checks_passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }

    /// Adds a measured result, printed as one line.
    pub fn add_fact(&mut self, name: &str, value: impl ToString) {
        self.facts.push((name.to_owned(), value.to_string()));
    }

    /// Adds the check of a guarantee, printed as one line with the `counts` that it compares.
    pub fn add_check(&mut self, guarantee: &str, counts: impl ToString, passed: bool) {
        let (guarantee, counts) = (guarantee.to_owned(), counts.to_string());
        self.checks.push(DemoCheck { guarantee, counts, passed });
    }

    /// The table as text: first the results, then the checks.
    pub fn render(&self) -> String {
        let names = self.facts.iter().map(|(name, _)| name.len());
        let guarantees = self.checks.iter().map(|check| check.guarantee.len());
        let width = names.chain(guarantees).max().unwrap_or(0);
        let mut text = String::from("\n");
        for (name, value) in &self.facts {
            text.push_str(&format!("{name:<width$}  {value}\n"));
        }
        text.push('\n');
        for check in &self.checks {
            let verdict = if check.passed { "kept" } else { "BROKEN" };
            text.push_str(&format!("{:<width$}  {verdict}: {}\n", check.guarantee, check.counts));
        }
        text
    }
}
