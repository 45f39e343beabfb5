//! Carries out orders to engines, one after another at each.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::acting::Acting;
use super::metrics::KindLabel;
use super::platform::{Authority, EngineReport, Order, OrderReply, Platform};
use crate::core::engine_book::{EngineLedger, REPORT_LAG_MS, ReportedState};
use crate::core::ids::UpstreamId;

/// Orders that wait for one engine at most.
const MAX_QUEUED: usize = 64;
/// Pause between two looks at an engine that is busy.
pub(super) const BUSY_POLL: Duration = Duration::from_millis(200);
/// Looks at an engine after which an order under way is given up; an unload
/// waits for the streams that run.
pub(super) const MAX_POLLS: u32 = 150;
/// Time for which an engine gets no further order after one failed, in
/// milliseconds.
const BLOCK_MS: u64 = 700;
/// Times that an order is sent until it is answered; an order without an
/// answer can run late until a later one is accepted.
const MAX_SENDS: u32 = 10;
/// Pause before an order without an answer is sent again.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(400);

/// Orders that wait for one engine.
#[derive(Debug, Default)]
pub struct OrderQueue {
    orders: VecDeque<Order>,
    current: Option<Order>,
}

impl OrderQueue {
    /// True if an order for a model waits or is being sent.
    pub fn has_model_orders(&self) -> bool {
        let is_model = |o: &Order| matches!(o, Order::LoadModel(_) | Order::UnloadModel(_));
        self.current.iter().chain(&self.orders).any(is_model)
    }
}

impl<P: Platform> Acting<P> {
    /// Adds an order for an engine and sees that it is carried out.
    pub fn enqueue(self: &Rc<Self>, upstream: UpstreamId, order: Order) {
        let mut orders = self.orders.borrow_mut();
        let queue = orders.entry(upstream.clone()).or_default();
        let is_known = queue.orders.contains(&order) || queue.current.as_ref() == Some(&order);
        if is_known || queue.orders.len() >= MAX_QUEUED {
            return;
        }
        queue.orders.push_back(order);
        if queue.current.is_some() {
            return;
        }
        queue.current = queue.orders.pop_front();
        drop(orders);
        let acting = Rc::clone(self);
        compio::runtime::spawn(async move { acting.work_off(upstream).await }).detach();
    }

    async fn work_off(self: Rc<Self>, upstream: UpstreamId) {
        loop {
            let current = {
                let orders = self.orders.borrow();
                orders.get(&upstream).and_then(|q| q.current.clone())
            };
            let Some(order) = current else {
                return;
            };
            self.carry_out_order(&upstream, &order).await;
            let mut orders = self.orders.borrow_mut();
            if let Some(queue) = orders.get_mut(&upstream) {
                queue.current = queue.orders.pop_front();
                if queue.current.is_none() {
                    orders.remove(&upstream);
                    return;
                }
            }
        }
    }

    async fn carry_out_order(self: &Rc<Self>, upstream: &UpstreamId, order: &Order) {
        // What a former acting host ordered shows in the engine's report.
        if !self.knows_count(upstream).await {
            return self.block(upstream);
        }
        match order {
            Order::LoadModel(model) => self.load_model(upstream, model).await,
            Order::UnloadModel(model) => self.unload_model(upstream, model).await,
            Order::LoadAdapter(model, adapter) => {
                self.load_adapter(upstream, model, adapter).await;
            }
            Order::UnloadAdapter(model, adapter) => {
                self.unload_adapter(upstream, model, adapter).await;
            }
        }
    }

    pub(super) fn with_book<T>(
        &self,
        upstream: &UpstreamId,
        act: impl FnOnce(&mut EngineLedger) -> T,
    ) -> Option<T> {
        let mut state = self.state.borrow_mut();
        state.engines.get_mut(upstream).map(act)
    }

    pub(super) fn addr_of(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let registry = self.gateway.registry.borrow();
        registry.get(upstream.as_str()).map(|e| e.addr)
    }

    pub(super) fn block(&self, upstream: &UpstreamId) {
        let until_ms = self.gateway.now_ms() + BLOCK_MS;
        self.with_book(upstream, |b| b.blocked_until_ms = until_ms);
    }

    /// Makes sure that the count of an engine's orders is known.
    pub(super) async fn knows_count(&self, upstream: &UpstreamId) -> bool {
        if self
            .with_book(upstream, |b| b.orders_accepted)
            .flatten()
            .is_some()
        {
            return true;
        }
        let Some(addr) = self.addr_of(upstream) else {
            return false;
        };
        self.learn(upstream, addr).await == Learnt::Changed
    }

