//! Stand-in of a client that reads streams and takes them up again.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http;

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    pub request_id: String,
    pub after: u64,
    pub status: u16,
    /// Events as (ID, data).
    pub events: Vec<(u64, String)>,
    /// True if the response ended properly.
    pub is_whole: bool,
    pub retry_after_s: f64,
}

/// Sends one request for a stream and reads it to its end. `resumes` is the request that
/// brought the first event, with the last event's ID.
pub fn stream(
    host: SocketAddr,
    request_id: &str,
    events: u64,
    resumes: Option<(&str, u64)>,
    deadline: Instant,
) -> Try {
    stream_with(host, request_id, events, resumes, deadline, "")
}

/// The same with further headers, each with its line end.
pub fn stream_with(
    host: SocketAddr,
    request_id: &str,
    events: u64,
    resumes: Option<(&str, u64)>,
    deadline: Instant,
    headers: &str,
) -> Try {
    let mut result = Try {
        request_id: request_id.to_owned(),
        after: resumes.map_or(0, |(_, after)| after),
        status: 0,
        events: Vec::new(),
        is_whole: false,
        retry_after_s: 0.0,
    };
    let _ = read_stream(host, events, resumes, deadline, headers, &mut result);
    result
}

fn read_stream(
    host: SocketAddr,
    events: u64,
    resumes: Option<(&str, u64)>,
    deadline: Instant,
    headers: &str,
    result: &mut Try,
) -> Option<()> {
    let left = deadline.saturating_duration_since(Instant::now());
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let body = format!("events={events}");
    let resuming = resumes.map_or_else(String::new, |(id, after)| {
        format!("last-event-id: {after}\r\nresumes: {id}\r\n")
    });
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {}\r\ndeadline-ms: {}\r\n{resuming}{headers}content-length: {}\r\n\r\n{body}",
        result.request_id,
        left.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    result.status = head.status();
    result.retry_after_s = head.header("retry-after").parse().unwrap_or(0.0);
    if result.status != 200 {
        http::read_body(&mut reader, &head);
        return None;
    }
    let mut text = String::new();
    loop {
        let chunk = http::read_chunk(&mut reader)?;
        if chunk.is_empty() {
            result.is_whole = true;
            return Some(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name)).unwrap_or("").trim().to_owned();
            result.events.push((field("id:").parse().unwrap_or(0), field("data:")));
            text = rest.to_owned();
        }
    }
}
