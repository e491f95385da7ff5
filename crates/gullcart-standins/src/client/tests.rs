use super::*;

#[test]
fn replies_mean_what_the_protocol_says() {
    assert_eq!(read_reply("+OK"), EnqueueOutcome::Accepted);
    assert_eq!(read_reply("$2"), EnqueueOutcome::Accepted);
    assert_eq!(read_reply("-BUSY"), EnqueueOutcome::Busy(None));
    assert_eq!(read_reply("-BUSY 40"), EnqueueOutcome::Busy(Some(40)));
    assert_eq!(read_reply("-BUSY soon"), EnqueueOutcome::Error);
    assert_eq!(read_reply("-ERR no"), EnqueueOutcome::Error);
}

#[test]
fn an_enqueue_request_is_five_bulk_strings() {
    let request = EnqueueRequest {
        id: "ab",
        order_key: 5,
        class: "notice",
        partner: 7,
        time_left: Duration::from_secs(2),
        idempotency_key: Some("k1"),
        retry: true,
        from_dead_courier: false,
        body: b"x\r\n",
    };
    let text = String::from_utf8(request.encode()).unwrap();
    let expected = "*5\r\n$7\r\nENQUEUE\r\n$16\r\n0000000000000005\r\n$2\r\nab\r\n\
                    $31\r\nc=notice,d=2000,dest=7,k=k1,r=1\r\n$3\r\nx\r\n\r\n";
    assert_eq!(text, expected);
}
