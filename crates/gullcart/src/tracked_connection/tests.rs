//! Tracking of the bytes of a connection.

use super::*;

/// A request counts as written with its last byte, however its bytes are split.
#[test]
fn a_request_is_written_with_its_last_byte() {
    let head = "POST /hook HTTP/1.1\r\nX-Call-Id: a\rb\r\n\r\n";
    for body in ["", "\r\n\r\nx"] {
        let bytes = format!("{head}{body}").into_bytes();
        for size in 1..bytes.len() {
            let progress = Rc::new(WriteProgress::default());
            progress.stage.set(Stage::Started);
            let mut outgoing = OutgoingRequest {
                progress: progress.clone(),
                matched_terminator_bytes: 0,
                remaining_body_bytes: body.len(),
            };
            let mut sent = 0;
            for chunk in bytes.chunks(size) {
                assert!(!progress.is_unreported(), "{size}: whole after {sent} bytes");
                outgoing.feed(chunk);
                sent += chunk.len();
            }
            assert!(progress.is_unreported(), "{size}: never whole");
        }
    }
}

/// A response that crosses the end of an abandoned call does not count, however it is split: the endpoint has discarded it. When
/// it was taken for a delivery, the message was lost (in one of six plays of a day).
#[tokio::test]
async fn a_response_that_crosses_the_end_of_its_call_is_ignored() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    for (before, after, status) in [
        ("", "HTTP/1.1 200 OK\r\n\r\n", None),
        ("HTTP/1.1 2", "00 OK\r\n\r\n", None),
        ("HTTP/1.1 200 O", "K\r\n\r\n", Some(200)),
    ] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut endpoint, _) = listener.accept().await.unwrap();
        let connection =
            Rc::new(TrackedConnection::new(stream, DescriptorPermit::new(&Rc::default(), &Rc::default())));
        let mut reader = TrackedStream(connection.clone());
        endpoint.write_all(before.as_bytes()).await.unwrap();
        let mut read = vec![0; before.len()];
        reader.read_exact(&mut read).await.unwrap();
        let answers = async {
            // The rest of the response is sent only after the end of the call was seen.
            assert_eq!(endpoint.read(&mut [0]).await.unwrap(), 0);
            endpoint.write_all(after.as_bytes()).await.unwrap();
            drop(endpoint);
        };
        let (closed, ()) = tokio::join!(reader.0.shutdown_and_drain(), answers);
        closed.unwrap();
        assert_eq!(connection.status(), status, "{before:?} and {after:?}");
    }
}

/// A hand-over includes the bytes of a response that the copy filter holds back: they may be the start of a copy, or not.
#[test]
fn bytes_held_back_of_a_response_are_handed_over() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut endpoint, _) = listener.accept().unwrap();
        let connection =
            Rc::new(TrackedConnection::new(stream, DescriptorPermit::new(&Rc::default(), &Rc::default())));
        let earlier = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        {
            let mut answers = connection.earlier_answers.borrow_mut();
            answers.accept(gullcart_engine::AnswerFingerprint::of(b"a")).unwrap();
            answers.keep_bytes(Some(earlier.to_vec()));
        }
        let progress = Rc::new(WriteProgress::handed_over());
        connection.begin_call(0, progress.clone(), None);
        let (begun, rest) = earlier.split_at(30);
        std::io::Write::write_all(&mut endpoint, begun).unwrap();
        connection.stream.readable().await.unwrap();
        let mut tracked_stream = TrackedStream(connection.clone());
        let mut buf = [0; 64];
        let reading = tokio::io::AsyncReadExt::read(&mut tracked_stream, &mut buf);
        assert!(tokio::time::timeout(Duration::from_millis(1), reading).await.is_err(), "it may be a copy");
        assert_eq!(progress.to_handover().unwrap().response_bytes, begun);
        // Once it is known to be a copy, nothing of it is handed over.
        std::io::Write::write_all(&mut endpoint, rest).unwrap();
        connection.stream.readable().await.unwrap();
        let reading = tokio::io::AsyncReadExt::read(&mut tracked_stream, &mut buf);
        assert!(tokio::time::timeout(Duration::from_millis(1), reading).await.is_err(), "it is a copy");
        assert_eq!(progress.to_handover().unwrap().response_bytes, b"");
        assert_eq!(connection.copy_count(), 1);
    });
}

/// Guards against a call that is broken for the process that has taken it over: the HTTP library of the old process shut down the
/// connection that both have.
#[tokio::test]
async fn a_connection_that_has_left_the_process_is_not_shut_down() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut endpoint, _) = listener.accept().await.unwrap();
    let connection =
        Rc::new(TrackedConnection::new(stream, DescriptorPermit::new(&Rc::default(), &Rc::default())));
    let progress = Rc::new(WriteProgress::handed_over());
    connection.begin_call(0, progress.clone(), None);
    progress.detach();
    let next_process = progress.to_handover().unwrap().descriptor;
    TrackedStream(connection.clone()).shutdown().await.unwrap();
    drop(connection);
    let mut next_process = TcpStream::from_std(std::net::TcpStream::from(next_process)).unwrap();
    next_process.write_all(b"x").await.unwrap();
    let mut received = [0];
    assert_eq!(endpoint.read(&mut received).await.unwrap(), 1);
}
