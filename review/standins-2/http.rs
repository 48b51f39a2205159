//! The little of HTTP/1.1 that the stand-ins and the callers need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing announces.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; an error means that not even its head came.
pub fn read(reader: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() && message.first_line.is_empty() {
            continue;
        }
        if line.is_empty() {
            break;
        }
        match line.split_once(':') {
            Some((name, value)) if !message.first_line.is_empty() => {
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
            _ => message.first_line = line.to_owned(),
        }
    }
    let length = message.header("content-length").map(str::parse::<usize>);
    message.is_whole = if let Some(Ok(length)) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).is_ok()
    } else if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body).is_ok()
    } else {
        !is_answer || reader.read_to_end(&mut message.body).is_ok()
    };
    Ok(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

/// Connects to an address, with a time limit for each read.
pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(read_timeout))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends the bytes of a request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = connect(address, timeout)?;
    stream.write_all(request)?;
    read(&mut BufReader::new(stream), true)
}
