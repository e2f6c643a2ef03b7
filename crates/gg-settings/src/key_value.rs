//! Single keys of the settings from the command line.

use std::str::FromStr;

use ini::Ini;

/// A key that takes the place of the one in the settings file, written as
/// `SECTION.KEY=VALUE`. Without a value it changes nothing: what fills in the
/// command line may have none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    section: String,
    key: String,
    value: String,
}

impl FromStr for KeyValue {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split_once('=').and_then(|(path, value)| {
            let (section, key) = path.split_once('.')?;
            (!section.is_empty() && !key.is_empty()).then_some((section, key, value))
        });
        let Some((section, key, value)) = parts else {
            return Err(format!("{text:?} is not of the form SECTION.KEY=VALUE"));
        };
        Ok(KeyValue { section: section.into(), key: key.into(), value: value.into() })
    }
}

impl KeyValue {
    pub(crate) fn set_in(&self, ini: &mut Ini) {
        if !self.value.is_empty() {
            ini.set_to(Some(self.section.as_str()), self.key.clone(), self.value.clone());
        }
    }
}
