//! Recognises a request that is sent again.

use xxhash_rust::xxh3::Xxh3;

/// Identifies equal requests. The same at every sidecar.
pub type RequestFingerprint = u64;

/// What makes two requests equal.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// Service of the VM on which the request began.
    pub caller: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is for.
    pub host: &'a [u8],
    /// Path and query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Xxh3::new();
        for part in [
            self.caller.as_bytes(),
            self.method.as_bytes(),
            self.host,
            self.path.as_bytes(),
            self.body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.digest()
    }
}
