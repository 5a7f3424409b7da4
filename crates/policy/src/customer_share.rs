//! Limit on the slots of an owner that one customer may hold. See section 4.7 of `docs/design.md`.

/// Slots of one group at one owner, and the number of customers that share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerShare {
    /// Slots of the owner's open endpoints.
    pub capacity: u64,
    /// Free slots among them.
    pub free: u64,
    /// Customers that hold a slot or wait for one.
    pub active: u64,
}

impl CustomerShare {
    /// Returns the most slots that a customer may hold while others wait: the larger of its fair
    /// share, which is at least one slot, and the number of free slots.
    pub fn limit(&self) -> u64 {
        (self.capacity / self.active.max(1)).max(self.free).max(1)
    }
}
