use super::*;

/// A call counts as written with its last byte, in whatever pieces it goes, and not before.
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

/// An answer that crosses the end of a call that was given up is none, in whatever pieces it comes: the endpoint's side has
/// dropped it, and a message that was held to be delivered by it would get no end (seen as lost, one play in six of a day).
#[tokio::test]
async fn an_answer_that_crosses_the_end_of_its_call_is_none() {
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
            // The end of the call is the event: the answer comes behind it.
            assert_eq!(endpoint.read(&mut [0]).await.unwrap(), 0);
            endpoint.write_all(after.as_bytes()).await.unwrap();
            drop(endpoint);
        };
        let (closed, ()) = tokio::join!(reader.0.shutdown_and_drain(), answers);
        closed.unwrap();
        assert_eq!(connection.status(), status, "{before:?} and {after:?}");
    }
}

/// A call that moves to another process takes along what is held back of its answer: it may be the beginning of a copy, or not.
#[test]
fn what_is_held_back_of_an_answer_is_handed_over() {
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
            answers.accept(gullcart_engine::Fingerprint::of(b"a")).unwrap();
            answers.remember(Some(earlier.to_vec()));
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
        // Once it is known to be one, nothing of it is left.
        std::io::Write::write_all(&mut endpoint, rest).unwrap();
        connection.stream.readable().await.unwrap();
        let reading = tokio::io::AsyncReadExt::read(&mut tracked_stream, &mut buf);
        assert!(tokio::time::timeout(Duration::from_millis(1), reading).await.is_err(), "it is a copy");
        assert_eq!(progress.to_handover().unwrap().response_bytes, b"");
        assert_eq!(connection.copy_count(), 1);
    });
}
