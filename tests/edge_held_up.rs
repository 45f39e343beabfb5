//! Requests on a kept connection whose path no longer answers.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use currantcove::edge::pool::{Pool, RequestTag, SendError};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use socket2::{Domain, Socket, Type};

/// Time after which the kernel gives up a connection.
const KERNEL_TIMEOUT: Duration = Duration::from_secs(3);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Upstream that responds to the first request. The later ones go unanswered until it is
/// told to respond.
struct Upstream {
    addr: SocketAddr,
    respond: Sender<()>,
    /// Whether the connection was reset.
    ends: Receiver<bool>,
    /// Connections that keep others from being established.
    fillers: Vec<TcpStream>,
}

/// Listens without room for more than one connection that is not accepted.
fn listen() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    let free_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&free_port.into()).expect("bind");
    socket.listen(0).expect("listen");
    socket.into()
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("head");
        head.extend(byte);
    }
}

impl Upstream {
    /// Serves one connection; only if `accepts`, others can be established meanwhile.
    fn start(accepts: bool) -> Self {
        let listener = listen();
        let addr = listener.local_addr().expect("address");
        let (respond, responding) = mpsc::channel();
        let (end, ends) = mpsc::channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("connection");
            read_head(&mut stream);
            stream.write_all(RESPONSE).expect("response");
            read_head(&mut stream);
            if accepts {
                thread::spawn(move || while listener.accept().is_ok() {});
            }
            if responding.recv().is_ok() {
                stream.write_all(RESPONSE).expect("response");
            }
            let is_reset = stream.read(&mut [0]).is_err();
            let _ = end.send(is_reset);
        });
        Self {
            addr,
            respond,
            ends,
            fillers: Vec::new(),
        }
    }

    /// Lets attempts to connect go unanswered, as in a partition.
    fn stop_answering(&mut self) {
        let timeout = Duration::from_millis(100);
        while let Ok(filler) = TcpStream::connect_timeout(&self.addr, timeout) {
            self.fillers.push(filler);
        }
    }
}

async fn send(
    pool: &Pool,
    addr: SocketAddr,
    may_arrive: impl Fn() -> bool,
) -> Result<(), SendError> {
    let request = Request::get("/x").body(Full::default()).expect("request");
    let response = pool
        .send_watched(addr, request, RequestTag::of("r1"), || true, may_arrive)
        .await?;
    response.into_body().collect().await.expect("body");
    Ok(())
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(future)
}

/// Guards against a request that reaches an upstream seconds after it has left: its bytes
/// were held up by a partition, and the kernel ended its connection without a reset.
#[test]
fn request_on_a_path_that_does_not_answer_is_reset_before_the_kernel_gives_up() {
    let mut upstream = Upstream::start(false);

    let (result, took) = block_on(async {
        let pool = Pool::default();
        send(&pool, upstream.addr, || true).await.expect("served");
        upstream.stop_answering();
        let started = Instant::now();
        let sending = send(&pool, upstream.addr, || true);
        let result = compio::time::timeout(KERNEL_TIMEOUT, sending).await;
        let took = started.elapsed();
        compio::time::sleep(Duration::from_millis(100)).await;
        (result, took)
    });

    assert_eq!(result, Ok(Err(SendError::HeldUp)));
    assert!(took < KERNEL_TIMEOUT, "{took:?}");
    drop(upstream.respond);
    let is_reset = upstream.ends.recv_timeout(Duration::from_secs(1));
    assert_eq!(is_reset, Ok(true));
}

#[test]
fn held_up_request_is_reset_when_its_upstream_leaves() {
    let mut upstream = Upstream::start(false);

    let (result, took) = block_on(async {
        let pool = Pool::default();
        send(&pool, upstream.addr, || true).await.expect("served");
        upstream.stop_answering();
        let started = Instant::now();
        let is_leaving = Cell::new(false);
        let sending = send(&pool, upstream.addr, || !is_leaving.get());
        let leaving = async {
            compio::time::sleep(Duration::from_millis(50)).await;
            is_leaving.set(true);
        };
        let both = async { futures_util::join!(sending, leaving).0 };
        let result = compio::time::timeout(KERNEL_TIMEOUT, both).await;
        (result, started.elapsed())
    });

    assert_eq!(result, Ok(Err(SendError::HeldUp)));
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[test]
fn request_at_an_upstream_that_is_only_slow_is_served() {
    let upstream = Upstream::start(true);

    let result = block_on(async {
        let pool = Pool::default();
        send(&pool, upstream.addr, || true).await.expect("served");
        let sending = send(&pool, upstream.addr, || true);
        let responding = async {
            compio::time::sleep(KERNEL_TIMEOUT + Duration::from_millis(500)).await;
            upstream.respond.send(()).expect("upstream");
        };
        futures_util::join!(sending, responding).0
    });

    assert_eq!(result, Ok(()));
}

/// Guards against requests that are lost at an upstream that is silent for a second, and
/// to which no more are sent for a while.
#[test]
fn request_at_an_upstream_that_is_closed_and_silent_for_a_second_is_kept() {
    let mut upstream = Upstream::start(false);

    let result = block_on(async {
        let pool = Pool::default();
        send(&pool, upstream.addr, || true).await.expect("served");
        upstream.stop_answering();
        let is_closed = Cell::new(false);
        let request = Request::get("/x").body(Full::default()).expect("request");
        let sending = pool.send_watched(
            upstream.addr,
            request,
            RequestTag::of("r1"),
            || !is_closed.get(),
            || true,
        );
        let responding = async {
            is_closed.set(true);
            compio::time::sleep(Duration::from_secs(1)).await;
            upstream.respond.send(()).expect("upstream");
        };
        let (response, ()) = futures_util::join!(sending, responding);
        response.map(|r| r.status().as_u16())
    });

    assert_eq!(result, Ok(200));
}
