//! Typed access to the keys of one section; collects faults instead of failing
//! at the first one.

use std::{cell::RefCell, fmt::Display, str::FromStr, time::Duration};

use ini::Properties;

use crate::Fault;

/// Reader of one section. Keys of the file that were never read are reported as
/// unknown by [`Section::finish`].
pub(crate) struct Section<'a> {
    file: &'a str,
    name: &'a str,
    values: Option<&'a Properties>,
    read_keys: RefCell<Vec<&'static str>>,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(
        file: &'a str,
        name: &'a str,
        values: Option<&'a Properties>,
        faults: &'a RefCell<Vec<Fault>>,
    ) -> Self {
        Section { file, name, values, read_keys: RefCell::default(), faults }
    }

    /// Returns the text of a key, if the key is present.
    pub(crate) fn text(&self, key: &'static str) -> Option<&'a str> {
        self.read_keys.borrow_mut().push(key);
        self.values?.get(key)
    }

    /// Returns the text of a key, or `default`.
    pub(crate) fn text_or(&self, key: &'static str, default: &str) -> String {
        self.text(key).unwrap_or(default).to_owned()
    }

    /// Returns the text of a required key.
    pub(crate) fn required(&self, key: &'static str, allowed: &str) -> String {
        let text = self.text(key).unwrap_or("");
        if text.is_empty() {
            self.fault(key, text, allowed);
        }
        text.to_owned()
    }

    /// Returns a number from `min` to `max`, or `default`.
    pub(crate) fn number<T>(&self, key: &'static str, default: T, min: T, max: T) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let Some(text) = self.text(key) else { return default };
        match text.parse::<T>() {
            Ok(number) if number >= min && number <= max => number,
            _ => {
                self.fault(key, text, &format!("a number from {min} to {max}"));
                default
            }
        }
    }

    /// Returns a number from `min` to `max`, if the key has a value.
    pub(crate) fn optional_number(&self, key: &'static str, min: f64, max: f64) -> Option<f64> {
        let text = self.text(key).filter(|text| !text.is_empty())?;
        match text.parse::<f64>() {
            Ok(number) if number >= min && number <= max => Some(number),
            _ => {
                self.fault(key, text, &format!("a number from {min} to {max}"));
                None
            }
        }
    }

    /// Returns a duration from `min` to `max` milliseconds, or `default`.
    pub(crate) fn millis(
        &self,
        key: &'static str,
        default: Duration,
        min: u64,
        max: u64,
    ) -> Duration {
        Duration::from_millis(self.number(key, default.as_millis() as u64, min, max))
    }

    /// Returns `true` for `yes` and `false` for `no`, or `default`.
    pub(crate) fn flag(&self, key: &'static str, default: bool) -> bool {
        match self.text(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.fault(key, other, "yes or no");
                default
            }
        }
    }

    /// Returns the text of an `ip:port` address, or `default`.
    pub(crate) fn address(&self, key: &'static str, default: &str) -> String {
        let text = self.text_or(key, default);
        if text.parse::<std::net::SocketAddr>().is_err() {
            self.fault(key, &text, "an IP address and port such as 127.0.0.1:7100");
        }
        text
    }

    /// Returns a required `ip:port` address.
    pub(crate) fn required_address(&self, key: &'static str) -> std::net::SocketAddr {
        let text = self.text(key).unwrap_or("");
        text.parse().unwrap_or_else(|_| {
            self.fault(key, text, "an IP address and port such as 127.0.0.1:7100");
            std::net::SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Returns an `ip:port` address, if the key is present.
    pub(crate) fn optional_address(&self, key: &'static str) -> Option<std::net::SocketAddr> {
        self.text(key)?;
        Some(self.required_address(key))
    }

    /// Returns the words of a comma-separated list.
    pub(crate) fn list(&self, key: &'static str) -> Vec<String> {
        let text = self.text(key).unwrap_or("");
        text.split(',').map(str::trim).filter(|word| !word.is_empty()).map(str::to_owned).collect()
    }

    /// Records that `value` is not allowed; `allowed` describes valid values.
    pub(crate) fn fault(&self, key: &str, value: &str, allowed: &str) {
        self.faults.borrow_mut().push(Fault {
            file: self.file.into(),
            section: self.name.into(),
            key: key.into(),
            value: value.into(),
            allowed: allowed.into(),
        });
    }

    /// Reports the keys of the section that were not read.
    pub(crate) fn finish(self) {
        let read_keys = self.read_keys.borrow();
        for (key, value) in self.values.into_iter().flat_map(Properties::iter) {
            if !read_keys.contains(&key) {
                self.fault(key, value, &format!("one of: {}", read_keys.join(", ")));
            }
        }
    }
}
