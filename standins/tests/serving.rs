//! End-to-end requests through the entry hosts, and invalid requests of callers.

mod common;

use common::{BLUE_MODEL, RED_MODEL, block_on, ready_deployment, small_shape};
use currantcove::core::outcome::{Outcome, Reason};
use currantcove_standins::client::{Caller, draft_body, is_complete_draft};

#[test]
fn every_entry_host_serves_a_complete_stream() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let caller = Caller::new("red");

        for (i, addr) in deployment.caller_addrs().into_iter().enumerate() {
            let word = format!("word{i}");
            let response = caller
                .draft(addr, RED_MODEL, &word, 5)
                .await
                .expect("response");

            assert!(is_complete_draft(&response, &word, 5), "{response:?}");
            assert_eq!(response.outcome(), Some(Outcome::Run));
        }
    });
}

#[test]
fn bad_requests_get_typed_errors_and_later_requests_succeed() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let unknown_caller = Caller::new("nobody");
        let chat = || red.post("/v1/chat/completions");
        let valid_body = draft_body(RED_MODEL, "w", 1, false);

        let responses = [
            red.send_and_read(addr, chat(), "{").await,
            red.send_and_read(addr, chat(), "[1]").await,
            red.send_and_read(addr, chat(), r#"{"model":1}"#).await,
            red.send_and_read(addr, chat(), r#"{"model":"draft-0","stream":"yes"}"#)
                .await,
            red.send_and_read(addr, chat(), draft_body("none", "w", 1, false))
                .await,
            red.send_and_read(addr, chat(), draft_body(BLUE_MODEL, "w", 1, false))
                .await,
            red.send_and_read(addr, chat(), draft_body("draft-0:none", "w", 1, false))
                .await,
            red.send_and_read(addr, chat(), vec![b' '; 2 << 20]).await,
            red.send_and_read(
                addr,
                chat().header("currantcove-deadline-ms", "soon"),
                valid_body.clone(),
            )
            .await,
            red.send_and_read(addr, red.post("/nowhere"), "").await,
            red.send_and_read(addr, red.post("/services/none/book"), "")
                .await,
            unknown_caller
                .send_and_read(
                    addr,
                    unknown_caller.post("/v1/chat/completions"),
                    valid_body.clone(),
                )
                .await,
        ];

        let reasons: Vec<Option<Reason>> = responses
            .iter()
            .map(|r| r.as_ref()?.refusal().map(|refusal| refusal.reason))
            .collect();
        let expected = [
            Reason::BadRequest,
            Reason::BadRequest,
            Reason::BadRequest,
            Reason::BadRequest,
            Reason::UnknownModel,
            Reason::UnknownModel,
            Reason::UnknownModel,
            Reason::BodyTooLarge,
            Reason::BadDeadline,
            Reason::UnknownPath,
            Reason::UnknownModel,
            Reason::Unauthorized,
        ];
        assert_eq!(reasons, expected.map(Some));
        assert!(
            responses
                .iter()
                .flatten()
                .all(|r| r.outcome() == Some(Outcome::NotRun))
        );
        let later = red
            .send_and_read(addr, chat(), valid_body)
            .await
            .expect("response");
        assert_eq!(later.status, 200);
    });
}

#[test]
fn an_unfinished_request_body_does_not_block_other_callers() {
    block_on(async {
        let mut shape = small_shape();
        shape.host_zones.truncate(1);
        let deployment = ready_deployment(&shape).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let unfinished = compio::net::TcpStream::connect(addr)
            .await
            .expect("connects");
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n";
        compio::io::AsyncWriteExt::write_all(&mut &unfinished, head.as_bytes())
            .await
            .0
            .expect("writes");

        let response = red
            .draft(addr, RED_MODEL, "other", 3)
            .await
            .expect("response");

        assert!(is_complete_draft(&response, "other", 3));
    });
}
