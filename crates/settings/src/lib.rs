//! Settings of one router process.
