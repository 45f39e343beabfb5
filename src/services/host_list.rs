//! Polls the platform's list of live and draining hosts.
//!
//! The list lags behind the actual state.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::host::Host;
use crate::core::fleet::ListedUpstream;
use crate::core::membership::ListedHost;
use crate::edge::body;
use crate::kernel::Service;

/// Time between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// List of hosts as the platform serves it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// Entry hosts.
    pub entry_hosts: Vec<ListedHost>,
    /// Upstreams.
    pub upstreams: Vec<ListedUpstream>,
}

/// Service that polls the list.
#[derive(Debug)]
pub struct HostListService {
    host: Rc<Host>,
}

impl HostListService {
    /// Creates the service on the shared state.
    pub fn new(host: Rc<Host>) -> Self {
        Self { host }
    }

    async fn fetch(&self) -> Option<HostList> {
        let addr = self.host.settings.host_list_addr;
        let request = Request::get("/hosts").header(HOST, addr.to_string());
        let request = request.body(Full::default()).ok()?;
        let response = self.host.pool.send(addr, request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let json = body::read(response.into_body(), MAX_LIST_BYTES, FETCH_TIMEOUT)
            .await
            .ok()?;
        serde_json::from_slice(&json).ok()
    }

    fn apply(&self, list: &HostList) {
        self.host
            .membership
            .borrow_mut()
            .set_listed(&list.entry_hosts);
        self.host.fleet.borrow_mut().set_listed(&list.upstreams);
    }
}

impl Service for HostListService {
    const NAME: &'static str = "host-list";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let poll = async {
            loop {
                // The previous list stays valid if a poll fails.
                if let Ok(Some(list)) = compio::time::timeout(FETCH_TIMEOUT, self.fetch()).await {
                    self.apply(&list);
                }
                compio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let _ = cancel.run_until_cancelled(poll).await;
    }
}
