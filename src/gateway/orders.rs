//! Queues orders to engines and executes them one at a time per engine.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::acting::ActingHostService;
use super::metrics::OrderLabels;
use super::platform::{
    EngineReport, Order, OrderPreconditions, OrderReply, OrderResponse, Platform,
};
use crate::core::engine_ledger::{EngineLedger, OrderBasis, REPORT_LAG_MS, ReportedState};
use crate::core::ids::UpstreamId;
use crate::core::rate_account::Purpose;
use crate::core::upstream_notice::UpstreamNotice;

/// Limit of the queue of one engine.
const MAX_QUEUED_ORDERS: usize = 64;
/// Time between two reports that are requested from a busy engine.
pub(super) const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Reports requested until an order in progress counts as failed; an unload
/// takes as long as the running streams.
pub(super) const MAX_ORDER_POLLS: u32 = 150;
/// Time for which an engine is sent no further order after one failed.
const FAILED_ORDER_BLOCK_MS: u64 = 700;
/// Limit of the attempts to send an order to which the engine does not reply; such
/// an order can still be executed until the engine accepts a later one.
const MAX_SEND_ATTEMPTS: u32 = 10;
/// Delay before an unanswered order is sent again.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Queue of orders to one engine.
#[derive(Debug, Default)]
pub struct OrderQueue {
    orders: VecDeque<Order>,
    in_progress: Option<Order>,
}

impl OrderQueue {
    /// True if an order is queued or in progress.
    pub fn contains(&self, order: &Order) -> bool {
        self.in_progress.as_ref() == Some(order) || self.orders.contains(order)
    }

    /// Number of adapter loads that are queued and not yet in progress.
    pub fn adapter_load_count(&self) -> usize {
        let is_load = |o: &&Order| matches!(o, Order::LoadAdapter(..));
        self.orders.iter().filter(is_load).count()
    }

    /// True if an order for a model is queued or in progress.
    pub fn has_model_orders(&self) -> bool {
        let is_model = |o: &Order| matches!(o, Order::LoadModel(_) | Order::UnloadModel(_));
        self.in_progress.iter().chain(&self.orders).any(is_model)
    }
}

impl<P: Platform> ActingHostService<P> {
    /// Queues an order and starts the engine's worker task unless it is running.
    /// Duplicates are dropped, and so are orders to a full queue.
    pub fn enqueue(self: &Rc<Self>, upstream: UpstreamId, order: Order) {
        let mut orders = self.orders.borrow_mut();
        let queue = orders.entry(upstream.clone()).or_default();
        if queue.contains(&order) || queue.orders.len() >= MAX_QUEUED_ORDERS {
            return;
        }
        queue.orders.push_back(order);
        if queue.in_progress.is_some() {
            return;
        }
        queue.in_progress = queue.orders.pop_front();
        drop(orders);
        let acting = Rc::clone(self);
        compio::runtime::spawn(async move { acting.run_queue(upstream).await }).detach();
    }

    async fn run_queue(self: Rc<Self>, upstream: UpstreamId) {
        loop {
            let in_progress = {
                let orders = self.orders.borrow();
                orders.get(&upstream).and_then(|q| q.in_progress.clone())
            };
            let Some(order) = in_progress else {
                return;
            };
            self.execute_order(&upstream, &order).await;
            let mut orders = self.orders.borrow_mut();
            if let Some(queue) = orders.get_mut(&upstream) {
                queue.in_progress = queue.orders.pop_front();
                if queue.in_progress.is_none() {
                    orders.remove(&upstream);
                    return;
                }
            }
        }
    }

