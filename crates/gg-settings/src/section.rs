//! Reading one section, key by key, collecting faults on the way.

use std::{cell::RefCell, fmt::Display, str::FromStr, time::Duration};

use ini::Properties;

use crate::Fault;

/// A section under reading; keys never asked for are faults.
pub(crate) struct Section<'a> {
    file: &'a str,
    name: &'a str,
    values: Option<&'a Properties>,
    seen: RefCell<Vec<&'static str>>,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(
        file: &'a str,
        name: &'a str,
        values: Option<&'a Properties>,
        faults: &'a RefCell<Vec<Fault>>,
    ) -> Self {
        Section { file, name, values, seen: RefCell::default(), faults }
    }

    /// The text of a key, if it is there.
    pub(crate) fn text(&self, key: &'static str) -> Option<&'a str> {
        self.seen.borrow_mut().push(key);
        self.values?.get(key)
    }

    /// The text of a key, or `default`.
    pub(crate) fn text_or(&self, key: &'static str, default: &str) -> String {
        self.text(key).unwrap_or(default).to_owned()
    }

    /// The text of a key that has to be there.
    pub(crate) fn required(&self, key: &'static str, allowed: &str) -> String {
        let text = self.text(key).unwrap_or("");
        if text.is_empty() {
            self.fault(key, text, allowed);
        }
        text.to_owned()
    }

    /// A number between `min` and `max`, or `default`.
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

    /// Milliseconds between `min` and `max`, or `default`.
    pub(crate) fn millis(
        &self,
        key: &'static str,
        default: Duration,
        min: u64,
        max: u64,
    ) -> Duration {
        Duration::from_millis(self.number(key, default.as_millis() as u64, min, max))
    }

    /// `yes` or `no`, or `default`.
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

    /// `ip:port`, or `default`.
    pub(crate) fn address(&self, key: &'static str, default: &str) -> String {
        let text = self.text_or(key, default);
        if text.parse::<std::net::SocketAddr>().is_err() {
            self.fault(key, &text, "an IP address and port such as 127.0.0.1:7100");
        }
        text
    }

    /// `ip:port` that has to be there.
    pub(crate) fn socket(&self, key: &'static str) -> std::net::SocketAddr {
        let text = self.text(key).unwrap_or("");
        text.parse().unwrap_or_else(|_| {
            self.fault(key, text, "an IP address and port such as 127.0.0.1:7100");
            std::net::SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Words separated by commas.
    pub(crate) fn list(&self, key: &'static str) -> Vec<String> {
        let text = self.text(key).unwrap_or("");
        text.split(',').map(str::trim).filter(|word| !word.is_empty()).map(str::to_owned).collect()
    }

    pub(crate) fn fault(&self, key: &str, value: &str, allowed: &str) {
        self.faults.borrow_mut().push(Fault {
            file: self.file.into(),
            section: self.name.into(),
            key: key.into(),
            value: value.into(),
            allowed: allowed.into(),
        });
    }

    /// Reports keys that nothing asked for.
    pub(crate) fn finish(self) {
        let seen = self.seen.borrow();
        for (key, value) in self.values.into_iter().flat_map(Properties::iter) {
            if !seen.contains(&key) {
                self.fault(key, value, &format!("one of: {}", seen.join(", ")));
            }
        }
    }
}
