//! The callers' interface: HTTP with any method and path.
//!
//! The process that a caller sends its request to is the request's entry node.
//! [`server`] accepts connections and limits them, their headers and their
//! bodies. [`request`] validates a request's headers, [`dispatch`] routes the
//! request to its owner and retries it where that is safe, and [`response`]
//! reports the outcome in status and headers. [`headers`] lists the headers.

pub mod dispatch;
pub mod headers;
pub mod request;
pub mod response;
pub mod server;
