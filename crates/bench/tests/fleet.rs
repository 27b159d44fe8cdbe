//! Tests nodes on loopback with a third-party client library and with faults of engines and services.

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

async fn start_fleet(nodes: usize, engines: usize) -> Fleet {
    let engine_settings = EngineSettings::default().at_speed(20.0);
    let plan = FleetPlan { nodes, engines, engine_settings, shards: 4 };
    Fleet::start(plan, discard_logger()).await.expect("the fleet starts")
}

fn turn_request(program: &str, number: u32, messages: Vec<Value>) -> ChatRequest {
    ChatRequest {
        key: KEY.to_owned(),
        model: MODEL.to_owned(),
        messages,
        program: Some((program.to_owned(), Some(number))),
        max_tokens: Some(64),
        ..ChatRequest::default()
    }
}

fn user_message(content: &str) -> Value {
    json!({"role": "user", "content": content})
}

fn expect_answer(outcome: ChatOutcome) -> (String, bool) {
    match outcome {
        ChatOutcome::Answer { text, is_replay, is_whole: true, .. } => (text, is_replay),
        other => panic!("expected a whole answer, got {other:?}"),
    }
}

fn expect_refusal(outcome: ChatOutcome) -> Refusal {
    match outcome {
        ChatOutcome::Refused(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn openai_client(fleet: &Fleet, key: &str) -> Client<OpenAIConfig> {
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
async fn third_party_client_gets_plain_and_streamed_answers() {
    let mut fleet = start_fleet(1, 1).await;
    let client = openai_client(&fleet, KEY);
    let content = "hello [[tokens=8]]";
    let expected = answer_text(&Prompt::from_messages(&[user_message(content)]), 8);
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
async fn third_party_client_gets_an_answer_after_internal_retries() {
    let mut fleet = start_fleet(1, 2).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.rejection_statuses.push_back(503));
    }
    let content = "retried [[tokens=8]]";
    let answer =
        openai_client(&fleet, KEY).chat().create(openai_request(MODEL, content)).await.expect("an answer");
    let expected = answer_text(&Prompt::from_messages(&[user_message(content)]), 8);
    assert_eq!(answer.choices[0].message.content.as_deref(), Some(expected.as_str()));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn third_party_client_gets_result_codes_of_errors() {
    let mut fleet = start_fleet(1, 1).await;
    let unknown = openai_client(&fleet, KEY).chat().create(openai_request("no-such-model", "hello")).await;
    let message = unknown.expect_err("an error").to_string();
    assert!(message.contains("1004"), "{message}");
    let wrong_key = openai_client(&fleet, "wrong").chat().create(openai_request(MODEL, "hello")).await;
    let message = wrong_key.expect_err("an error").to_string();
    assert!(message.contains("2001"), "{message}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_turn_is_replayed_by_any_node() {
    let mut fleet = start_fleet(3, 1).await;
    let caller = Caller::default();
    let request = turn_request("program", 0, vec![user_message("once [[tokens=6]]")]);
    let (first, is_replay) = expect_answer(caller.chat(fleet.addresses[0], &request).await);
    assert!(!is_replay);
    for address in &fleet.addresses {
        let (again, is_replay) = expect_answer(caller.chat(*address, &request).await);
        assert!(is_replay);
        assert_eq!(again, first);
    }
    assert_eq!(fleet.trace.runs().len(), 1, "the engine ran once");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_turns_and_histories_are_rejected_without_effect() {
    let mut fleet = start_fleet(1, 1).await;
    let (caller, node) = (Caller::default(), fleet.addresses[0]);
    let first = turn_request("program", 0, vec![user_message("first [[tokens=4]]")]);
    let (answer, _) = expect_answer(caller.chat(node, &first).await);
    let assistant = json!({"role": "assistant", "content": answer});

    let other = turn_request("program", 0, vec![user_message("something else")]);
    let refusal = expect_refusal(caller.chat(node, &other).await);
    assert_eq!(refusal.code, ResultCode::TurnContentDiffers.number());
    assert_eq!(refusal.ran, "no");

    let altered = vec![user_message("altered"), assistant.clone(), user_message("second")];
    let refusal = expect_refusal(caller.chat(node, &turn_request("program", 1, altered)).await);
    assert_eq!(refusal.code, ResultCode::HistoryMismatch.number());

    let foreign = ChatRequest {
        key: "flood-warnings-key-0123456789".to_owned(),
        ..turn_request("program", 1, vec![user_message("mine?")])
    };
    let refusal = expect_refusal(caller.chat(node, &foreign).await);
    assert_eq!(refusal.code, ResultCode::UnknownProgram.number());

    let report = caller.describe(node, KEY, "program", 0).await.expect("a report");
    assert_eq!(report["history"]["messages_recorded"], 2);
    let second = vec![user_message("first [[tokens=4]]"), assistant, user_message("second [[tokens=4]]")];
    expect_answer(caller.chat(node, &turn_request("program", 1, second)).await);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_is_resumed_on_another_engine() {
    let mut fleet = start_fleet(1, 2).await;
    for engine in &fleet.engines {
        engine.set_faults(|faults| faults.cut.push_back(3));
    }
    // Each engine cuts one stream, so the third attempt completes the answer.
    let messages = vec![user_message("continue [[tokens=10]]")];
    let expected = answer_text(&Prompt::from_messages(&messages), 10);
    let (text, _) =
        expect_answer(Caller::default().chat(fleet.addresses[0], &turn_request("cut", 0, messages)).await);
    assert_eq!(text, expected);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_errors_and_garbage_are_not_reported_as_not_run() {
    let mut fleet = start_fleet(1, 1).await;
    let (caller, node) = (Caller::default(), fleet.addresses[0]);
    fleet.engines[0].set_faults(|faults| faults.rejection_statuses.push_back(400));
    let refusal =
        expect_refusal(caller.chat(node, &turn_request("refused", 0, vec![user_message("x")])).await);
    assert_eq!(refusal.code, ResultCode::BackEndRefused.number());
    assert_eq!(refusal.ran, "unknown");
    fleet.engines[0].set_faults(|faults| faults.garbage = 3);
    let refusal =
        expect_refusal(caller.chat(node, &turn_request("garbage", 0, vec![user_message("x")])).await);
    assert_ne!(refusal.ran, "no", "the engine received the request: {refusal:?}");
    let report = caller.describe(node, KEY, "garbage", 0).await.expect("a report");
    assert_eq!(report["history"]["messages_recorded"], 0, "no message is recorded");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_engine_is_reported_as_not_run() {
    let mut fleet = start_fleet(1, 1).await;
    fleet.engines[0].stop();
    // The listener is closed once connections to it fail.
    while tokio::net::TcpStream::connect(fleet.engines[0].address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let request = turn_request("unreachable", 0, vec![user_message("x")]);
    let refusal = expect_refusal(Caller::default().chat(fleet.addresses[0], &request).await);
    assert!(fleet.trace.runs().is_empty());
    assert_eq!(refusal.ran, "no", "{refusal:?}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hook_with_a_lost_answer_is_not_run_again() {
    let mut fleet = start_fleet(3, 1).await;
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
async fn hook_requires_a_key_and_rejects_other_content_for_it() {
    let mut fleet = start_fleet(1, 1).await;
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
async fn history_survives_a_node_crash() {
    let mut fleet = start_fleet(3, 1).await;
    let caller = Caller::default();
    let first = turn_request("survivor", 0, vec![user_message("first [[tokens=4]]")]);
    let (answer, _) = expect_answer(caller.chat(fleet.addresses[0], &first).await);
    fleet.nodes[2].take().expect("a running node").kill();
    let messages = vec![
        user_message("first [[tokens=4]]"),
        json!({"role": "assistant", "content": answer}),
        user_message("second"),
    ];
    let (answer, _) =
        expect_answer(caller.chat(fleet.addresses[0], &turn_request("survivor", 1, messages.clone())).await);
    assert_eq!(answer, answer_text(&Prompt::from_messages(&messages), 4));
    fleet.stop().await;
}

/// Requests a long answer, reads the first chunk and disconnects.
async fn disconnect_mid_answer(fleet: &Fleet, program: Option<&str>) {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": 400,
        "messages": [user_message("long [[tokens=400]]")],
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
    sumacdrift_http_client::next_chunk(&mut body).await.expect("a chunk");
}

#[tokio::test(flavor = "multi_thread")]
async fn single_call_is_cancelled_when_its_caller_disconnects() {
    let engine_settings = EngineSettings::default();
    let plan = FleetPlan { nodes: 1, engines: 1, engine_settings, shards: 1 };
    let mut fleet = Fleet::start(plan, discard_logger()).await.expect("the fleet starts");
    disconnect_mid_answer(&fleet, None).await;
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
async fn turn_is_recorded_after_its_caller_disconnects() {
    let mut fleet = start_fleet(1, 1).await;
    disconnect_mid_answer(&fleet, Some("left")).await;
    let messages = vec![user_message("long [[tokens=400]]")];
    let request = ChatRequest { max_tokens: Some(400), ..turn_request("left", 0, messages.clone()) };
    let (text, is_replay) = expect_answer(Caller::default().chat(fleet.addresses[0], &request).await);
    assert!(is_replay);
    assert_eq!(text, answer_text(&Prompt::from_messages(&messages), 400));
    assert_eq!(fleet.trace.runs().len(), 1, "the engine ran once");
    fleet.stop().await;
}
