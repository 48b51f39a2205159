//! Stand-in for the platform's store. Its items do not change.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};

/// Revision of the store, after that of all items.
const REVISION: usize = 100;

/// Serves the items of a file; each line of it is a key, a space and a value.
pub fn serve(address: &str, items: &str) {
    let items = std::fs::read_to_string(items).expect("the items can be read");
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let items = items.clone();
        thread::spawn(move || answer(stream, &items));
    }
}

fn answer(stream: TcpStream, items: &str) {
    let mut reader = BufReader::new(stream);
    let Ok(request) = http::read(&mut reader, false) else {
        return;
    };
    let (status, body) = body_for(&request, items);
    let head = format!(
        "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = reader.get_mut().write_all((head + &body).as_bytes());
}

fn body_for(request: &Message, items: &str) -> (u16, String) {
    let (path, query) = request.target().split_once('?').unwrap_or_default();
    let value_of = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
    };
    match path {
        "/api/kv-range" => {
            let prefix = value_of("PathPrefix");
            let items = items.lines().enumerate();
            let entries = items.filter_map(|(number, line)| {
                let (key, value) = line.split_once(' ')?;
                key.starts_with(prefix).then(|| {
                    let (revision, value) = (number + 1, base64(value.as_bytes()));
                    format!(
                        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
                         \"Created\":{revision},\"Lease\":0}}"
                    )
                })
            });
            let entries = entries.collect::<Vec<_>>().join(",");
            let body = format!("{{\"Entries\":[{entries}],\"HasMore\":false,\"StoreRevision\":{REVISION}}}");
            (200, body)
        }
        "/api/kv-watch" => {
            let wait_ms = value_of("WaitMs").parse().unwrap_or(0);
            thread::sleep(Duration::from_millis(wait_ms));
            (200, format!("{{\"events\":[],\"StoreRevision\":{REVISION}}}"))
        }
        _ => (404, "{}".to_owned()),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > part.len();
            text.push(if is_padding {
                '='
            } else {
                DIGITS[value as usize] as char
            });
        }
    }
    text
}
