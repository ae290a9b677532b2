//! Request bodies, received within size and time limits, and the type of response bodies.

use std::io;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use wasabi_core::{
    errors::{Code, Error, Result},
    units::Bytes as Size,
};

use crate::context::Options;

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Receives a body of at most `limit` bytes within `options.body_timeout`.
///
/// Errors: `BodyTooLarge`, `ReceiveTimeout`, or `BodyInvalid` if the connection fails.
pub async fn receive(options: &Options, body: Incoming, limit: Size) -> Result<Bytes> {
    let receiving = collect(body, limit);
    match tokio::time::timeout(options.body_timeout, receiving).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::ReceiveTimeout, "")),
    }
}

async fn collect(mut body: Incoming, limit: Size) -> Result<Bytes> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::new(Code::BodyInvalid, "the body broke off"))?;
        let Ok(data) = frame.into_data() else { continue };
        if (buffer.len() + data.len()) as u64 > limit.0 {
            return Err(Error::new(Code::BodyTooLarge, format!("the limit is {limit} bytes")));
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}
