//! Models that several tests share.

// Each test file uses only some of the models.
#![allow(dead_code)]

pub mod fleet;
