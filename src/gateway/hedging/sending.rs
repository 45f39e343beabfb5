//! What an attempt is: a complete exchange, or a stream that is opened and read up to its
//! first event.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;

use crate::gateway::call::RoutedRequest;
use crate::gateway::exchange::{AttemptFailure, BufferedResponse, OpenStream};
use crate::gateway::place::InFlightAttempt;
use crate::gateway::platform::Platform;
use crate::gateway::relay::split_complete_events;
use crate::gateway::state::Gateway;

/// How one attempt is sent and when it has its first response.
pub(in crate::gateway) trait Sending<P: Platform> {
    /// Response of an attempt.
    type Response;

    /// Sends a request and waits for the response or the first event; `is_watched` if
    /// there may be a second attempt.
    fn send(
        &self,
        gateway: &Rc<Gateway<P>>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
        timeout: Duration,
        is_watched: bool,
    ) -> impl Future<Output = Result<Self::Response, AttemptFailure>>;

    /// Failure that a response states; it gives way to the response of another attempt.
    fn failure(response: &Self::Response) -> Option<AttemptFailure>;
}

/// Request with a complete response.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Exchange;

impl<P: Platform> Sending<P> for Exchange {
    type Response = BufferedResponse;

    async fn send(
        &self,
        gateway: &Rc<Gateway<P>>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
        timeout: Duration,
        _is_watched: bool,
    ) -> Result<BufferedResponse, AttemptFailure> {
        gateway.exchange(request, in_flight, timeout).await
    }

    fn failure(response: &BufferedResponse) -> Option<AttemptFailure> {
        let failure = || AttemptFailure::FailureResponse(response.clone());
        response.is_failure().then(failure)
    }
}

/// Request for a stream.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Opening;

impl<P: Platform> Sending<P> for Opening {
    type Response = OpenStream;

    async fn send(
        &self,
        gateway: &Rc<Gateway<P>>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
        _timeout: Duration,
        is_watched: bool,
    ) -> Result<OpenStream, AttemptFailure> {
        let software = request.software.as_ref();
        let evidence_by_ms = request.evidence_by_ms(request.arrived_ms);
        let opening = gateway.open_stream_at(request, in_flight, None, software, evidence_by_ms);
        let mut opened = opening.await?;
        if is_watched {
            let time_left = request.time_left(gateway.now_ms());
            let reading = read_first_event(&mut opened);
            match compio::time::timeout(time_left, reading).await {
                Ok(read) => read?,
                Err(_) => return Err(AttemptFailure::TimedOut),
            }
        }
        Ok(opened)
    }

    fn failure(_response: &OpenStream) -> Option<AttemptFailure> {
        None
    }
}

/// Reads up to the end of the first event, which stays in `read_ahead`.
async fn read_first_event(opened: &mut OpenStream) -> Result<(), AttemptFailure> {
    let mut partial = BytesMut::new();
    loop {
        let data = match opened.body.frame().await {
            // An empty stream is complete.
            None if partial.is_empty() => return Ok(()),
            None | Some(Err(_)) => return Err(AttemptFailure::Unknown),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let events = split_complete_events(&mut partial, data).ok_or(AttemptFailure::Unknown)?;
        if !events.is_empty() {
            let mut read = BytesMut::from(&events[..]);
            read.extend_from_slice(&partial);
            opened.read_ahead = read.freeze();
            return Ok(());
        }
    }
}
