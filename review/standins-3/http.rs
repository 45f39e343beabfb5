//! Minimal HTTP/1.1 on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub line: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        decode(pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v))
    }
}

fn decode(text: &str) -> String {
    let (mut out, bytes, mut at) = (Vec::new(), text.as_bytes(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            if let Ok(n) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(n);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a line and the headers.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut read_line = || {
        let mut line = String::new();
        let length = reader.read_line(&mut line).ok()?;
        (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    };
    let mut message = Message { line: read_line()?, ..Message::default() };
    loop {
        let line = read_line()?;
        let Some((name, value)) = line.split_once(':') else {
            return line.is_empty().then_some(message);
        };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Next part of a chunked body; `Some(empty)` at its proper end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut data = vec![0; length + 2];
    reader.read_exact(&mut data).ok()?;
    data.truncate(length);
    Some(data)
}

/// Reads the body that follows a head; `None` if it breaks off.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Message) -> Option<Vec<u8>> {
    if head.header("transfer-encoding").contains("chunked") {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    message.body = read_body(reader, &message)?;
    Some(message)
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// One call on a connection of its own.
pub fn call(addr: SocketAddr, method: &str, target: &str, body: &str, wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}
