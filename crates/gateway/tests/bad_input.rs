//! Invalid requests are answered with a problem body and the expected result code, and are never dispatched.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{Request, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use sumacdrift_config::Bundle;
use sumacdrift_gateway::{
    ChatCall, ChatHead, ChatItem, ChatStream, DispatchFuture, Dispatcher, GatewaySettings, ProgramCall,
    ServiceAnswer, ServiceCall, TenantLimits, router,
};
use sumacdrift_program::{Page, ProgramReport};
use sumacdrift_types::{ChatMessage, Problem, ResultCode, TurnNumber, Usage};
use tokio::sync::mpsc;
use tower::ServiceExt;

const KEY: &str = "example-key";

/// Answers every turn with one word and counts the calls that it receives.
struct OneWordDispatcher {
    bundle: Arc<Bundle>,
    dispatched: AtomicUsize,
}

impl Dispatcher for OneWordDispatcher {
    fn configuration(&self) -> Option<Arc<Bundle>> {
        Some(Arc::clone(&self.bundle))
    }

    fn check_ready(&self) -> Result<(), Problem> {
        Ok(())
    }

    fn chat(self: Arc<Self>, call: ChatCall) -> DispatchFuture<ChatStream> {
        self.dispatched.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let (sender, items) = mpsc::channel(8);
            let delta = "{\"content\":\"word\"}".to_owned();
            let end = ChatItem::Finished { reason: "stop".to_owned(), usage: Usage::default() };
            for item in
                [ChatItem::Deltas(vec![delta]), ChatItem::Message(ChatMessage::assistant("word")), end]
            {
                sender.send(item).await.expect("the channel has capacity");
            }
            let head = ChatHead { program: call.program, turn: TurnNumber(0), is_replay: false };
            Ok(ChatStream { head, items })
        })
    }

    fn service(self: Arc<Self>, _: ServiceCall) -> DispatchFuture<ServiceAnswer> {
        self.dispatched.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Err(Problem::not_run(ResultCode::IdempotencyKeyRequired, "a key is needed")) })
    }

    fn describe(self: Arc<Self>, _: ProgramCall, _: Page) -> DispatchFuture<ProgramReport> {
        Box::pin(async { Err(Problem::not_run(ResultCode::UnknownProgram, "no such program")) })
    }

    fn end_program(self: Arc<Self>, _: ProgramCall) -> DispatchFuture<()> {
        Box::pin(async { Ok(()) })
    }
}

struct TestGateway {
    dispatcher: Arc<OneWordDispatcher>,
    router: Router,
}

fn test_gateway() -> TestGateway {
    let text = include_str!("../../../examples/bundle.toml");
    let bundle = Arc::new(Bundle::parse("bundle.toml", text).expect("the example is valid"));
    let dispatcher = Arc::new(OneWordDispatcher { bundle, dispatched: AtomicUsize::new(0) });
    let settings = GatewaySettings {
        body_bytes: 2000,
        body_memory_bytes: 1 << 20,
        body_timeout: Duration::from_secs(5),
    };
    let router = router(dispatcher.clone(), TenantLimits::default(), settings);
    TestGateway { dispatcher, router }
}

fn chat_request(body: &str) -> axum::http::request::Builder {
    let _ = body;
    Request::post("/v1/chat/completions").header("authorization", format!("Bearer {KEY}"))
}

struct Rejection {
    status: StatusCode,
    problem: Value,
    has_call: bool,
}

async fn send_rejected(gateway: &TestGateway, request: Request<Body>) -> Rejection {
    let response = gateway.router.clone().oneshot(request).await.expect("the router answers");
    let content_type = response.headers().get("content-type").cloned().expect("a content type");
    assert_eq!(content_type, "application/problem+json");
    let (status, has_call) = (response.status(), response.headers().contains_key("sumacdrift-call"));
    let bytes = response.into_body().collect().await.expect("a body").to_bytes();
    Rejection { status, problem: serde_json::from_slice(&bytes).expect("JSON"), has_call }
}

async fn assert_rejected(request: Request<Body>, code: ResultCode) {
    let gateway = test_gateway();
    let rejection = send_rejected(&gateway, request).await;
    assert_eq!(rejection.problem["code"], code.number(), "{}", rejection.problem);
    assert_eq!(rejection.status.as_u16(), code.http_status());
    assert_eq!(rejection.problem["ran"], "no");
    assert_eq!(gateway.dispatcher.dispatched.load(Ordering::Relaxed), 0, "nothing may be dispatched");
}

const VALID_BODY: &str = r#"{"model":"emulated-8b","messages":[{"role":"user","content":"hello"}]}"#;

#[tokio::test]
async fn malformed_bodies_are_rejected() {
    let bodies = [
        "",
        "{",
        "[]",
        "{\"messages\":[]}",
        "{\"model\":7,\"messages\":[{\"role\":\"user\"}]}",
        "{\"model\":\"emulated-8b\"}",
        "{\"model\":\"emulated-8b\",\"messages\":[]}",
        "{\"model\":\"emulated-8b\",\"messages\":[7]}",
        "{\"model\":\"emulated-8b\",\"messages\":[{\"content\":\"no role\"}]}",
        "{\"model\":\"emulated-8b\",\"messages\":[{\"role\":\"user\"}],\"stream\":\"yes\"}",
        "{\"model\":\"emulated-8b\",\"messages\":[{\"role\":\"user\"}],\"max_tokens\":0}",
        "{\"model\":\"emulated-8b\",\"messages\":[{\"role\":\"user\"}],\"stream_options\":3}",
        "{\"model\":\"two words\",\"messages\":[{\"role\":\"user\"}]}",
    ];
    for body in bodies {
        let request = chat_request(body).body(Body::from(body.to_owned())).expect("a request");
        assert_rejected(request, ResultCode::MalformedBody).await;
    }
}