    async fn execute_order(self: &Rc<Self>, upstream: &UpstreamId, order: &Order) {
        // The engine's report shows the orders of earlier acting hosts.
        if !self.ensure_order_count(upstream).await {
            return self.block_engine(upstream);
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

    pub(super) fn with_ledger<T>(
        &self,
        upstream: &UpstreamId,
        update: impl FnOnce(&mut EngineLedger) -> T,
    ) -> Option<T> {
        let mut state = self.state.borrow_mut();
        state.engines.get_mut(upstream).map(update)
    }

    pub(super) fn addr_of(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let registry = self.gateway.registry.borrow();
        registry.get(upstream.as_str()).map(|e| e.addr)
    }

    pub(super) fn block_engine(&self, upstream: &UpstreamId) {
        let until_ms = self.gateway.now_ms() + FAILED_ORDER_BLOCK_MS;
        self.with_ledger(upstream, |l| l.blocked_until_ms = until_ms);
    }

    /// Fetches the engine's count of accepted orders if it is unknown; false if
    /// it stays unknown.
    pub(super) async fn ensure_order_count(self: &Rc<Self>, upstream: &UpstreamId) -> bool {
        if self
            .with_ledger(upstream, |l| l.orders_accepted)
            .flatten()
            .is_some()
        {
            return true;
        }
        let Some(addr) = self.addr_of(upstream) else {
            return false;
        };
        self.update_from_report(upstream, addr).await == ReportOutcome::Changed
    }

    /// Decides an order by the ledger of its engine; `None` if this host does not act
    /// by that ledger or the order is not to be sent.
    pub(super) fn decide(
        &self,
        upstream: &UpstreamId,
        charge: impl FnOnce(&mut EngineLedger) -> Option<OrderBasis>,
    ) -> Option<Decision> {
        let term = self.ledger_term()?;
        let basis = self.with_ledger(upstream, charge).flatten()?;
        Some(Decision { term, basis })
    }

    /// Term of this host, if the ledgers are of that term.
    fn ledger_term(&self) -> Option<u64> {
        let term = self.membership.acting_term()?;
        (self.state.borrow().term == term).then_some(term)
    }

    /// True if nothing has changed at an engine since an order was decided.
    fn is_current(&self, upstream: &UpstreamId, decision: Decision) -> bool {
        self.ledger_term() == Some(decision.term)
            && self.with_ledger(upstream, |l| l.basis()).flatten() == Some(decision.basis)
    }

    /// Sends an order by the state by which it was decided, and repeats it while it is
    /// unanswered.
    pub(super) async fn send_order(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        order: &Order,
        decision: Decision,
    ) -> OrderResult {
        let mut has_unanswered_attempt = false;
        for attempt in 1..=MAX_SEND_ATTEMPTS {
            // Nothing may be awaited between the check of the term and the order.
            if !self.gateway.take_permit(upstream, Purpose::Control).await {
                // Each order that is decided takes an adapter out of service for a moment.
                self.block_engine(upstream);
                return result_without_sending(has_unanswered_attempt);
            }
            if !self.is_current(upstream, decision) {
                let known = self.with_ledger(upstream, |l| l.basis()).flatten();
                return result_without_basis(decision.basis, known, has_unanswered_attempt);
            }
            let addr = self.addr_of(upstream);
            let Some(addr) = addr.filter(|_| !self.gateway.is_closed(upstream)) else {
                return result_without_sending(has_unanswered_attempt);
            };
            let preconditions = OrderPreconditions {
                holder: self.gateway.settings().host.as_str().to_owned(),
                term: decision.term,
                expected_order_count: decision.basis.orders_accepted,
            };
            let platform = &self.gateway.platform;
            let sent_ms = self.gateway.now_ms();
            let OrderResponse {
                reply,
                notice,
                is_cut_off,
            } = platform
                .send_order(addr, upstream, order, &preconditions)
                .await;
            if is_cut_off {
                self.gateway.on_endless_response(upstream, "order");
            }
            if reply != OrderReply::WrongInstance {
                self.gateway.apply_notice(upstream, sent_ms, notice);
            }
            self.record_reply(upstream, order, decision.basis, reply);
            self.log_reply(upstream, order, &preconditions, reply, attempt);
            match reply {
                OrderReply::Accepted => return OrderResult::Accepted,
                OrderReply::Holds => return OrderResult::Holds,
                OrderReply::Unknown => {
                    has_unanswered_attempt = true;
                    compio::time::sleep(UNANSWERED_RETRY_DELAY).await;
                }
                OrderReply::Conflict => {
                    // Reports lag behind; this one must be newer than the refusal.
                    compio::time::sleep(Duration::from_millis(REPORT_LAG_MS)).await;
                    let outcome = self.publish_reported_holdings(upstream, addr).await;
                    let result = result_after_conflict(order, outcome, has_unanswered_attempt);
                    if result == Some(OrderResult::Refused) {
                        self.block_engine(upstream);
                    }
                    if let Some(result) = result {
                        return result;
                    }
                }
                OrderReply::NotSent if has_unanswered_attempt => {
                    compio::time::sleep(UNANSWERED_RETRY_DELAY).await;
                }
                OrderReply::WrongInstance => {
                    // The engine is gone, or it does not have the model of an adapter.
                    self.publish_reported_holdings(upstream, addr).await;
                    return OrderResult::Refused;
                }
                OrderReply::NotSent | OrderReply::Fenced | OrderReply::Invalid => {
                    return OrderResult::Refused;
                }
            }
        }
        OrderResult::Unknown
    }

    fn record_reply(
        &self,
        upstream: &UpstreamId,
        order: &Order,
        basis: OrderBasis,
        reply: OrderReply,
    ) {
        let now_ms = self.gateway.now_ms();
        self.with_ledger(upstream, |ledger| {
            ledger.updated_ms = now_ms;
            match reply {
                OrderReply::NotSent => {
                    ledger.on_unreachable();
                    ledger.blocked_until_ms = now_ms + FAILED_ORDER_BLOCK_MS;
                }
                OrderReply::WrongInstance => {
                    ledger.blocked_until_ms = now_ms + FAILED_ORDER_BLOCK_MS;
                }
                OrderReply::Unknown => {}
                _ => ledger.on_contact(),
            }
            let is_immediate = matches!(order, Order::UnloadAdapter(..));
            if reply == OrderReply::Accepted || (reply == OrderReply::Holds && is_immediate) {
                ledger.on_order_accepted(basis, now_ms);
            }
        });
        if reply == OrderReply::Fenced {
            self.membership.step_down("fenced");
        }
    }

    /// Logs a reply with what the ledger charges after it.
    fn log_reply(
        &self,
        upstream: &UpstreamId,
        order: &Order,
        preconditions: &OrderPreconditions,
        reply: OrderReply,
        attempt: u32,
    ) {
        let kind = match order {
            Order::LoadModel(_) => "load_model",
            Order::UnloadModel(_) => "unload_model",
            Order::LoadAdapter(..) => "load_adapter",
            Order::UnloadAdapter(..) => "unload_adapter",
        };
        let orders = &self.gateway.metrics.orders;
        orders.get_or_create(&OrderLabels { kind }).inc();
        let (charged_adapters, charged_mb) = self.charges(upstream);
        tracing::info!(
            event = "order",
            upstream = %upstream,
            order = %order,
            fence = preconditions.term,
            after_orders = preconditions.expected_order_count,
            reply = ?reply,
            attempt,
            charged_adapters,
            charged_mb,
        );
    }

    /// Adapter slots and memory in MB that the ledger charges at an engine.
    fn charges(&self, upstream: &UpstreamId) -> (usize, u64) {
        let Some(spec) = self.engine_spec(upstream) else {
            return (0, 0);
        };
        let charges = self.with_ledger(upstream, |ledger| {
            (ledger.charged_adapter_slots(), ledger.charged_mb(&spec))
        });
        charges.unwrap_or_default()
    }

    /// Updates the ledger from the engine's report, unless orders are queued for it,
    /// and publishes changed holdings.
    pub async fn refresh_holdings(self: &Rc<Self>, upstream: &UpstreamId) {
        let Some(addr) = self.addr_of(upstream) else {
            return;
        };
        if !self.orders.borrow().contains_key(upstream) {
            self.publish_reported_holdings(upstream, addr).await;
        }
    }

    /// Updates the ledger from the engine's report, and publishes changed holdings.
    async fn publish_reported_holdings(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        addr: SocketAddr,
    ) -> ReportOutcome {
        let before = self.with_ledger(upstream, |l| l.resident.clone());
        let outcome = self.update_from_report(upstream, addr).await;
        let is_changed = before != self.with_ledger(upstream, |l| l.resident.clone());
        if is_changed {
            self.publish_holdings(upstream);
        }
        outcome
    }

    /// Requests an engine's report, unless the engine wants no requests, and applies
    /// its notice.
    pub(super) async fn request_report(
        &self,
        upstream: &UpstreamId,
        addr: SocketAddr,
    ) -> Option<EngineReport> {
        let is_closed = self.gateway.is_closed(upstream);
        if is_closed || !self.gateway.take_permit(upstream, Purpose::Control).await {
            return None;
        }
        let sent_ms = self.gateway.now_ms();
        let response = self.gateway.platform.fetch_report(addr).await;
        if response.is_cut_off {
            self.gateway.on_endless_response(upstream, "report");
        }
        let listed_ms = {
            let registry = self.gateway.registry.borrow();
            registry.get(upstream.as_str()).map(|e| e.started_ms)
        };
        // A report is not addressed to an incarnation; another one may have sent it.
        let reported_ms = response.report.as_ref().map(|r| r.started_ms);
        let notice = if reported_ms == listed_ms {
            response.notice
        } else {
            UpstreamNotice {
                closed_for: response.notice.closed_for,
                ..UpstreamNotice::default()
            }
        };
        self.gateway.apply_notice(upstream, sent_ms, notice);
        response.report
    }

    /// Requests an engine's report and updates its holdings and its count of
    /// accepted orders in the ledger.
    async fn update_from_report(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        addr: SocketAddr,
    ) -> ReportOutcome {
        let Some(report) = self.request_report(upstream, addr).await else {
            return ReportOutcome::Nothing;
        };
        let now_ms = self.gateway.now_ms();
        let is_gone = self.with_ledger(upstream, |l| l.on_incarnation(report.started_ms));
        if is_gone == Some(true) {
            tracing::info!(event = "upstream", upstream = %upstream, change = "replaced");
            self.publish_holdings(upstream);
        }
        let outcome = self.with_ledger(upstream, |ledger| {
            if report.started_ms != ledger.started_ms {
                return ReportOutcome::Nothing;
            }
            ledger.on_contact();
            let known = ledger.orders_accepted;
            ledger.apply_report(&report_view(&report), now_ms);
            if report.is_busy {
                ReportOutcome::Busy
            } else if ledger.orders_accepted == known {
                ReportOutcome::Nothing
            } else {
                ReportOutcome::Changed
            }
        });
        let outcome = outcome.unwrap_or(ReportOutcome::Nothing);
        let (charged_adapters, charged_mb) = self.charges(upstream);
        let adapters: usize = report.resident.values().map(BTreeSet::len).sum();
        tracing::info!(
            event = "order_count",
            upstream = %upstream,
            reported = report.orders_accepted,
            learnt = ?outcome,
            is_busy = report.is_busy,
            models = report.resident.len(),
            adapters,
            loading_adapters = report.loading_adapters.len(),
            charged_adapters,
            charged_mb,
        );
        outcome
    }
}

/// Term and state of an engine by which an order was decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Term of the host that decided.
    pub term: u64,
    /// State of the engine.
    pub basis: OrderBasis,
}

/// Result of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The engine executes the order.
    Accepted,
    /// The engine is in the ordered state already.
    Holds,
    /// The order has not been executed and never will be.
    Refused,
    /// The engine has accepted other orders since this one was decided, which is not
    /// executed any more, or a report shows its effect.
    Superseded,
    /// The order may be executed until the engine accepts a later one.
    Unknown,
}

