//! Removal of hop-by-hop headers, and conversion of headers to and from call messages.

use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use serde_bytes::ByteBuf;
use sycamoreflow_protocol::call::Headers;

#[cfg(test)]
mod tests;

/// Hop-by-hop headers, which apply to a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
///
/// `Host` and `Content-Length` are kept even if `Connection` lists them, since the meaning of the
/// message depends on them.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the headers that `Connection` lists, except `Host` and `Content-Length`. Invalid names
/// are skipped.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        for token in value.as_bytes().split(|byte| *byte == b',') {
            let Ok(name) = HeaderName::from_bytes(token.trim_ascii()) else {
                continue;
            };
            if name != HOST && name != CONTENT_LENGTH {
                names.push(name);
            }
        }
    }
    names
}

/// Converts HTTP headers to the form that call messages carry. Repeated headers keep their order.
pub fn to_call_headers(headers: &HeaderMap) -> Headers {
    let mut converted = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        converted.push((name.as_str().to_owned(), ByteBuf::from(value.as_bytes())));
    }
    converted
}

/// Converts the headers of a call message to HTTP headers. Returns `None` if a name or a value is
/// not valid in HTTP, for example if a value contains a control character.
pub fn from_call_headers(headers: Headers) -> Option<HeaderMap> {
    let mut converted = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(bytes::Bytes::from(value.into_vec())).ok()?;
        converted.append(name, value);
    }
    Some(converted)
}
