//! Client of the hosts: one request a connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::clock::now_ms;
use crate::http::{Message, read_message};

/// Answer as the client has it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// 0 if there was no answer.
    pub status: u16,
    /// True if the body is whole.
    pub is_whole: bool,
    /// Server that has signed the answer.
    pub server: String,
    #[allow(dead_code)]
    pub message: Message,
}

/// Sends a GET request without an ID.
pub fn get(addr: SocketAddr, target: &str, timeout: Duration) -> Reply {
    send(addr, "GET", target, &[("Host", "h")], b"", timeout)
}

/// Sends a request and waits for the whole answer.
pub fn send(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Reply {
    let mut reply = Reply {
        sent_ms: now_ms(),
        ..Reply::default()
    };
    let answer = exchange(addr, method, target, headers, body, timeout);
    reply.ended_ms = now_ms();
    if let Ok(Some(message)) = answer {
        reply.status = message.status();
        reply.is_whole = message.is_whole;
        let stamp = message.header("server-stamp").unwrap_or("");
        reply.server = stamp.split('.').next().unwrap_or("").to_owned();
        reply.message = message;
    }
    reply
}

fn exchange(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("Connection: close\r\n\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut BufReader::new(stream), |_| {})
}
