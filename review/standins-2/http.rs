//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, Write};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Parameter of the target's query, percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .map(|(_, v)| percent_decode(v))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten();
        let code = hex.and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a message with its body. `on_data` sees each piece of a chunked body as it
/// arrives.
pub fn read_message(
    reader: &mut impl BufRead,
    mut on_data: impl FnMut(&[u8]),
) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(Some(message));
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(Some(message));
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(Some(message));
            }
            if size == 0 {
                message.is_whole = true;
                return Ok(Some(message));
            }
            on_data(&chunk[..size]);
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    message.is_whole = reader.read_exact(&mut body).is_ok();
    message.body = body;
    Ok(Some(message))
}

/// Writes a message with a body of known length in one piece.
pub fn write_message(
    writer: &mut impl Write,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{first}\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}

/// Reads the body that follows a head and drops it; false if it breaks off.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> io::Result<bool> {
    if head.header("transfer-encoding").is_none() {
        let length = head.header("content-length").and_then(|l| l.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        return Ok(reader.read_exact(&mut body).is_ok());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return Ok(false);
        };
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(true);
        }
    }
}
