//! Guards against equal messages with different canonical forms or digests, and against invalid messages and names.

use serde_json::json;
use sumacdrift_types::{ChatMessage, HistoryMode, PrefixDigest, ProgramId};

#[test]
fn member_order_and_null_members_do_not_change_a_message() {
    let sent = json!({"role": "assistant", "content": "yes", "refusal": null});
    let echoed = json!({"content": "yes", "role": "assistant"});
    let sent = ChatMessage::from_value(&sent).expect("valid message");
    assert_eq!(sent, ChatMessage::from_value(&echoed).expect("valid message"));
    assert_eq!(sent, ChatMessage::assistant("yes"));
}

#[test]
fn digests_depend_on_content_and_order() {
    let one = ChatMessage::assistant("one");
    let two = ChatMessage::assistant("two");
    assert_ne!(one.digest(), two.digest());
    let start = PrefixDigest::default();
    let in_order = start.extend(one.digest()).extend(two.digest());
    let reversed = start.extend(two.digest()).extend(one.digest());
    assert_ne!(in_order, reversed);
}

#[test]
fn a_message_without_a_string_role_is_rejected() {
    for value in [json!(7), json!({"content": "x"}), json!({"role": 7})] {
        assert!(ChatMessage::from_value(&value).is_err());
    }
}

#[test]
fn invalid_names_are_rejected() {
    assert!(ProgramId::new("night-build.7:a_b").is_ok());
    for name in ["", "two words", "tab\t", "umlaut-ä", &"x".repeat(129)] {
        assert!(ProgramId::new(name).is_err(), "{name}");
    }
}

#[test]
fn full_history_is_the_default() {
    assert_eq!(HistoryMode::default(), HistoryMode::Full);
}
