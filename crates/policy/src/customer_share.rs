//! Share of an owner's slots that one customer may hold. See section 4.7 of `docs/design.md`.

/// The slots of one group at one owner, as they are divided between customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerShare {
    /// Slots of the owner's open endpoints.
    pub capacity: u64,
    /// Slots of these that are free.
    pub free: u64,
    /// Customers that hold a slot or wait for one.
    pub active: u64,
}

impl CustomerShare {
    /// Most slots that a customer may hold while others wait: the larger of its fair part, which is
    /// at least one slot, and the free capacity.
    pub fn limit(&self) -> u64 {
        (self.capacity / self.active.max(1)).max(self.free).max(1)
    }
}
