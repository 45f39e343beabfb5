//! TCP proxy whose open connections can fall silent while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Proxy in front of one address.
pub struct Proxy {
    pub addr: SocketAddr,
    opened: AtomicU64,
    /// Connections with a lower number are silent.
    silent_below: AtomicU64,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let proxy = Arc::new(Self {
            addr: listener.local_addr().expect("address"),
            opened: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
        });
        let served = Arc::clone(&proxy);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let number = served.opened.fetch_add(1, Ordering::SeqCst);
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (from, to) = (from.try_clone(), to.try_clone());
                    let proxy = Arc::clone(&served);
                    if let (Ok(from), Ok(to)) = (from, to) {
                        thread::spawn(move || proxy.copy(number, from, to));
                    }
                }
            }
        });
        proxy
    }

    /// Lets all connections that are open now fall silent, without a reset.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
        opened
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            let is_silent = number < self.silent_below.load(Ordering::SeqCst);
            if read == 0 {
                if !is_silent {
                    let _ = to.shutdown(Shutdown::Both);
                }
                return;
            }
            if !is_silent && to.write_all(&buffer[..read]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
