//! End-to-end path of a request: from a caller through two daemons to an engine
//! and back.

mod support;

use gg_fakes::{CallResult, FleetSettings};
use http::Method;
use serde_json::{Value, json};

#[tokio::test(flavor = "multi_thread")]
async fn turns_across_daemons() {
    let fleet = support::fleet(FleetSettings { daemons: 2, ..Default::default() }).await;
    let caller = fleet.caller("ukhozi");
    let program = caller.start("urgent", None).await.expect("start program");
    for turn in 0..6 {
        let outcome = caller.turn(&program, turn, &format!("ask {program} {turn}"), 8).await;
        let CallResult::Done(reply) = outcome else { panic!("turn {turn}: {outcome:?}") };
        assert_eq!(reply.turn, turn);
        assert_eq!(reply.text.split_whitespace().count(), 8);
    }
    let view = caller.read(&program).await.expect("read program");
    assert_eq!(view["next_turn"], 6);
    assert_eq!(view["history"].as_array().map(Vec::len), Some(12));
    caller.end(&program).await.expect("end program");
}

#[tokio::test(flavor = "multi_thread")]
async fn openai_compatible_client() {
    let fleet = support::fleet(FleetSettings { daemons: 2, ..Default::default() }).await;
    let caller = fleet.caller("nyabugogo");
    let body = json!({
        "model": "m1",
        "messages": [{"role": "user", "content": "two litres of hide glue"}],
        "max_tokens": 12,
        "stream": true,
        "stream_options": {"include_usage": true},
    });
    let headers = [("x-gg-profile", "urgent".to_owned())];
    let path = "/v1/chat/completions";
    let reply = caller
        .send(Method::POST, path, &headers, body.to_string())
        .await
        .expect("receive response");
    assert_eq!(reply.status, 200, "{:?}", reply.body);
    assert_eq!(reply.header("content-type"), Some("text/event-stream"));
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data.last(), Some(&"[DONE]"));
    let chunks: Vec<Value> = data[..data.len() - 1]
        .iter()
        .map(|line| serde_json::from_str(line).expect("valid JSON"))
        .collect();
    let words: String = chunks
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(words.split_whitespace().count(), 12);
    let usage = &chunks.last().expect("at least one chunk")["usage"];
    assert_eq!(usage["completion_tokens"], 12);
}
