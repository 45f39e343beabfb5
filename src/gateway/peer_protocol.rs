//! Headers with which a host sends a caller's request to another host, and with which
//! that one states that it has not accepted it.
//!
//! They are valid between hosts only: those of callers and upstreams are dropped.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

use crate::core::ids::OrganisationId;
use crate::core::peer_selection::NotAccepted;
use crate::edge::body::{self, ServerResponse};

const PREFIX: &str = "currantcove-peer-";
/// Version of the sender's configuration.
const CONFIG_VERSION: HeaderName = HeaderName::from_static("currantcove-peer-config");
/// Time since the request arrived from the caller, in milliseconds.
const SPENT_MS: HeaderName = HeaderName::from_static("currantcove-peer-spent-ms");
/// Number of upstreams that the request may still be sent to.
const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("currantcove-peer-attempts");
/// The caller's `Connection` header.
const CALLER_CONNECTION: HeaderName = HeaderName::from_static("currantcove-peer-connection");
/// Organisation of the caller; its key stays at the host that received the request.
const ORGANISATION: HeaderName = HeaderName::from_static("currantcove-peer-organisation");
/// Reason why the request was not accepted.
const NOT_ACCEPTED: HeaderName = HeaderName::from_static("currantcove-peer-not-accepted");

/// ID of the request.
const REQUEST: HeaderName = HeaderName::from_static("currantcove-peer-request");
/// ID of the request, if the host that responds to it has not run it and never will.
const NOT_RUN: HeaderName = HeaderName::from_static("currantcove-peer-not-run");

/// Headers that concern the caller's connection, or its encoding of the body.
const NOT_FORWARDED: [HeaderName; 7] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What a host states about a request that it sends to another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Version of the sender's configuration.
    pub config_version: u64,
    /// Time since the request arrived from the caller, in milliseconds.
    pub spent_ms: u64,
    /// Number of upstreams that the request may still be sent to.
    pub attempts_left: u32,
    /// Organisation of the caller, if requests need a key.
    pub organisation: Option<OrganisationId>,
    /// ID of the request; absent from a host of an older release.
    pub request_id: Option<HeaderValue>,
}

/// Drops all headers that are valid between hosts only.
pub fn strip(headers: &mut HeaderMap) {
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
}

/// Headers of a caller's request for another host.
pub fn request_headers(from: &HeaderMap, envelope: &Envelope) -> HeaderMap {
    let mut headers = from.clone();
    strip(&mut headers);
    if let Some(options) = headers.get(CONNECTION).cloned() {
        headers.insert(CALLER_CONNECTION, options);
    }
    for name in &NOT_FORWARDED {
        headers.remove(name);
    }
    headers.insert(CONFIG_VERSION, HeaderValue::from(envelope.config_version));
    headers.insert(SPENT_MS, HeaderValue::from(envelope.spent_ms));
    headers.insert(ATTEMPTS_LEFT, HeaderValue::from(envelope.attempts_left));
    // Names of organisations are checked when the configuration is decoded.
    let organisation = envelope.organisation.as_ref();
    if let Some(Ok(name)) = organisation.map(|o| HeaderValue::from_str(o.as_str())) {
        headers.insert(ORGANISATION, name);
    }
    if let Some(request_id) = &envelope.request_id {
        headers.insert(REQUEST, request_id.clone());
    }
    headers
}

/// Takes the envelope off a request, whose headers are the caller's afterwards; `None` if
/// it is not a host's request.
pub fn take_envelope(headers: &mut HeaderMap) -> Option<Envelope> {
    let number = |name: &HeaderName| headers.get(name)?.to_str().ok()?.parse().ok();
    let envelope = Envelope {
        config_version: number(&CONFIG_VERSION)?,
        spent_ms: number(&SPENT_MS)?,
        attempts_left: u32::try_from(number(&ATTEMPTS_LEFT)?).ok()?,
        organisation: headers
            .get(ORGANISATION)
            .and_then(|name| name.to_str().ok())
            .map(OrganisationId::new),
        request_id: headers.get(REQUEST).cloned(),
    };
    headers.remove(CONNECTION);
    if let Some(options) = headers.remove(CALLER_CONNECTION) {
        headers.insert(CONNECTION, options);
    }
    strip(headers);
    Some(envelope)
}

/// Response that states that a request was not accepted.
pub fn not_accepted_response(reason: NotAccepted) -> ServerResponse {
    let mut response = body::text(503, format!("{}\n", reason.as_str()));
    let value = HeaderValue::from_static(reason.as_str());
    response.headers_mut().insert(NOT_ACCEPTED, value);
    response
}

/// Reason why a host did not accept a request, if it did not.
pub fn not_accepted(headers: &HeaderMap) -> Option<NotAccepted> {
    let reason = headers.get(NOT_ACCEPTED)?;
    Some(NotAccepted::parse(reason.to_str().unwrap_or_default()))
}

/// States that this host has not run a request and never will.
pub fn state_not_run(headers: &mut HeaderMap, request_id: &HeaderValue) {
    headers.insert(NOT_RUN, request_id.clone());
}

/// ID of the request that a host states it has not run.
pub fn stated_not_run(headers: &HeaderMap) -> Option<&str> {
    headers.get(NOT_RUN)?.to_str().ok()
}
