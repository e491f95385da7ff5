//! Client for operators' tools, which ask a member for the group's status using the group's key.

use crate::frame_io::{exchange_hellos, invalid_data, read_frame, write_frame};
use crate::protocol::{ConnectionPurpose, FrameCodec, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use crate::settings::{Member, Settings};
use crate::types::{Status, OPERATOR};
use gullcart_group::membership::{FolderId, Handshake};
use gullcart_group::types::Incarnation;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a whole query.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Asks a member for the state of the group.
pub async fn fetch_status(settings: &Settings, member: &Member) -> io::Result<Status> {
    let status = timeout(STATUS_TIMEOUT, async {
        let mut stream = TcpStream::connect(member.address).await?;
        let handshake = Handshake {
            member: OPERATOR,
            folder_id: FolderId(0),
            incarnation: Incarnation(0),
            expected_folder_id: None,
        };
        let nonce = fastrand::u128(..);
        let own = Hello {
            version: PROTOCOL_VERSION,
            handshake,
            to: member.number,
            group_id: 0,
            nonce,
            reply_to: None,
        };
        let reply = exchange_hellos(&mut stream, &own, &settings.key).await?;
        let mut codec = FrameCodec::new(&settings.key, &own, &reply);
        write_frame(&mut stream, &mut codec, &ConnectionPurpose::Status).await?;
        let bytes = read_frame(&mut stream, MAX_FRAME_BYTES).await?;
        FrameCodec::new(&settings.key, &reply, &own).read(&bytes).map_err(invalid_data)
    });
    status.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
