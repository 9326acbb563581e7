//! HTTP/2 frames of callers that don't keep to the protocol's limits.

/// Bytes that begin a connection: the preface and empty settings.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// Type of a frame.
#[derive(Clone, Copy, Debug)]
pub enum FrameKind {
    Data = 0,
    Headers = 1,
    Ping = 6,
    Continuation = 9,
}

/// The last frame of a stream.
pub const END_STREAM: u8 = 0x1;
/// The last frame of a head.
pub const END_HEADERS: u8 = 0x4;

/// Appends a frame.
pub fn push_frame(bytes: &mut Vec<u8>, kind: FrameKind, flags: u8, stream: u32, payload: &[u8]) {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    bytes.extend_from_slice(&length[1..]);
    bytes.extend_from_slice(&[kind as u8, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
}

/// Encodes the length of a text as HPACK does, with a prefix of seven bits.
fn push_text(bytes: &mut Vec<u8>, text: &str) {
    let mut length = text.len();
    if length < 127 {
        bytes.push(length as u8);
    } else {
        bytes.push(127);
        length -= 127;
        while length >= 128 {
            bytes.push((length % 128 + 128) as u8);
            length /= 128;
        }
        bytes.push(length as u8);
    }
    bytes.extend_from_slice(text.as_bytes());
}

/// Encodes headers as HPACK literals that are not indexed.
pub fn encode_headers(headers: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (name, value) in headers {
        bytes.push(0);
        push_text(&mut bytes, name);
        push_text(&mut bytes, value);
    }
    bytes
}

/// The encoded head of a request.
pub fn request_head(method: &str, path: &str, id: &str) -> Vec<u8> {
    encode_headers(&[
        (":method", method),
        (":scheme", "http"),
        (":path", path),
        (":authority", nickellead_adapter_standin::HOST),
        ("nickellead-request-id", id),
    ])
}
