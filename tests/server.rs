//! Tests of the HTTP server's listener.
//!
//! A burst of connections that overflows the listen backlog would be dropped by
//! the kernel.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use currantcove::edge::server::listen;

/// Number of connections; more than the usual backlog of 128.
const BURST: usize = 500;

#[test]
fn a_burst_of_connections_fits_in_the_listen_backlog() {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    let listener = runtime.block_on(listen(SocketAddr::from(([127, 0, 0, 1], 0))));
    let listener = listener.expect("listener");
    let addr = listener.local_addr().expect("address");

    let connect = || TcpStream::connect_timeout(&addr, Duration::from_secs(2));
    let connected: Vec<_> = (0..BURST).map_while(|_| connect().ok()).collect();

    assert_eq!(connected.len(), BURST);
}
