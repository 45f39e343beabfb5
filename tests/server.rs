//! The HTTP server's listener.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use currantcove::edge::server::listen;

/// More connections than the usual backlog of 128.
const BURST: usize = 500;

#[test]
fn a_burst_of_connections_waits_to_be_accepted() {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    let listener = runtime.block_on(listen(SocketAddr::from(([127, 0, 0, 1], 0))));
    let listener = listener.expect("listener");
    let addr = listener.local_addr().expect("address");

    let connect = || TcpStream::connect_timeout(&addr, Duration::from_secs(2));
    let connected: Vec<_> = (0..BURST).map_while(|_| connect().ok()).collect();

    assert_eq!(connected.len(), BURST);
}
