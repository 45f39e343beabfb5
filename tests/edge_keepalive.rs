//! Timeouts that the kernel keeps for a connection.

use std::time::Duration;

use currantcove::edge::pool::set_timeouts;
use socket2::{Domain, SockRef, Socket, Type};

/// Guards against a kept connection that the kernel ends under a request: with more probes
/// than the kernel takes, no timeout was set at all.
#[test]
fn timeouts_of_connections_that_may_be_idle_for_minutes_are_set() {
    for timeout_s in [3, 127, 128, 603] {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        let timeout = Duration::from_secs(timeout_s);

        let set = set_timeouts(&SockRef::from(&socket), timeout);

        assert!(set.is_ok(), "{timeout_s} {set:?}");
        let known = socket.tcp_user_timeout().expect("option");
        assert_eq!(known, Some(timeout), "{timeout_s}");
    }
}
