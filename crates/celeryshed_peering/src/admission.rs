//! Keeps configurations and versions that a restore of the store takes back.

use std::collections::BTreeMap;

use bytes::Bytes;
use celeryshed_base::common_derives;

use crate::log::ControlLog;
use crate::record::ControlRecord;

common_derives! { value:
    /// The highest number of each operators' key, with the value of its record. Numbers are revisions
    /// of configurations or declared versions; operators only raise them.
    ///
    /// ```
    /// use celeryshed_base::{LogOffset, LogPosition, StoreEra};
    /// use celeryshed_peering::{Admission, ControlLog, ControlRecord, NewestValues};
    /// let position = LogPosition::new(StoreEra::default(), LogOffset(3)).unwrap();
    /// let record = ControlRecord { key: "a".into(), position, value: Some("x".into()) };
    /// let mut values = NewestValues::default();
    /// let mut log = ControlLog::default();
    /// assert_eq!(values.admit(&mut log, &record, 7), Admission::Newer);
    /// assert_eq!(values.admit(&mut log, &record, 7), Admission::Known);
    /// assert_eq!(values.admit(&mut log, &record, 6), Admission::Older);
    /// ```
    #[derive(Default)]
    pub struct NewestValues {
        values: BTreeMap<String, NumberedValue>,
    }

    struct NumberedValue {
        number: u64,
        value: Bytes,
    }
}

common_derives! { index:
    /// How a record compares with the known ones of its key.
    pub enum Admission {
        /// Its number is the highest one.
        Newer,
        /// Its number is the highest known one.
        Known,
        /// Its number is lower, as in a store that was restored from a copy.
        Older,
    }
}

impl NewestValues {
    /// Compares a new record of `log` with the known ones. `number` is 0 if the record deletes the
    /// key. The log then keeps the newer value in place of an older one.
    pub fn admit(
        &mut self,
        log: &mut ControlLog,
        record: &ControlRecord,
        number: u64,
    ) -> Admission {
        let known = self.values.get(&record.key);
        match known.map(|known| (known, known.number.checked_sub(number))) {
            Some((_, Some(0))) => Admission::Known,
            Some((known, Some(lag))) => {
                let advance = record.position.advance().saturating_add(lag);
                log.retain_value(&record.key, known.value.clone(), advance);
                Admission::Older
            }
            Some((_, None)) | None => {
                if let Some(value) = record.value.clone() {
                    self.values.insert(record.key.clone(), NumberedValue { number, value });
                }
                Admission::Newer
            }
        }
    }
}