    /// Sends an order: again while it has no answer, and with the right count
    /// of orders if the engine has accepted more than known.
    pub(super) async fn send_order(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        order: &Order,
    ) -> OrderReply {
        let mut had_no_answer = false;
        for _ in 0..MAX_SENDS {
            let Some(addr) = self.addr_of(upstream) else {
                return OrderReply::NotSent;
            };
            let Some(fence) = self.membership.acting_term() else {
                return if had_no_answer {
                    OrderReply::Unknown
                } else {
                    OrderReply::NotSent
                };
            };
            let known = self.with_book(upstream, |b| b.orders_accepted).flatten();
            let Some(after_orders) = known else {
                return OrderReply::NotSent;
            };
            let authority = Authority {
                holder: self.gateway.settings().host.as_str().to_owned(),
                fence,
                after_orders,
            };
            let platform = &self.gateway.platform;
            let reply = platform.order(addr, upstream, order, &authority).await;
            self.note_order(upstream, order, &authority, reply);
            match reply {
                OrderReply::Unknown => {
                    had_no_answer = true;
                    compio::time::sleep(UNKNOWN_PAUSE).await;
                }
                OrderReply::Conflict => {
                    // A report lags; it must be younger than the refusal.
                    compio::time::sleep(Duration::from_millis(REPORT_LAG_MS)).await;
                    match self.learn(upstream, addr).await {
                        Learnt::Changed => {}
                        // The earlier order was accepted, its answer lost.
                        Learnt::Busy if had_no_answer => return OrderReply::Accepted,
                        Learnt::Busy | Learnt::Nothing => {
                            self.block(upstream);
                            return OrderReply::Conflict;
                        }
                    }
                }
                OrderReply::NotSent if had_no_answer => {
                    compio::time::sleep(UNKNOWN_PAUSE).await;
                }
                _ => return reply,
            }
        }
        OrderReply::Unknown
    }

    fn note_order(
        &self,
        upstream: &UpstreamId,
        order: &Order,
        authority: &Authority,
        reply: OrderReply,
    ) {
        let now_ms = self.gateway.now_ms();
        self.with_book(upstream, |book| {
            book.updated_ms = now_ms;
            let is_immediate = matches!(order, Order::UnloadAdapter(..));
            if reply == OrderReply::Accepted || (reply == OrderReply::Holds && is_immediate) {
                book.on_order_accepted(now_ms);
            }
        });
        if reply == OrderReply::Fenced {
            self.membership.step_down("fenced");
        }
        let kind = match order {
            Order::LoadModel(_) => "load_model",
            Order::UnloadModel(_) => "unload_model",
            Order::LoadAdapter(..) => "load_adapter",
            Order::UnloadAdapter(..) => "unload_adapter",
        };
        let orders = &self.gateway.metrics.orders;
        orders.get_or_create(&KindLabel { kind }).inc();
        tracing::info!(
            event = "order",
            upstream = %upstream,
            order = %order,
            fence = authority.fence,
            after_orders = authority.after_orders,
            reply = ?reply,
        );
    }

    /// Asks an engine what it holds, unless an order is on its way to it.
    pub async fn refresh(&self, upstream: &UpstreamId) {
        let Some(addr) = self.addr_of(upstream) else {
            return;
        };
        if self.orders.borrow().contains_key(upstream) {
            return;
        }
        let before = self.with_book(upstream, |b| b.resident.clone());
        self.learn(upstream, addr).await;
        let is_changed = before != self.with_book(upstream, |b| b.resident.clone());
        if is_changed {
            self.broadcast_holdings(upstream);
        }
    }

    /// Learns from an engine's report what it holds and how many orders it has
    /// accepted.
    async fn learn(&self, upstream: &UpstreamId, addr: SocketAddr) -> Learnt {
        let Some(report) = self.gateway.platform.report(addr).await else {
            return Learnt::Nothing;
        };
        let now_ms = self.gateway.now_ms();
        let learnt = self.with_book(upstream, |book| {
            if report.started_ms != book.started_ms {
                return Learnt::Nothing;
            }
            let known = book.orders_accepted;
            book.apply_report(&reported(&report), now_ms);
            if report.is_busy {
                Learnt::Busy
            } else if book.orders_accepted == known {
                Learnt::Nothing
            } else {
                Learnt::Changed
            }
        });
        let learnt = learnt.unwrap_or(Learnt::Nothing);
        tracing::info!(
            event = "order_count",
            upstream = %upstream,
            reported = report.orders_accepted,
            learnt = ?learnt,
        );
        learnt
    }
}

/// What a report told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Learnt {
    /// The engine is busy with an order.
    Busy,
    /// The count of orders is another than known.
    Changed,
    /// Nothing new, or no report.
    Nothing,
}

pub(super) fn reported(report: &EngineReport) -> ReportedState<'_> {
    ReportedState {
        orders_accepted: report.orders_accepted,
        is_busy: report.is_busy,
        resident: &report.holds,
        loading_adapters: &report.coming,
    }
}
