//! The whole path, and what callers may get wrong.

mod common;

use common::{BLUE_MODEL, RED_MODEL, block_on, ready, small};
use currantcove::core::outcome::{Outcome, Reason};
use currantcove_standins::client::{Caller, draft_body, is_complete_draft};

#[test]
fn a_draft_is_served_whole_through_every_entry_host() {
    block_on(async {
        let deployment = ready(&small()).await;
        let caller = Caller::new("red");

        for (i, addr) in deployment.caller_addrs().into_iter().enumerate() {
            let word = format!("word{i}");
            let heard = caller
                .draft(addr, RED_MODEL, &word, 5)
                .await
                .expect("answer");

            assert!(is_complete_draft(&heard, &word, 5), "{heard:?}");
            assert_eq!(heard.outcome(), Some(Outcome::Run));
        }
    });
}

#[test]
fn bad_requests_get_typed_errors_and_disturb_nothing() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let stranger = Caller::new("nobody");
        let chat = || red.post("/v1/chat/completions");
        let good = draft_body(RED_MODEL, "w", 1, false);

        let heard = [
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
                good.clone(),
            )
            .await,
            red.send_and_read(addr, red.post("/nowhere"), "").await,
            red.send_and_read(addr, red.post("/services/none/book"), "")
                .await,
            stranger
                .send_and_read(addr, stranger.post("/v1/chat/completions"), good.clone())
                .await,
        ];

        let reasons: Vec<Option<Reason>> = heard
            .iter()
            .map(|h| h.as_ref()?.refusal().map(|r| r.reason))
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
            heard
                .iter()
                .flatten()
                .all(|h| h.outcome() == Some(Outcome::NotRun))
        );
        let after = red.send_and_read(addr, chat(), good).await.expect("answer");
        assert_eq!(after.status, 200);
    });
}

#[test]
fn a_caller_that_never_ends_its_body_is_refused_and_others_are_served() {
    block_on(async {
        let mut shape = small();
        shape.host_zones.truncate(1);
        let deployment = ready(&shape).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let slow = compio::net::TcpStream::connect(addr)
            .await
            .expect("connects");
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n";
        compio::io::AsyncWriteExt::write_all(&mut &slow, head.as_bytes())
            .await
            .0
            .expect("writes");

        let heard = red
            .draft(addr, RED_MODEL, "other", 3)
            .await
            .expect("answer");

        assert!(is_complete_draft(&heard, "other", 3));
    });
}
