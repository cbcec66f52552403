//! A minimal HTTP/1.1 server and client for the stand-ins.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Status and body; `None` closes the connection without a response.
pub type Response = Option<(u16, Vec<u8>)>;

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if stream.read_line(&mut first).await.ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

async fn read_body(
    stream: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(body)
}

async fn serve_connection<F, R>(stream: TcpStream, handler: F)
where
    F: Fn(Request) -> R,
    R: Future<Output = Response>,
{
    drop(stream.set_nodelay(true));
    let mut stream = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut stream).await {
        let mut words = first.split(' ');
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
            return;
        };
        let Some(body) = read_body(&mut stream, &headers).await else {
            return;
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|it| it.split_once('='));
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query.map(|(k, v)| (k.to_owned(), decode(v))).collect(),
            headers,
            body,
        };
        let Some((status, body)) = handler(request).await else {
            return;
        };
        let mut bytes = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        if stream.get_mut().write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Serves connections until the task is dropped.
pub async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response> + 'static,
{
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve_connection(stream, handler.clone()));
        }
    }
}

/// Makes a call on a new connection; `None` without a whole response in time.
#[allow(clippy::too_many_arguments)]
pub async fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: Option<&str>,
    key: Option<&str>,
    limit: Duration,
) -> Option<(u16, String)> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.ok()?;
        drop(stream.set_nodelay(true));
        let mut stream = BufReader::new(stream);
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {}\r\n",
            limit.as_millis()
        );
        if let Some(key) = key {
            text.push_str(&format!("X-Api-Key: {key}\r\n"));
        }
        if let Some(body) = body {
            text.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        text.push_str("\r\n");
        text.push_str(body.unwrap_or(""));
        stream.get_mut().write_all(text.as_bytes()).await.ok()?;
        let (first, headers) = read_head(&mut stream).await?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let body = read_body(&mut stream, &headers).await?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    };
    timeout(limit, exchange).await.ok().flatten()
}
