//! Stand-in for a plain service. It counts the executions of each booking, so that
//! tests detect a booking that runs twice.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use currantcove::core::ids::UpstreamId;
use currantcove::edge::body::{self, ServerResponse};
use currantcove::edge::server::Handler;
use currantcove::services::dispatch::REQUEST_ID_HEADER;
use hyper::Request;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::http::{read_json, truncated_response};
use super::plan::ServicePlan;

/// Faults that are injected into a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Bookings run, but get no response.
    pub runs_without_answer: bool,
    /// Bookings run, but their responses are truncated after the head.
    pub breaks_off: bool,
    /// Additional service time per call in milliseconds.
    pub slow_ms: u64,
}

/// Executions of each booking by its name, over all services of the process.
#[derive(Debug, Default)]
pub struct Bookings(RefCell<HashMap<String, u32>>);

impl Bookings {
    fn record_run(&self, name: &str) -> u32 {
        let mut runs = self.0.borrow_mut();
        let count = runs.entry(name.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Number of executions of a booking.
    pub fn run_count(&self, name: &str) -> u32 {
        self.0.borrow().get(name).copied().unwrap_or(0)
    }

    /// Number of distinct bookings that ran.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Number of bookings that ran more than once.
    pub fn duplicate_count(&self) -> usize {
        self.0.borrow().values().filter(|&&n| n > 1).count()
    }
}

/// Request body of a booking.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Booking {
    /// Unique name.
    pub name: String,
}

/// Response body of a booking.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BookingResponse {
    /// Unique name.
    pub name: String,
    /// Service that executed the booking.
    pub by: UpstreamId,
}

/// Plain service with a fixed service time and injectable faults.
#[derive(Debug)]
pub struct PlainService {
    plan: ServicePlan,
    bookings: Rc<Bookings>,
    in_flight: Cell<u32>,
    faults: Cell<ServiceFaults>,
}

impl PlainService {
    /// Service without calls in flight.
    pub fn new(plan: ServicePlan, bookings: Rc<Bookings>) -> Self {
        Self {
            plan,
            bookings,
            in_flight: Cell::new(0),
            faults: Cell::default(),
        }
    }

    /// Configured capacity and timing.
    pub fn plan(&self) -> &ServicePlan {
        &self.plan
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.faults.set(faults);
    }

    async fn simulate_work(&self) {
        let service_time_ms = self.plan.work_ms + self.faults.get().slow_ms;
        if service_time_ms > 0 {
            compio::time::sleep(Duration::from_millis(service_time_ms)).await;
        }
    }

    async fn handle_booking(
        &self,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, ServerResponse> {
        let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let booking: Booking = read_json(request).await?;
        self.simulate_work().await;
        self.bookings.record_run(&booking.name);
        let faults = self.faults.get();
        if faults.runs_without_answer {
            return std::future::pending().await;
        }
        if faults.breaks_off {
            return Err(truncated_response());
        }
        let response_body = BookingResponse {
            name: booking.name,
            by: self.plan.id.clone(),
        };
        let mut response = body::json(200, &response_body);
        if let Some(id) = request_id {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(response)
    }

    async fn handle_request(&self, request: Request<Incoming>) -> ServerResponse {
        self.in_flight.set(self.in_flight.get() + 1);
        let result = match request.uri().path() {
            "/status" => Ok(body::text(200, r#"{"accepts_work":true}"#)),
            "/book" => self.handle_booking(request).await,
            "/echo" => Ok(body::text(200, "ok")),
            "/free" => {
                self.simulate_work().await;
                Ok(body::text(200, "free\n"))
            }
            _ => Err(body::text(404, "no such path\n")),
        };
        self.in_flight.set(self.in_flight.get() - 1);
        result.unwrap_or_else(|response| response)
    }
}

/// HTTP handler of a [`PlainService`].
#[derive(Debug)]
pub struct ServiceHandler(pub Rc<PlainService>);

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        self.0.handle_request(request).await
    }
}
