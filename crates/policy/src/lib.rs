//! Placement, load bound, admission, retries and crash quarantine: decisions without I/O.
