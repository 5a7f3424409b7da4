//! Reads the body of an endpoint's answer as a whole.

use crate::byte_budget::{HeldBody, Reservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// A body, as far as it was read.
pub(crate) enum ReadBody {
    /// The whole body.
    Whole(Bytes),
    /// The beginning of a body that may not hold more bytes.
    Beginning(Bytes),
}

/// Why a body was not read to its end.
pub(crate) enum ReadError {
    /// The connection broke.
    Broke,
    /// The body is longer than the limit.
    TooLong,
}

/// Reads a body of at most `limit` bytes, as far as its reservation can grow.
pub(crate) async fn read_whole(
    body: &mut Incoming,
    limit: usize,
    reservation: Reservation,
) -> Result<ReadBody, ReadError> {
    let mut whole = HeldBody::new(reservation);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broke)?;
        let data = frame.into_data().unwrap_or_default();
        if whole.len() + data.len() > limit {
            return Err(ReadError::TooLong);
        }
        if !whole.extend(&data) {
            return Ok(ReadBody::Beginning(whole.freeze_with(data)));
        }
    }
    Ok(ReadBody::Whole(whole.freeze()))
}
