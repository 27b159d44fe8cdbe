//! Fingerprint of a request, which stays the same when its caller sends it again under another call id.

use std::fmt;

use sumacdrift_types::stable_hash;

use crate::head::{CallMetadata, PromptPart};

/// What a request asks of an engine. Ids, deadlines and the event to resume after differ between attempts and are left out.
#[allow(missing_docs)]
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Empty without tenants. Part of the content, so that no tenant's requests affect those of another.
    pub tenant: &'a str,
    pub host: &'a str,
    pub method: &'a str,
    pub path_and_query: &'a str,
    pub body: &'a [u8],
    pub metadata: &'a CallMetadata,
}

/// Hash of a [`RequestContent`]. Stable across nodes and builds; it doesn't reveal the content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Hashes a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let metadata = content.metadata;
        let program = metadata.program.as_ref();
        let prompt = metadata.prompt.iter().fold(Vec::new(), append_part);
        Self(stable_hash(&[
            content.tenant.as_bytes(),
            content.host.as_bytes(),
            content.method.as_bytes(),
            content.path_and_query.as_bytes(),
            content.body,
            optional(program.map(|program| program.program.as_str())),
            optional(program.and_then(|program| program.line.as_deref())),
            optional(metadata.previous.as_deref()),
            optional(metadata.affinity.as_deref()),
            &prompt,
        ]))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

fn optional(text: Option<&str>) -> &[u8] {
    text.unwrap_or_default().as_bytes()
}

fn append_part(mut bytes: Vec<u8>, part: &PromptPart) -> Vec<u8> {
    bytes.extend_from_slice(part.id.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&part.tokens.to_le_bytes());
    bytes
}
