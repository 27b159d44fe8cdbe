//! Real nodes on loopback: a client library that nobody here wrote, and faults of engines and services.

use std::time::Duration;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::{
    ChatCompletionRequestUserMessageArgs, ChatCompletionStreamOptions, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use futures::StreamExt;
use serde_json::{Value, json};
use sumacdrift_bench::{Caller, ChatOutcome, ChatRequest, Fleet, FleetPlan, Refusal, ServiceOutcome};
use sumacdrift_emulator::{EngineSettings, Prompt, answer_text};
use sumacdrift_node::discard_logger;
use sumacdrift_types::ResultCode;

const KEY: &str = "build-farm-key-0123456789";
const MODEL: &str = "emulated-8b";

async fn fleet(nodes: usize, engines: usize) -> Fleet {
    let engine_settings = EngineSettings::default().at_speed(20.0);
    let plan = FleetPlan { nodes, engines, engine_settings, shards: 4 };
    Fleet::start(plan, discard_logger()).await.expect("the fleet starts")
}

fn turn(program: &str, number: u32, messages: Vec<Value>) -> ChatRequest {
    ChatRequest {
        key: KEY.to_owned(),
        model: MODEL.to_owned(),
        messages,
        program: Some((program.to_owned(), Some(number))),
        max_tokens: Some(64),
        ..ChatRequest::default()
    }
}

fn user(content: &str) -> Value {
    json!({"role": "user", "content": content})
}

fn text_of(outcome: ChatOutcome) -> (String, bool) {
    match outcome {
        ChatOutcome::Answer { text, is_replay, is_whole: true, .. } => (text, is_replay),
        other => panic!("expected a whole answer, got {other:?}"),
    }
}

fn refusal_of(outcome: ChatOutcome) -> Refusal {
    match outcome {
        ChatOutcome::Refused(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn openai(fleet: &Fleet, key: &str) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", fleet.addresses[0]);
    let backoff = backoff::ExponentialBackoff {
        max_elapsed_time: Some(Duration::from_millis(10)),
        ..backoff::ExponentialBackoff::default()
    };
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(key)).with_backoff(backoff)
}

fn openai_request(model: &str, content: &str) -> CreateChatCompletionRequest {
    let message =
        ChatCompletionRequestUserMessageArgs::default().content(content).build().expect("a message");
    CreateChatCompletionRequestArgs::default()
        .model(model)
        .messages([message.into()])
        .max_completion_tokens(32_u32)
        .build()
        .expect("a request")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_client_library_gets_whole_and_streamed_answers() {
    let mut fleet = fleet(1, 1).await;
    let client = openai(&fleet, KEY);
    let content = "hello [[tokens=8]]";
    let expected = answer_text(&Prompt::from_messages(&[user(content)]), 8);
    let whole = client.chat().create(openai_request(MODEL, content)).await.expect("an answer");
    assert_eq!(whole.choices[0].message.content.as_deref(), Some(expected.as_str()));
    assert_eq!(whole.usage.expect("usage").completion_tokens, 8);

    let mut request = openai_request(MODEL, content);
    request.stream_options = Some(ChatCompletionStreamOptions { include_usage: true });
    let mut stream = client.chat().create_stream(request).await.expect("a stream");
    let (mut text, mut usage) = (String::new(), None);
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.expect("a chunk");
        text.extend(chunk.choices.iter().filter_map(|choice| choice.delta.content.clone()));
        usage = chunk.usage.or(usage);
    }
    assert_eq!(text, expected);
    assert_eq!(usage.expect("usage at the end").completion_tokens, 8);
    let models = client.models().list().await.expect("models");
    assert_eq!(models.data[0].id, MODEL);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_client_library_sees_nothing_of_retries() {
    let mut fleet = fleet(1, 2).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.refuse.push_back(503));
    }
    let content = "retried [[tokens=8]]";
    let answer = openai(&fleet, KEY).chat().create(openai_request(MODEL, content)).await.expect("an answer");
    let expected = answer_text(&Prompt::from_messages(&[user(content)]), 8);
    assert_eq!(answer.choices[0].message.content.as_deref(), Some(expected.as_str()));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_client_library_understands_errors() {
    let mut fleet = fleet(1, 1).await;
    let unknown = openai(&fleet, KEY).chat().create(openai_request("no-such-model", "hello")).await;
    let message = unknown.expect_err("an error").to_string();
    assert!(message.contains("1004"), "{message}");
    let wrong_key = openai(&fleet, "wrong").chat().create(openai_request(MODEL, "hello")).await;
    let message = wrong_key.expect_err("an error").to_string();
    assert!(message.contains("2001"), "{message}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_turn_gets_its_recorded_answer_from_any_node() {
    let mut fleet = fleet(3, 1).await;
    let caller = Caller::default();
    let request = turn("program", 0, vec![user("once [[tokens=6]]")]);
    let (first, is_replay) = text_of(caller.chat(fleet.addresses[0], &request).await);
    assert!(!is_replay);
    for address in &fleet.addresses {
        let (again, is_replay) = text_of(caller.chat(*address, &request).await);
        assert!(is_replay);
        assert_eq!(again, first);
    }
    assert_eq!(fleet.trace.runs().len(), 1, "the engine ran once");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_turns_and_histories_are_refused_and_change_nothing() {
    let mut fleet = fleet(1, 1).await;
    let (caller, node) = (Caller::default(), fleet.addresses[0]);
    let first = turn("program", 0, vec![user("first [[tokens=4]]")]);
    let (answer, _) = text_of(caller.chat(node, &first).await);
    let assistant = json!({"role": "assistant", "content": answer});

    let other = turn("program", 0, vec![user("something else")]);
    let refusal = refusal_of(caller.chat(node, &other).await);
    assert_eq!(refusal.code, ResultCode::TurnContentDiffers.number());
    assert_eq!(refusal.ran, "no");

    let altered = vec![user("altered"), assistant.clone(), user("second")];
    let refusal = refusal_of(caller.chat(node, &turn("program", 1, altered)).await);
    assert_eq!(refusal.code, ResultCode::HistoryMismatch.number());

    let foreign = ChatRequest {
        key: "flood-warnings-key-0123456789".to_owned(),
        ..turn("program", 1, vec![user("mine?")])
    };
    let refusal = refusal_of(caller.chat(node, &foreign).await);
    assert_eq!(refusal.code, ResultCode::UnknownProgram.number());

    let report = caller.describe(node, KEY, "program", 0).await.expect("a report");
    assert_eq!(report["history"]["messages_recorded"], 2);
    let second = vec![user("first [[tokens=4]]"), assistant, user("second [[tokens=4]]")];
    text_of(caller.chat(node, &turn("program", 1, second)).await);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_continued_on_another_engine() {
    let mut fleet = fleet(1, 2).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.cut.push_back(3));
    }
    // Both engines cut one stream each, so the third attempt completes the answer.
    let messages = vec![user("continue [[tokens=10]]")];
    let expected = answer_text(&Prompt::from_messages(&messages), 10);
    let (text, _) = text_of(Caller::default().chat(fleet.addresses[0], &turn("cut", 0, messages)).await);
    assert_eq!(text, expected);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_and_refusals_of_engines_are_told_truthfully() {
    let mut fleet = fleet(1, 1).await;
    let (caller, node) = (Caller::default(), fleet.addresses[0]);
    fleet.engines[0].set_faults(|faults| faults.refuse.push_back(400));
    let refusal = refusal_of(caller.chat(node, &turn("refused", 0, vec![user("x")])).await);
    assert_eq!(refusal.code, ResultCode::BackEndRefused.number());
    assert_eq!(refusal.ran, "unknown");
    fleet.engines[0].set_faults(|faults| faults.garbage = 3);
    let refusal = refusal_of(caller.chat(node, &turn("garbage", 0, vec![user("x")])).await);
    assert_ne!(refusal.ran, "no", "the engine had the request: {refusal:?}");
    let report = caller.describe(node, KEY, "garbage", 0).await.expect("a report");
    assert_eq!(report["history"]["messages_recorded"], 0, "nothing may be recorded");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_engine_means_not_run() {
    let mut fleet = fleet(1, 1).await;
    fleet.engines[0].stop();
    // The engine's listener is gone once connections to it fail.
    while tokio::net::TcpStream::connect(fleet.engines[0].address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let request = turn("unreachable", 0, vec![user("x")]);
    let refusal = refusal_of(Caller::default().chat(fleet.addresses[0], &request).await);
    assert!(fleet.trace.runs().is_empty());
    assert_eq!(refusal.ran, "no", "{refusal:?}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_a_hook_is_never_run_again() {
    let mut fleet = fleet(3, 1).await;
    fleet.tools.set_faults(|faults| faults.lose_answer = 1);
    let caller = Caller::default();
    for address in &fleet.addresses {
        let outcome = caller.service(*address, KEY, "/sign", Some("patch-1"), "{}").await;
        let ServiceOutcome::Refused(refusal) = outcome else { panic!("expected a refusal, got {outcome:?}") };
        assert_eq!(refusal.ran, "unknown", "{refusal:?}");
    }
    assert_eq!(fleet.tools.executions().len(), 1);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hook_needs_a_key_and_keeps_to_its_content() {
    let mut fleet = fleet(1, 1).await;
    let (caller, node) = (Caller::default(), fleet.addresses[0]);
    let code = |outcome: ServiceOutcome| match outcome {
        ServiceOutcome::Refused(refusal) => refusal.code,
        other => panic!("expected a refusal, got {other:?}"),
    };
    let without_key = caller.service(node, KEY, "/sign", None, "{}").await;
    assert_eq!(code(without_key), ResultCode::IdempotencyKeyRequired.number());
    let first = caller.service(node, KEY, "/sign", Some("key"), "{}").await;
    assert!(matches!(first, ServiceOutcome::Answer { is_replay: false, .. }));
    let again = caller.service(node, KEY, "/sign", Some("key"), "{}").await;
    assert!(matches!(again, ServiceOutcome::Answer { is_replay: true, .. }));
    let other = caller.service(node, KEY, "/sign", Some("key"), "{\"other\":1}").await;
    assert_eq!(code(other), ResultCode::KeyContentDiffers.number());
    assert_eq!(fleet.tools.executions().len(), 1);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn history_survives_the_death_of_a_node() {
    let mut fleet = fleet(3, 1).await;
    let caller = Caller::default();
    let first = turn("survivor", 0, vec![user("first [[tokens=4]]")]);
    let (answer, _) = text_of(caller.chat(fleet.addresses[0], &first).await);
    fleet.nodes[2].take().expect("a running node").kill();
    let messages =
        vec![user("first [[tokens=4]]"), json!({"role": "assistant", "content": answer}), user("second")];
    let (answer, _) = text_of(caller.chat(fleet.addresses[0], &turn("survivor", 1, messages.clone())).await);
    assert_eq!(answer, answer_text(&Prompt::from_messages(&messages), 4));
    fleet.stop().await;
}

/// Begins a long answer, reads its beginning and breaks off.
async fn break_off(fleet: &Fleet, program: Option<&str>) {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": 400,
        "messages": [user("long [[tokens=400]]")],
    });
    let mut request = http::Request::post(format!("http://{}/v1/chat/completions", fleet.addresses[0]))
        .header("authorization", format!("Bearer {KEY}"));
    if let Some(program) = program {
        request = request.header("sumacdrift-program", program).header("sumacdrift-turn", 0);
    }
    let request = request.body(http_body_util::Full::new(body.to_string().into())).expect("a request");
    let client = sumacdrift_http_client::HttpClient::new();
    let response = client.send(request, Duration::from_secs(20)).await.expect("an answer begins");
    let mut body = response.into_body();
    sumacdrift_http_client::next_chunk(&mut body).await.expect("a piece");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_its_own_is_cancelled_when_its_caller_leaves() {
    let engine_settings = EngineSettings::default();
    let plan = FleetPlan { nodes: 1, engines: 1, engine_settings, shards: 1 };
    let mut fleet = Fleet::start(plan, discard_logger()).await.expect("the fleet starts");
    break_off(&fleet, None).await;
    let idle = async {
        while fleet.engines[0].load().running > 0 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), idle).await.expect("the engine becomes idle");
    assert!(fleet.trace.runs()[0].finished.is_none(), "the answer was cancelled, not completed");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_programs_turn_is_recorded_though_its_caller_leaves() {
    let mut fleet = fleet(1, 1).await;
    break_off(&fleet, Some("left")).await;
    let messages = vec![user("long [[tokens=400]]")];
    let request = ChatRequest { max_tokens: Some(400), ..turn("left", 0, messages.clone()) };
    let (text, is_replay) = text_of(Caller::default().chat(fleet.addresses[0], &request).await);
    assert!(is_replay);
    assert_eq!(text, answer_text(&Prompt::from_messages(&messages), 400));
    assert_eq!(fleet.trace.runs().len(), 1, "the engine ran once");
    fleet.stop().await;
}
