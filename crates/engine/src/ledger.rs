//! What is counted of requests and attempts: taken, ended, written to servers. Each process counts from 0.

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a server's answer.
    Succeeded,
    /// Not served; trying again is harmless.
    Declined,
    /// With no promise, or with nobody there to hear.
    Aborted,
}

/// The requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Class {
    taken: u64,
    ends: [u64; 3],
}

/// The ledger: every request that is taken ends in exactly one count.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    classes: Vec<Class>,
    forwards: u64,
}

impl Ledger {
    /// Nothing counted, for so many classes.
    pub fn new(classes: usize) -> Ledger {
        Ledger { classes: vec![Class::default(); classes], ..Ledger::default() }
    }

    /// A request of a class has come whole.
    pub fn taken(&mut self, class: usize) {
        if let Some(c) = self.classes.get_mut(class) {
            c.taken += 1;
        }
    }

    /// A request that was taken has ended.
    pub fn ended(&mut self, class: usize, how: End) {
        if let Some(c) = self.classes.get_mut(class) {
            c.ends[how as usize] += 1;
        }
    }

    /// An attempt has been written whole to a server.
    pub fn forwarded(&mut self) {
        self.forwards += 1;
    }

    /// A front has ended a request itself: the engine never saw it.
    pub fn passed(&mut self, class: usize, how: End) {
        self.taken(class);
        self.ended(class, how);
    }

    /// Attempts written whole to servers.
    pub fn forwards(&self) -> u64 {
        self.forwards
    }

    /// How many requests of a class ended so.
    pub fn ends(&self, class: usize, how: End) -> u64 {
        self.classes.get(class).map_or(0, |c| c.ends[how as usize])
    }

    /// Requests taken and not ended.
    pub fn outstanding(&self) -> u64 {
        self.classes.iter().map(|c| c.taken - c.ends.iter().sum::<u64>()).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_taken_is_outstanding_until_its_one_end() {
        let mut ledger = Ledger::new(2);
        for (class, how) in [(0, End::Succeeded), (0, End::Declined), (1, End::Aborted)] {
            ledger.taken(class);
            assert_eq!(ledger.outstanding(), 1);
            ledger.ended(class, how);
        }
        ledger.passed(1, End::Aborted);
        assert_eq!(
            (ledger.outstanding(), ledger.ends(1, End::Aborted), ledger.ends(0, End::Succeeded)),
            (0, 2, 1)
        );
    }
}
