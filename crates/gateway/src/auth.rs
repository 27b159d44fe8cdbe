//! Authentication of callers by API key.

use std::sync::Arc;

use axum::http::{HeaderMap, header};
use sumacdrift_config::{ApiKeyHash, Bundle, Tenant};
use sumacdrift_types::{Problem, ResultCode};

use crate::Dispatcher;

const BEARER_PREFIX: &str = "Bearer ";

/// An authenticated caller.
pub(crate) struct Caller {
    /// Configuration in force when the call arrived; used for the whole call.
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) tenant: Tenant,
}

/// Resolves the request's API key to its tenant.
pub(crate) fn authenticate(dispatcher: &dyn Dispatcher, headers: &HeaderMap) -> Result<Caller, Problem> {
    let bundle = dispatcher.configuration().ok_or_else(|| {
        let detail = "the node has not received a configuration yet";
        Problem::not_run(ResultCode::NoConfiguration, detail)
    })?;
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix(BEARER_PREFIX));
    let tenant = key.and_then(|key| bundle.tenant_of_key(&ApiKeyHash::of(key))).cloned();
    match tenant {
        Some(tenant) => Ok(Caller { bundle, tenant }),
        None => {
            let detail = "a valid API key is required in the header Authorization: Bearer KEY";
            Err(Problem::not_run(ResultCode::Unauthenticated, detail))
        }
    }
}
