//! Resident memory of processes.

/// Returns the resident memory in bytes of a process, which is given by its id or as `self`.
pub fn resident_bytes(process: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or("");
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
