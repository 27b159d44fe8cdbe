//! Messages that mean the same must be the same.

use serde_json::json;
use sumacdrift_types::{ChatMessage, HistoryMode, PrefixDigest, ProgramId};

#[test]
fn order_of_members_and_null_members_do_not_matter() {
    let sent = json!({"role": "assistant", "content": "yes", "refusal": null});
    let echoed = json!({"content": "yes", "role": "assistant"});
    let sent = ChatMessage::from_value(&sent).expect("a message");
    assert_eq!(sent, ChatMessage::from_value(&echoed).expect("a message"));
    assert_eq!(sent, ChatMessage::assistant("yes"));
}

#[test]
fn other_content_has_another_digest() {
    let one = ChatMessage::assistant("one");
    let two = ChatMessage::assistant("two");
    assert_ne!(one.digest(), two.digest());
    let start = PrefixDigest::default();
    let forwards = start.extend(one.digest()).extend(two.digest());
    let backwards = start.extend(two.digest()).extend(one.digest());
    assert_ne!(forwards, backwards);
}

#[test]
fn what_has_no_role_is_no_message() {
    for value in [json!(7), json!({"content": "x"}), json!({"role": 7})] {
        assert!(ChatMessage::from_value(&value).is_err());
    }
}

#[test]
fn names_keep_to_the_rules() {
    assert!(ProgramId::new("night-build.7:a_b").is_ok());
    for name in ["", "two words", "tab\t", "umlaut-ä", &"x".repeat(129)] {
        assert!(ProgramId::new(name).is_err(), "{name}");
    }
}

#[test]
fn full_history_is_the_default() {
    assert_eq!(HistoryMode::default(), HistoryMode::Full);
}
