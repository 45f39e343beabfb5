//! Network paths between availability zones, which tests can cut.
//!
//! A path is a TCP relay on an address of its own. While it is cut, nothing
//! passes: open connections stand still and new ones get no answer.

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

/// Pause of a cut path between two looks.
const CUT_PAUSE: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;

/// Place at one end of a path.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum End {
    /// Availability zone.
    Zone(ZoneId),
    /// The platform's services.
    Platform,
}

/// All paths, and which ends are cut off.
#[derive(Debug, Default)]
pub struct Network {
    paths: RefCell<BTreeMap<(ZoneId, SocketAddr), SocketAddr>>,
    cuts: RefCell<Vec<(End, End)>>,
}

impl Network {
    /// Address under which a zone reaches a target elsewhere.
    pub async fn path(
        self: &Rc<Self>,
        from: &ZoneId,
        to: End,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let key = (from.clone(), target);
        if let Some(&addr) = self.paths.borrow().get(&key) {
            return Ok(addr);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        self.paths.borrow_mut().insert(key, addr);
        let path = Path {
            network: Rc::clone(self),
            from: End::Zone(from.clone()),
            to,
            target,
        };
        compio::runtime::spawn(Rc::new(path).accept_all(listener)).detach();
        Ok(addr)
    }

    /// Cuts or heals every path between two ends.
    pub fn set_cut(&self, a: &End, b: &End, is_cut: bool) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.retain(|(x, y)| !((x == a && y == b) || (x == b && y == a)));
        if is_cut {
            cuts.push((a.clone(), b.clone()));
        }
    }

    fn is_cut(&self, a: &End, b: &End) -> bool {
        let cuts = self.cuts.borrow();
        cuts.iter()
            .any(|(x, y)| (x == a && y == b) || (x == b && y == a))
    }
}

#[derive(Debug)]
struct Path {
    network: Rc<Network>,
    from: End,
    to: End,
    target: SocketAddr,
}

/// Set once one direction of a connection has ended.
type Ended = Rc<Cell<bool>>;

impl Path {
    async fn accept_all(self: Rc<Self>, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let path = Rc::clone(&self);
            compio::runtime::spawn(async move {
                path.healed().await;
                if let Ok(far) = TcpStream::connect(path.target).await {
                    path.join(near, far).await;
                }
            })
            .detach();
        }
    }

    async fn healed(&self) {
        while self.network.is_cut(&self.from, &self.to) {
            compio::time::sleep(CUT_PAUSE).await;
        }
    }

    async fn join(&self, near: TcpStream, far: TcpStream) {
        // Streams that cannot disable buffering still carry every byte.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ended = Ended::default();
        let there = self.copy(&near, &far, &ended);
        let back = self.copy(&far, &near, &ended);
        let there = std::pin::pin!(there);
        let back = std::pin::pin!(back);
        futures_util::future::select(there, back).await;
    }

    async fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, ended: &Ended) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        while !ended.get() {
            let BufResult(read, filled) = from.read(buffer).await;
            if !matches!(read, Ok(n) if n > 0) {
                break;
            }
            self.healed().await;
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
