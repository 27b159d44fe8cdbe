//! Back ends that end in the middle of an answer, or send more than they were asked for. Guards against recording or completing
//! half an answer, against answers to other requests, and against joining text to an answer that was finished.

mod harness;

use harness::{BackEnd, Reply, Response, TestNode, whole};

const SIGN: &str = "/services/hooks/sign";
const STATUS: &str = "/services/hooks/status";
const CHAT: &str = "/v1/chat/completions";
const CHAT_BODY: &str = r#"{"model":"model","messages":[{"role":"user","content":"hello"}]}"#;
const SURPLUS: &str = "surplus";

/// A response without length or chunks.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nhalf";
/// A response whose last chunk is missing.
const CUT: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";

async fn sign(node: &TestNode, key: &str) -> Reply {
    node.call("HTTP/1.1", SIGN, &format!("Idempotency-Key: {key}\r\n"), "{}").await
}

async fn chat(node: &TestNode) -> Reply {
    node.call("HTTP/1.1", CHAT, "", CHAT_BODY).await
}

/// An event of a chat stream with this id.
fn event(id: &str, content: &str, finish_reason: &str) -> String {
    format!(
        "data: {{\"id\":\"{id}\",\"choices\":[{{\"delta\":{{\"content\":\"{content}\"}},\
         \"finish_reason\":{finish_reason}}}]}}\n\n"
    )
}

fn chat_stream(events: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{events}\r\n0\r\n\r\n", events.len())
}

fn complete_chat(text: &str) -> String {
    chat_stream(&format!("{}{}data: [DONE]\n\n", event("c1", text, "null"), event("c1", "", "\"stop\"")))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_not_recorded() {
    let back_end = BackEnd::start(|_| Response { text: UNFRAMED.to_owned(), closes: true }).await;
    let node = TestNode::start(&back_end).await;
    for status in [502, 409] {
        let reply = sign(&node, "k1").await;
        assert_eq!(reply.status(), status, "{reply:?}");
        assert!(reply.body().contains("\"ran\":\"unknown\"") && !reply.body().contains("half"), "{reply:?}");
    }
    assert_eq!(back_end.requests(), 1, "the call ran once");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_not_complete() {
    let back_end = BackEnd::start(|_| Response { text: UNFRAMED.to_owned(), closes: true }).await;
    let node = TestNode::start(&back_end).await;
    let reply = node.call("HTTP/1.1", STATUS, "", "{}").await;
    assert!(reply.status() >= 500 && !reply.body().contains("half"), "{reply:?}");
}

/// Guards against forwarding, or recording, a status that HTTP does not have.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_an_invalid_status_is_not_recorded() {
    for invalid in ["000", "099", "0", "20", "2000", "+20", "600", "999"] {
        let text = whole(SURPLUS).replacen("200", invalid, 1);
        let back_end = BackEnd::start(move |_| Response { text: text.clone(), closes: false }).await;
        let node = TestNode::start(&back_end).await;
        for status in [502, 409] {
            let reply = sign(&node, "k1").await;
            assert_eq!(reply.status(), status, "{invalid}: {reply:?}");
            assert!(
                reply.body().contains("\"ran\":\"unknown\"") && !reply.body().contains(SURPLUS),
                "{invalid}: {reply:?}"
            );
        }
        assert_eq!(back_end.requests(), 1, "{invalid}: the call ran once");
    }
}

/// Each request but the first on a connection gets a surplus response in front of its own.
fn with_surplus(earlier_on_connection: usize, surplus: String, own: String) -> Response {
    let text = if earlier_on_connection == 0 { own } else { format!("{surplus}{own}") };
    Response { text, closes: false }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surplus_answer_is_not_recorded_for_the_next_call() {
    let back_end = BackEnd::start(|request| {
        with_surplus(request.earlier_on_connection, whole(SURPLUS), whole(&format!("own{}", request.number)))
    })
    .await;
    let node = TestNode::start(&back_end).await;
    for number in 0..3 {
        let reply = sign(&node, &format!("k{number}")).await;
        assert_eq!((reply.status(), reply.body()), (200, format!("own{number}").as_str()), "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surplus_stream_is_not_the_answer_to_the_next_chat() {
    let back_end = BackEnd::start(|request| {
        with_surplus(request.earlier_on_connection, complete_chat(SURPLUS), complete_chat("own"))
    })
    .await;
    let node = TestNode::start(&back_end).await;
    for _ in 0..3 {
        let reply = chat(&node).await;
        assert!(reply.body().contains("\"own\""), "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_goes_on_with_another_completion_is_not_joined() {
    let back_end = BackEnd::start(|_| {
        let joined = [event("c1", "own", "null"), event("c2", SURPLUS, "\"stop\"")].concat();
        Response { text: chat_stream(&format!("{joined}data: [DONE]\n\n")), closes: false }
    })
    .await;
    let node = TestNode::start(&back_end).await;
    let reply = chat(&node).await;
    assert!(reply.status() >= 500 && !reply.body().contains(SURPLUS), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_ends_behind_its_finish_reason_is_not_continued() {
    let back_end = BackEnd::start(|request| match request.number {
        0 => {
            let events = [event("c1", "own", "null"), event("c1", "", "\"stop\"")].concat();
            let whole = chat_stream(&events);
            Response { text: whole.trim_end_matches("0\r\n\r\n").to_owned(), closes: true }
        }
        _ => Response { text: complete_chat(" more"), closes: false },
    })
    .await;
    let node = TestNode::start(&back_end).await;
    let reply = chat(&node).await;
    assert!(reply.status() == 200 && reply.body().contains("\"own\""), "{reply:?}");
    assert!(reply.body().contains("\"completion_tokens\":1"), "{reply:?}");
    assert_eq!(back_end.requests(), 1);
}

/// Without chunks, an orderly end would look complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_chunks_gets_a_reset_where_an_answer_is_cut() {
    let back_end = BackEnd::start(|_| Response { text: CUT.to_owned(), closes: true }).await;
    let node = TestNode::start(&back_end).await;
    let reply = node.call("HTTP/1.0", STATUS, "", "{}").await;
    assert!(reply.is_reset, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_chunks_gets_a_whole_answer() {
    let back_end = BackEnd::start(|_| Response { text: whole("whole"), closes: false }).await;
    let node = TestNode::start(&back_end).await;
    let reply = node.call("HTTP/1.0", STATUS, "", "{}").await;
    assert_eq!((reply.status(), reply.body(), reply.is_reset), (200, "whole", false), "{reply:?}");
}
