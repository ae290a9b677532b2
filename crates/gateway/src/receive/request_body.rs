//! Reads the bodies of requests, within the memory that they may take together.
//!
//! A body is kept until its request has ended, since it may have to be sent again. One for which there is no room
//! is not read: its caller's connection fills up and holds the rest back.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wasabi_core::errors::{Code, Error, Result};

use crate::receive::response;

/// A body up to this size is always read: large ones must not crowd out the others.
const FREE_BYTES: usize = 64 * 1024;
/// The unit in which memory is counted.
const UNIT_BYTES: usize = 1024;
/// How long a caller waits for room at most.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// The part of its time that a caller waits for room at most.
const MAX_WAIT_PART: u32 = 3;
/// `Retry-After` for a request for whose body there is no room.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The memory of the bodies of requests beyond [`FREE_BYTES`] each.
#[derive(Clone, Debug)]
pub struct Memory {
    room: Arc<Semaphore>,
    units: usize,
}

/// The part of the memory that one body takes; dropping it frees it.
#[derive(Debug, Default)]
pub struct Reservation {
    _permit: Option<OwnedSemaphorePermit>,
}

impl Memory {
    /// Creates the memory for bodies of `bytes` in all.
    pub fn new(bytes: usize) -> Self {
        let units = (bytes / UNIT_BYTES).clamp(1, u32::MAX as usize);
        Self { room: Arc::new(Semaphore::new(units)), units }
    }

    /// Waits until there is room for a body of `length`; callers are served in the order in which they came.
    async fn reserve(&self, length: usize, limit: Duration) -> Result<Reservation> {
        if length <= FREE_BYTES {
            return Ok(Reservation::default());
        }
        let units = length.div_ceil(UNIT_BYTES).min(self.units) as u32;
        let acquiring = self.room.clone().acquire_many_owned(units);
        let wait = MAX_WAIT.min(limit / MAX_WAIT_PART);
        match tokio::time::timeout(wait, acquiring).await {
            Ok(Ok(permit)) => Ok(Reservation { _permit: Some(permit) }),
            _ => {
                metrics::counter!("wasabi_gateway_unread_bodies_total").increment(1);
                let detail = "no memory for the body";
                Err(response::retry_later(Code::Overloaded, detail, RETRY_AFTER))
            }
        }
    }
}

/// Reads a body of at most `max` bytes within `limit`; returns it with the memory that it takes. Without a stated
/// length it counts as one of `max` bytes until it is read.
///
/// Errors: `BodyTooLarge`, `ReceiveTimeout`, `HeadInvalid` if it breaks off, `Overloaded` if there is no room.
pub async fn read(
    memory: &Memory,
    body: Incoming,
    max: usize,
    limit: Duration,
) -> Result<(Bytes, Reservation)> {
    let stated = body.size_hint().exact().map(|length| length as usize);
    if stated.is_some_and(|length| length > max) {
        return Err(Error::new(Code::BodyTooLarge, ""));
    }
    let reading = async {
        let mut reservation = memory.reserve(stated.unwrap_or(max), limit).await?;
        let body = collect(Limited::new(body, max), stated.unwrap_or(0)).await?;
        if body.len() <= FREE_BYTES {
            reservation = Reservation::default();
        }
        Ok((body, reservation))
    };
    let read = tokio::time::timeout(limit, reading).await;
    read.unwrap_or_else(|_| Err(Error::new(Code::ReceiveTimeout, "")))
}

async fn collect(mut body: Limited<Incoming>, stated: usize) -> Result<Bytes> {
    let mut buffer = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e.is::<http_body_util::LengthLimitError>() {
            true => Error::new(Code::BodyTooLarge, ""),
            false => Error::new(Code::HeadInvalid, format!("body: {e}")),
        })?;
        if let Ok(data) = frame.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
    Ok(buffer.freeze())
}
