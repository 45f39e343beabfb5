//! Stand-in for the platform's list of live and leaving hosts, with its lag.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use currantcove::core::fleet::ListedState;
use currantcove::core::ids::ZoneId;
use currantcove::core::membership::ListedHost;
use currantcove::edge::body::{self, ServerResponse};
use currantcove::edge::server::Handler;
use currantcove::services::host_list::HostList;
use hyper::Request;
use hyper::body::Incoming;

use super::relay::{End, Network};

/// The list.
#[derive(Debug)]
pub struct Hosts {
    lag: Duration,
    current: RefCell<HostList>,
    published: RefCell<HostList>,
}

impl Hosts {
    /// List with a lag.
    pub fn new(list: HostList, lag: Duration) -> Self {
        Self {
            lag,
            current: RefCell::new(list.clone()),
            published: RefCell::new(list),
        }
    }

    /// Adds or replaces an entry host.
    pub fn set_entry_host(self: &Rc<Self>, host: ListedHost) {
        let mut current = self.current.borrow_mut();
        current.entry_hosts.retain(|h| h.id != host.id);
        current.entry_hosts.push(host);
        drop(current);
        self.publish();
    }

    /// Changes the state of an upstream; `None` takes it off the list.
    pub fn set_upstream(self: &Rc<Self>, id: &str, state: Option<ListedState>) {
        let mut current = self.current.borrow_mut();
        match state {
            None => current.upstreams.retain(|u| u.id.as_str() != id),
            Some(state) => {
                let listed = current.upstreams.iter_mut().filter(|u| u.id.as_str() == id);
                listed.for_each(|u| u.state = state);
            }
        }
        drop(current);
        self.publish();
    }

    fn publish(self: &Rc<Self>) {
        let hosts = Rc::clone(self);
        let list = self.current.borrow().clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(hosts.lag).await;
            *hosts.published.borrow_mut() = list;
        })
        .detach();
    }
}

/// Serves [`Hosts`] as one availability zone sees them: what lies elsewhere is
/// reached over paths of the network.
#[derive(Debug)]
pub struct HostsHandler {
    /// List.
    pub hosts: Rc<Hosts>,
    /// Network between the zones.
    pub network: Rc<Network>,
    /// Availability zone of the readers.
    pub zone: ZoneId,
}

impl HostsHandler {
    async fn seen_from_zone(&self) -> io::Result<HostList> {
        let mut list = self.hosts.published.borrow().clone();
        for host in list.entry_hosts.iter_mut().filter(|h| h.zone != self.zone) {
            let to = End::Zone(host.zone.clone());
            host.peer_addr = self.network.path(&self.zone, to, host.peer_addr).await?;
        }
        for upstream in list.upstreams.iter_mut().filter(|u| u.zone != self.zone) {
            let to = End::Zone(upstream.zone.clone());
            upstream.addr = self.network.path(&self.zone, to, upstream.addr).await?;
        }
        Ok(list)
    }
}

impl Handler for HostsHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        match request.uri().path() {
            "/hosts" => match self.seen_from_zone().await {
                Ok(list) => body::json(200, &list),
                Err(error) => body::text(500, format!("{error}\n")),
            },
            _ => body::text(404, "no such path\n"),
        }
    }
}
