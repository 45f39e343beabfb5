//! TCP relays between availability zones, which tests can cut.
//!
//! Each relay listens on an address of its own. While it is cut, it forwards no
//! data: open connections stall, and new ones are accepted but not forwarded.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use currantcove::core::ids::ZoneId;

/// Interval at which a cut relay checks whether the cut is healed.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;

/// Endpoint of a relay.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Endpoint {
    /// Availability zone.
    Zone(ZoneId),
    /// Services of the platform.
    Platform,
}

/// All relays, and the pairs of endpoints that are cut.
#[derive(Debug, Default)]
pub struct Network {
    relays: RefCell<BTreeMap<(ZoneId, SocketAddr), SocketAddr>>,
    cuts: RefCell<Vec<(Endpoint, Endpoint)>>,
}

impl Network {
    /// Address of the relay from a zone to a target, which is started on first use.
    pub async fn relay_addr(
        self: &Rc<Self>,
        from: &ZoneId,
        to: Endpoint,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let key = (from.clone(), target);
        if let Some(&addr) = self.relays.borrow().get(&key) {
            return Ok(addr);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        self.relays.borrow_mut().insert(key, addr);
        let relay = Relay {
            network: Rc::clone(self),
            from: Endpoint::Zone(from.clone()),
            to,
            target,
        };
        compio::runtime::spawn(Rc::new(relay).accept_all(listener)).detach();
        Ok(addr)
    }

    /// Cuts or heals every relay between two endpoints, in both directions.
    pub fn set_cut(&self, a: &Endpoint, b: &Endpoint, is_cut: bool) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.retain(|(x, y)| !((x == a && y == b) || (x == b && y == a)));
        if is_cut {
            cuts.push((a.clone(), b.clone()));
        }
    }

    fn is_cut(&self, a: &Endpoint, b: &Endpoint) -> bool {
        let cuts = self.cuts.borrow();
        cuts.iter()
            .any(|(x, y)| (x == a && y == b) || (x == b && y == a))
    }
}

#[derive(Debug)]
struct Relay {
    network: Rc<Network>,
    from: Endpoint,
    to: Endpoint,
    target: SocketAddr,
}

/// Set when one direction of a connection ends, which closes the other as well.
type EndedFlag = Rc<Cell<bool>>;

impl Relay {
    async fn accept_all(self: Rc<Self>, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            let relay = Rc::clone(&self);
            compio::runtime::spawn(async move {
                relay.wait_until_healed().await;
                if let Ok(server) = TcpStream::connect(relay.target).await {
                    relay.forward(client, server).await;
                }
            })
            .detach();
        }
    }

    async fn wait_until_healed(&self) {
        while self.network.is_cut(&self.from, &self.to) {
            compio::time::sleep(CUT_POLL_INTERVAL).await;
        }
    }

    async fn forward(&self, client: TcpStream, server: TcpStream) {
        // Without `TCP_NODELAY` data is delayed but not lost, so a failure is ignored.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let ended = EndedFlag::default();
        let to_server = self.copy(&client, &server, &ended);
        let to_client = self.copy(&server, &client, &ended);
        let to_server = std::pin::pin!(to_server);
        let to_client = std::pin::pin!(to_client);
        futures_util::future::select(to_server, to_client).await;
    }

    async fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, ended: &EndedFlag) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        while !ended.get() {
            let BufResult(read, filled) = from.read(buffer).await;
            if !matches!(read, Ok(n) if n > 0) {
                break;
            }
            self.wait_until_healed().await;
            let BufResult(written, emptied) = to.write_all(filled).await;
            if written.is_err() {
                break;
            }
            buffer = emptied;
            buffer.clear();
        }
        ended.set(true);
    }
}
