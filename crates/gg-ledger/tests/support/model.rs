//! What instances have acknowledged, and for how long they retain it.

/// An acknowledged turn.
pub struct Turn {
    pub name: String,
    pub previous: Option<usize>,
    pub text: String,
    /// Number of time steps before its last use.
    pub used: usize,
}

/// A program and the bounds of what it has spent. They differ for turns whose
/// end was reported without an acknowledgement.
pub struct Program {
    pub name: String,
    pub spent_min: u64,
    pub spent_max: u64,
    pub used: usize,
}

/// What was acknowledged.
#[derive(Default)]
pub struct Model {
    pub turns: Vec<Turn>,
    pub programs: Vec<Program>,
    pub steps: usize,
}

impl Model {
    /// Whether what was used before that many time steps has to be known.
    pub fn is_retained(&self, used: usize) -> bool {
        self.steps - used <= 1
    }

    /// Text of a chain.
    pub fn text(&self, last: Option<usize>) -> String {
        let mut texts = Vec::new();
        let mut next = last;
        while let Some(number) = next {
            texts.push(self.turns[number].text.as_str());
            next = self.turns[number].previous;
        }
        texts.reverse();
        texts.concat()
    }

    /// Marks a turn and those before it as used: a chain is retained as long as
    /// its last turn.
    pub fn mark_used(&mut self, last: Option<usize>) {
        let mut next = last;
        while let Some(number) = next {
            self.turns[number].used = self.steps;
            next = self.turns[number].previous;
        }
    }
}