/// Result of an order that cannot be sent now; an earlier attempt may still be executed.
pub fn result_without_sending(has_unanswered_attempt: bool) -> OrderResult {
    if has_unanswered_attempt {
        OrderResult::Unknown
    } else {
        OrderResult::Refused
    }
}

/// Result of an order whose engine is no longer in the state by which it was decided;
/// `known` is its present state. An earlier attempt can still be executed unless the
/// engine has accepted another order.
pub fn result_without_basis(
    basis: OrderBasis,
    known: Option<OrderBasis>,
    has_unanswered_attempt: bool,
) -> OrderResult {
    let is_void = known.is_some_and(|known| {
        known.started_ms == basis.started_ms && known.orders_accepted > basis.orders_accepted
    });
    if is_void || !has_unanswered_attempt {
        OrderResult::Superseded
    } else {
        OrderResult::Unknown
    }
}

/// Result of an order that conflicts with another one, by the report that follows;
/// `None` if the order is to be sent again, unless the engine's state has changed.
pub fn result_after_conflict(
    order: &Order,
    outcome: ReportOutcome,
    has_unanswered_attempt: bool,
) -> Option<OrderResult> {
    let is_for_model = matches!(order, Order::LoadModel(_) | Order::UnloadModel(_));
    match (outcome, has_unanswered_attempt) {
        // Without a change, the report may predate an earlier attempt that is being
        // executed; the next attempt or report shows it.
        (ReportOutcome::Changed, _) | (ReportOutcome::Nothing, true) => None,
        // An earlier attempt was accepted; its response was lost.
        (ReportOutcome::Busy, true) if is_for_model => Some(OrderResult::Accepted),
        (ReportOutcome::Busy, true) => Some(OrderResult::Unknown),
        (ReportOutcome::Busy | ReportOutcome::Nothing, false) => Some(OrderResult::Refused),
    }
}

/// Effect of an engine's report on its ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The engine is loading or unloading a model.
    Busy,
    /// The count of accepted orders differs from the ledger's.
    Changed,
    /// The count is unchanged, or there is no report of this incarnation.
    Nothing,
}

pub(super) fn report_view(report: &EngineReport) -> ReportedState<'_> {
    ReportedState {
        orders_accepted: report.orders_accepted,
        is_busy: report.is_busy,
        resident: &report.resident,
        loading_adapters: &report.loading_adapters,
    }
}
