//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A request or response whose body was read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// The word of the start line at this position.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            None => return Ok(Some(message)),
        }
    }
}

/// Reads a request; `None` if the connection ended before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Reads a response, and whether it is whole.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> Option<(Message, bool)> {
    let mut message = read_head(reader).ok()??;
    let is_whole = read_body(reader, &mut message).is_ok();
    Some((message, is_whole))
}

/// Reads a body with a length or in chunks. After an error, `message` holds what
/// arrived.
fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(())
}

/// Reads a chunk; `None` after the last one.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Writes a response with a length.
pub fn write_response(
    socket: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    socket.write_all(&[head.as_bytes(), body].concat())
}
