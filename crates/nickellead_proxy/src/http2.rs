//! HTTP/2 connections of callers, within limits that the server of the HTTP library does not offer.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, SystemTime};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{HttpMessage, Payload, Request, Response};
use bytes::Bytes;
use futures_util::Stream;
use h2::server::{Builder, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderName, HeaderValue, Response as HttpResponse, StatusCode, header};
use tokio::time::timeout;

use crate::caller_stream::CallerStream;
use crate::headers::is_connection_header;

/// Bytes of all headers of a request, with 32 bytes beside each, as the protocol counts them.
const MAX_HEADER_BYTES: u32 = 64 * 1024;
/// Bytes of a body that a caller may send before they are read, on one stream and on all of a connection.
const WINDOW_BYTES: u32 = 64 * 1024 - 1;
/// Bytes of a response that are handed to the connection at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// Memory that an open connection takes: its state, its buffers, windows and header tables.
pub(crate) const CONNECTION_BYTES: usize = 192 * 1024;
/// Time until a caller has opened the connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Http2Limits {
    /// Streams at a time.
    pub(crate) streams: u32,
    /// How long a caller may take nothing of a response; `None` for no limit.
    pub(crate) stall_timeout: Option<Duration>,
}

/// Serves the requests of one connection until it ends.
pub(crate) async fn serve_connection<H, F>(
    stream: CallerStream,
    caller: Option<SocketAddr>,
    limits: Http2Limits,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_send_buffer_size(PIECE_BYTES);
    let arrival = stream.arrival().clone();
    let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake(stream)).await;
    let Ok(Ok(mut connection)) = handshake else { return };
    // The caller observes an error of the connection itself.
    while let Some(Ok((request, response))) = connection.accept().await {
        let Some(request) = convert_request(request, caller) else {
            reset(response, Reason::PROTOCOL_ERROR);
            continue;
        };
        request.extensions_mut().insert(arrival.clone());
        let handler = Rc::clone(&handler);
        actix_rt::spawn(serve_stream(request, response, limits.stall_timeout, handler));
    }
}

fn reset(mut response: SendResponse<Bytes>, reason: Reason) {
    response.send_reset(reason);
}

/// Serves one request, unless its caller resets the stream first.
async fn serve_stream<H, F>(
    request: Request,
    mut response: SendResponse<Bytes>,
    stall_timeout: Option<Duration>,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Response<BoxBody>>,
{
    let is_head = *request.method() == actix_http::Method::HEAD;
    let handled = {
        let mut handling = Box::pin(handler(request));
        poll_fn(|context| {
            if let Poll::Ready(handled) = handling.as_mut().poll(context) {
                return Poll::Ready(Some(handled));
            }
            response.poll_reset(context).map(|_| None)
        })
        .await
    };
    let Some(handled) = handled else { return };
    let (head, body) = handled.into_parts();
    let size = body.size();
    let has_body = !is_head && !matches!(size, BodySize::None | BodySize::Sized(0));
    let Ok(stream) = response.send_response(convert_head(&head, size), !has_body) else { return };
    if has_body {
        send_body(stream, body, stall_timeout).await;
    }
}

/// Sends a body as its caller takes it; a caller that takes nothing for too long has its stream reset.
async fn send_body(mut stream: SendStream<Bytes>, body: BoxBody, stall_timeout: Option<Duration>) {
    let mut body = pin!(body);
    loop {
        let next = poll_fn(|context| {
            if let Poll::Ready(Ok(_) | Err(_)) = stream.poll_reset(context) {
                return Poll::Ready(None);
            }
            body.as_mut().poll_next(context)
        });
        let mut chunk = match next.await {
            Some(Ok(chunk)) => chunk,
            Some(Err(_)) => return stream.send_reset(Reason::INTERNAL_ERROR),
            None => break,
        };
        while !chunk.is_empty() {
            stream.reserve_capacity(chunk.len().min(PIECE_BYTES));
            let capacity = poll_fn(|context| stream.poll_capacity(context));
            let capacity = match stall_timeout {
                Some(time) => timeout(time, capacity).await,
                None => Ok(capacity.await),
            };
            let piece = match capacity {
                Ok(Some(Ok(capacity))) => chunk.split_to(capacity.min(chunk.len())),
                Ok(_) => return,
                Err(_) => return stream.send_reset(Reason::CANCEL),
            };
            if stream.send_data(piece, false).is_err() {
                return;
            }
        }
    }
    // A stream that was reset has no end to send.
    let _ = stream.send_data(Bytes::new(), true);
}

/// Converts a request to the type of the HTTP library; `None` if it does not allow it.
fn convert_request(
    request: http::Request<RecvStream>,
    caller: Option<SocketAddr>,
) -> Option<Request> {
    let (parts, body) = request.into_parts();
    let payload = match body.is_end_stream() {
        true => Payload::None,
        false => Payload::Stream { payload: Box::pin(StreamBody(body)) as _ },
    };
    let mut request = Request::with_payload(payload);
    let head = request.head_mut();
    head.method = actix_http::Method::from_bytes(parts.method.as_str().as_bytes()).ok()?;
    head.uri = parts.uri.to_string().parse().ok()?;
    head.version = actix_http::Version::HTTP_2;
    head.peer_addr = caller;
    for (name, value) in &parts.headers {
        let name = actix_http::header::HeaderName::from_bytes(name.as_str().as_bytes()).ok()?;
        let value = actix_http::header::HeaderValue::from_bytes(value.as_bytes()).ok()?;
        head.headers_mut().append(name, value);
    }
    Some(request)
}

/// Converts the head of a response.
fn convert_head(response: &Response<()>, size: BodySize) -> HttpResponse<()> {
    let mut head = HttpResponse::new(());
    // Any status of the library is one here, too.
    *head.status_mut() = StatusCode::from_u16(response.status().as_u16()).unwrap_or_default();
    for (name, value) in response.headers() {
        let is_kept = !is_connection_header(name.as_str());
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (true, Ok(name), Ok(value)) = (is_kept, name, value) {
            head.headers_mut().append(name, value);
        }
    }
    if let BodySize::Sized(length) = size {
        head.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    if !head.headers().contains_key(header::DATE)
        && let Ok(date) = HeaderValue::try_from(httpdate::fmt_http_date(SystemTime::now()))
    {
        head.headers_mut().insert(header::DATE, date);
    }
    head
}

/// The body of a request on one stream, whose window opens as it is read.
struct StreamBody(RecvStream);

impl Stream for StreamBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match ready!(self.0.poll_data(context)) {
            Some(Ok(chunk)) => {
                // Fails only once the stream has ended.
                let _ = self.0.flow_control().release_capacity(chunk.len());
                Poll::Ready(Some(Ok(chunk)))
            }
            Some(Err(_)) => Poll::Ready(Some(Err(PayloadError::Incomplete(None)))),
            None => Poll::Ready(None),
        }
    }
}