#[tokio::test]
async fn multiple_choices_are_rejected() {
    let body = r#"{"model":"emulated-8b","messages":[{"role":"user"}],"n":2}"#;
    let request = chat_request(body).body(Body::from(body)).expect("a request");
    assert_rejected(request, ResultCode::UnsupportedParameter).await;
}

#[tokio::test]
async fn an_oversized_body_is_rejected() {
    let body = format!("{{\"model\":\"emulated-8b\",\"messages\":[],\"x\":\"{}\"}}", "a".repeat(3000));
    let request = chat_request(&body).body(Body::from(body.clone())).expect("a request");
    assert_rejected(request, ResultCode::BodyTooLarge).await;
}

#[tokio::test(start_paused = true)]
async fn a_stalled_body_is_rejected_after_the_timeout() {
    let stalled_body = futures::stream::pending::<Result<bytes::Bytes, std::io::Error>>();
    let request = chat_request("").body(Body::from_stream(stalled_body)).expect("a request");
    assert_rejected(request, ResultCode::RequestTooSlow).await;
}

#[tokio::test]
async fn invalid_api_keys_are_rejected() {
    for authorization in ["", "Bearer wrong", "Basic example-key", "example-key"] {
        let request = Request::post("/v1/chat/completions").header("authorization", authorization);
        assert_rejected(
            request.body(Body::from(VALID_BODY)).expect("a request"),
            ResultCode::Unauthenticated,
        )
        .await;
    }
    let request = Request::post("/v1/chat/completions").body(Body::from(VALID_BODY)).expect("a request");
    assert_rejected(request, ResultCode::Unauthenticated).await;
}

#[tokio::test]
async fn malformed_headers_are_rejected() {
    let long = "x".repeat(200);
    let cases: Vec<Vec<(&str, &str)>> = vec![
        vec![("sumacdrift-program", "")],
        vec![("sumacdrift-program", "two words")],
        vec![("sumacdrift-program", &long)],
        vec![("sumacdrift-program", "a"), ("sumacdrift-program", "b")],
        vec![("sumacdrift-program", "a"), ("sumacdrift-turn", "-1")],
        vec![("sumacdrift-program", "a"), ("sumacdrift-turn", "one")],
        vec![("sumacdrift-program", "a"), ("sumacdrift-turn", "99999999999")],
        vec![("sumacdrift-program", "a"), ("sumacdrift-parent", "a")],
        vec![("sumacdrift-program", "a"), ("sumacdrift-history", "some")],
        vec![("sumacdrift-program", "a"), ("sumacdrift-deadline-seconds", "0")],
        vec![("sumacdrift-program", "a"), ("sumacdrift-deadline-seconds", "NaN")],
        vec![("sumacdrift-turn", "0")],
        vec![("sumacdrift-parent", "p")],
        vec![("sumacdrift-history", "append")],
        vec![("idempotency-key", "two words")],
    ];
    for headers in cases {
        let mut request = chat_request(VALID_BODY);
        for (name, value) in &headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::from(VALID_BODY)).expect("a request");
        assert_rejected(request, ResultCode::InvalidHeader).await;
    }
}

#[tokio::test]
async fn unknown_paths_and_methods_are_rejected() {
    let request = Request::get("/nowhere").body(Body::empty()).expect("a request");
    assert_rejected(request, ResultCode::NotFound).await;
    let request = Request::put("/v1/chat/completions").body(Body::empty()).expect("a request");
    assert_rejected(request, ResultCode::MethodNotAllowed).await;
    let authorization = format!("Bearer {KEY}");
    let request = Request::get("/services/nothing/x").header("authorization", &authorization);
    assert_rejected(request.body(Body::empty()).expect("a request"), ResultCode::NotFound).await;
}

#[tokio::test]
async fn rejections_carry_the_call_id() {
    let gateway = test_gateway();
    let request = chat_request("{").body(Body::from("{")).expect("a request");
    assert!(send_rejected(&gateway, request).await.has_call);
}

#[tokio::test]
async fn a_complete_answer_is_a_chat_completion() {
    let gateway = test_gateway();
    let request = chat_request(VALID_BODY).body(Body::from(VALID_BODY)).expect("a request");
    let response = gateway.router.clone().oneshot(request).await.expect("the router answers");
    assert_eq!(response.status(), StatusCode::OK);
    let bytes = response.into_body().collect().await.expect("a body").to_bytes();
    let answer: Value = serde_json::from_slice(&bytes).expect("JSON");
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["message"]["content"], "word");
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
}

#[tokio::test]
async fn a_streamed_answer_ends_with_usage_and_a_done_marker() {
    let gateway = test_gateway();
    let body = r#"{"model":"emulated-8b","stream":true,"stream_options":{"include_usage":true},
        "messages":[{"role":"user","content":"hello"}]}"#;
    let request = chat_request(body).body(Body::from(body)).expect("a request");
    let response = gateway.router.clone().oneshot(request).await.expect("the router answers");
    let bytes = response.into_body().collect().await.expect("a body").to_bytes();
    let text = String::from_utf8(bytes.to_vec()).expect("text");
    let events: Vec<&str> = text.split("\n\n").filter(|event| !event.is_empty()).collect();
    assert_eq!(events.len(), 5, "{text}");
    assert!(events[0].contains("\"role\":\"assistant\""));
    assert!(events[1].contains("\"content\":\"word\""));
    assert!(events[2].contains("\"finish_reason\":\"stop\""));
    assert!(events[3].contains("\"usage\""));
    assert_eq!(events[4], "data: [DONE]");
}
