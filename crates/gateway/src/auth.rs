//! Who calls.

use std::sync::Arc;

use axum::http::{HeaderMap, header};
use sumacdrift_config::{ApiKeyHash, Bundle, Tenant};
use sumacdrift_types::{Problem, ResultCode};

use crate::Dispatcher;

/// Scheme of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// A caller that showed a valid key, with the configuration that knew it.
pub(crate) struct Caller {
    /// The configuration in force when the call came; the whole call uses it.
    pub(crate) bundle: Arc<Bundle>,
    /// The tenant.
    pub(crate) tenant: Tenant,
}

/// Finds the tenant of a request's API key.
pub(crate) fn authenticate(dispatcher: &dyn Dispatcher, headers: &HeaderMap) -> Result<Caller, Problem> {
    let bundle = dispatcher.configuration().ok_or_else(|| {
        let detail = "the node has not received a configuration yet";
        Problem::not_run(ResultCode::NoConfiguration, detail)
    })?;
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix(SCHEME));
    let tenant = key.and_then(|key| bundle.tenant_of_key(&ApiKeyHash::of(key))).cloned();
    match tenant {
        Some(tenant) => Ok(Caller { bundle, tenant }),
        None => {
            let detail = "the request needs the header Authorization: Bearer KEY with a valid key";
            Err(Problem::not_run(ResultCode::Unauthenticated, detail))
        }
    }
}
