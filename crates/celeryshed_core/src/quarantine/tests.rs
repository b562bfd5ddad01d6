//! Tests of the quarantine.
