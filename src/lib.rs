//! Router fleet.
