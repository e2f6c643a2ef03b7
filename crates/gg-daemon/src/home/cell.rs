//! The present home of a daemon, which changes when its journal is sealed.

use std::sync::{Arc, RwLock};

use super::Home;

/// Handle to the present home; clones see the same one.
#[derive(Clone, Default)]
pub(crate) struct HomeCell {
    home: Arc<RwLock<Option<Arc<Home>>>>,
}

impl HomeCell {
    /// The home, while there is one.
    pub(crate) fn get(&self) -> Option<Arc<Home>> {
        self.home.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Puts another home in place.
    pub(crate) fn set(&self, home: Option<Arc<Home>>) {
        *self.home.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = home;
    }
}
