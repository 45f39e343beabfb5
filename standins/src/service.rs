//! Stand-in for a plain service: bookings that must not run twice.

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

use super::http::{broken_off, read_json};
use super::plan::ServicePlan;

/// Faults of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Nothing is answered; bookings still run.
    pub runs_without_answer: bool,
    /// Answers break off after their head; bookings have run.
    pub breaks_off: bool,
    /// More time per call in milliseconds.
    pub slow_ms: u64,
}

/// Bookings that ran, over all services of the process.
#[derive(Debug, Default)]
pub struct Bookings(RefCell<HashMap<String, u32>>);

impl Bookings {
    fn run(&self, name: &str) -> u32 {
        let mut runs = self.0.borrow_mut();
        let count = runs.entry(name.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// How often a booking ran.
    pub fn runs(&self, name: &str) -> u32 {
        self.0.borrow().get(name).copied().unwrap_or(0)
    }

    /// Bookings that ran.
    pub fn total(&self) -> usize {
        self.0.borrow().len()
    }

    /// Bookings that ran more than once.
    pub fn doubled(&self) -> usize {
        self.0.borrow().values().filter(|&&n| n > 1).count()
    }
}

/// Body of a booking.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Booking {
    /// Unique name.
    pub name: String,
}

/// Answer to a booking.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Booked {
    /// Unique name.
    pub name: String,
    /// Service that ran it.
    pub by: UpstreamId,
}

/// The service.
#[derive(Debug)]
pub struct PlainService {
    plan: ServicePlan,
    bookings: Rc<Bookings>,
    in_flight: Cell<u32>,
    faults: Cell<ServiceFaults>,
}

impl PlainService {
    /// Idle service.
    pub fn new(plan: ServicePlan, bookings: Rc<Bookings>) -> Self {
        Self {
            plan,
            bookings,
            in_flight: Cell::new(0),
            faults: Cell::default(),
        }
    }

    /// What it was set up as.
    pub fn plan(&self) -> &ServicePlan {
        &self.plan
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.faults.set(faults);
    }

    async fn work(&self) {
        let ms = self.plan.work_ms + self.faults.get().slow_ms;
        if ms > 0 {
            compio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    async fn book(&self, request: Request<Incoming>) -> Result<ServerResponse, ServerResponse> {
        let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let booking: Booking = read_json(request).await?;
        self.work().await;
        self.bookings.run(&booking.name);
        let faults = self.faults.get();
        if faults.runs_without_answer {
            return std::future::pending().await;
        }
        if faults.breaks_off {
            return Err(broken_off());
        }
        let booked = Booked {
            name: booking.name,
            by: self.plan.id.clone(),
        };
        let mut answer = body::json(200, &booked);
        if let Some(id) = request_id {
            answer.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(answer)
    }

    async fn answer(&self, request: Request<Incoming>) -> ServerResponse {
        self.in_flight.set(self.in_flight.get() + 1);
        let result = match request.uri().path() {
            "/status" => Ok(body::text(200, r#"{"accepts_work":true}"#)),
            "/book" => self.book(request).await,
            "/echo" => Ok(body::text(200, "ok")),
            "/free" => {
                self.work().await;
                Ok(body::text(200, "free\n"))
            }
            _ => Err(body::text(404, "no such path\n")),
        };
        self.in_flight.set(self.in_flight.get() - 1);
        result.unwrap_or_else(|answer| answer)
    }
}

/// Serves a [`PlainService`].
#[derive(Debug)]
pub struct ServiceHandler(pub Rc<PlainService>);

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        self.0.answer(request).await
    }
}
