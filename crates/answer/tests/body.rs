//! Tests of streamed bodies.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use wasabi_answer::body;
use wasabi_core::units::Tokens;

const EVENT: &[u8] = b"data: 1\n\n";

#[tokio::test]
async fn a_body_is_complete_only_if_its_producer_says_so() {
    for finished in [true, false] {
        let (producer, mut body) = body::channel(4, |_| {});
        assert!(producer.send(Bytes::from_static(EVENT), Tokens(1)).await);
        if finished {
            producer.finish();
        }
        drop(producer);
        let frame = body.frame().await.expect("a part").expect("no error");
        assert_eq!(frame.into_data().expect("data"), EVENT);
        let end = body.frame().await;
        assert_eq!(end.map(|frame| frame.is_err()), (!finished).then_some(true));
    }
}

#[tokio::test]
async fn a_producer_that_panics_breaks_the_body_off() {
    let (producer, body) = body::channel(4, |_| {});
    let task = tokio::spawn(async move {
        producer.send(Bytes::from_static(EVENT), Tokens(1)).await;
        panic!("the producer fails");
    });
    assert!(body.collect().await.is_err());
    assert!(task.await.is_err());
}

#[tokio::test]
async fn a_producer_learns_that_the_caller_is_gone() {
    let (producer, body) = body::channel(4, |_| {});
    drop(body);
    producer.caller_gone().cancelled().await;
    assert!(!producer.send(Bytes::from_static(EVENT), Tokens(1)).await);
}
