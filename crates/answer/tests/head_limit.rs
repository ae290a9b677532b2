//! Interim responses before the head of a response.

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wasabi_answer::head_limit::Limited;

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
const FINAL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Reads `text`, which arrives in parts of `part` bytes; returns whether all of it was read.
async fn reads(text: &str, part: usize) -> anyhow::Result<bool> {
    let (mut server, client) = tokio::io::duplex(part);
    let (mut client, limit) = Limited::new(client);
    limit.begin_request();
    let text = text.to_string();
    let length = text.len();
    let writing = tokio::spawn(async move { server.write_all(text.as_bytes()).await });
    let mut received = vec![0; length];
    let read = client.read_exact(&mut received).await.is_ok();
    drop(client);
    // It fails if the client has stopped reading.
    let _ = writing.await?;
    Ok(read)
}

#[tokio::test]
async fn some_interim_responses_pass_and_more_fail_however_they_are_cut() -> anyhow::Result<()> {
    for part in [1, 7, 64, 65_536] {
        assert!(reads(&(INTERIM.repeat(16) + FINAL), part).await?, "{part}");
        assert!(!reads(&(INTERIM.repeat(17) + FINAL), part).await?, "{part}");
    }
    Ok(())
}

/// A body may hold anything, also what looks like responses.
#[tokio::test]
async fn a_body_is_not_scanned() -> anyhow::Result<()> {
    for part in [1, 7, 65_536] {
        assert!(reads(&(FINAL.to_string() + &INTERIM.repeat(100)), part).await?, "{part}");
    }
    Ok(())
}
