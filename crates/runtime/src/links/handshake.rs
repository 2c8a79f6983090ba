//! The handshake: the dialling side sends `Hello`, the accepting side answers with `Welcome`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use knapweedwall_core::{Instance, PeerInfo, Role};
use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::link::{Link, Origin};
use super::manager::LinkManager;
use super::reader::{self, Reader};
use super::writer;

/// Timeout of the whole handshake, including connecting.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of connecting. A SYN sent to a host without power is lost, and the kernel retransmits it
/// only after a second; a new attempt reaches a host that has come back sooner. Covers a round trip
/// between regions; the kernel of a busy host answers without its processes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of writing a `Reject`.
const REJECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest name or zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Code of [`Error::Duplicate`].
const DUPLICATE_CODE: &str = "duplicate";

/// Code of [`Error::SelfConnection`].
const SELF_CONNECTION_CODE: &str = "own";

/// Result of a handshake.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a handshake fails. The messages are sent to the peer in `Reject`.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(super) enum Error {
    /// Connecting or writing failed.
    #[snafu(display("connection failed: {source}"))]
    Connection { source: std::io::Error },
    /// The handshake took longer than [`HANDSHAKE_TIMEOUT`].
    #[snafu(display("hand-shake not complete within {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
    /// A frame could not be read.
    #[snafu(display("{source}"))]
    Read { source: reader::Error },
    /// The frame is not the one expected at this step.
    #[snafu(display("expected {expected}"))]
    UnexpectedFrame { expected: &'static str },
    /// A field of the peer's frame has an invalid value.
    #[snafu(display("{field} is not allowed"))]
    InvalidField { field: &'static str },
    /// The peer answered with `Reject`.
    #[snafu(display("refused by peer: {code}: {text}"))]
    Refused { code: String, text: String },
    /// An existing link to the same process is kept.
    #[snafu(display("there is a link to this process already"))]
    Duplicate,
    /// The process has connected to itself.
    #[snafu(display("the address leads to this process"))]
    SelfConnection,
}

impl Error {
    /// Stable code for the `Reject` frame.
    pub(super) fn code(&self) -> &'static str {
        match self {
            Self::Connection { .. } => "io",
            Self::Timeout => "late",
            Self::Read { source } => source.code(),
            Self::UnexpectedFrame { .. } => "unexpected",
            Self::InvalidField { .. } => "bad_hello",
            Self::Refused { .. } => "refused",
            Self::Duplicate => DUPLICATE_CODE,
            Self::SelfConnection => SELF_CONNECTION_CODE,
        }
    }

    /// Whether this process or the peer found that the two have a link already.
    pub(super) fn is_duplicate(&self) -> bool {
        self.has_code(DUPLICATE_CODE)
    }

    /// Whether either end of the connection found that both are this process.
    pub(super) fn is_self_connection(&self) -> bool {
        self.has_code(SELF_CONNECTION_CODE)
    }

    /// Whether the host refused the connection.
    pub(super) fn is_connection_refused(&self) -> bool {
        let refused = std::io::ErrorKind::ConnectionRefused;
        matches!(self, Self::Connection { source } if source.kind() == refused)
    }

    fn has_code(&self, expected: &str) -> bool {
        match self {
            Self::Refused { code, .. } => code == expected,
            other => other.code() == expected,
        }
    }
}

/// A link whose handshake is complete, with its connection.
#[derive(Debug)]
pub(super) struct EstablishedLink {
    pub(super) socket: TcpStream,
    /// Holds bytes that arrived right after the handshake.
    pub(super) reader: Reader,
    pub(super) link: Rc<Link>,
    /// Name and address of the entry processes listed in `Welcome`.
    pub(super) entries: Vec<(SmolStr, SmolStr)>,
}

/// Runs the accepting side of the handshake.
pub(super) async fn accept(
    manager: &LinkManager,
    mut socket: TcpStream,
) -> Result<EstablishedLink> {
    let deadline = Instant::now() + HANDSHAKE_TIMEOUT;
    let mut reader = Reader::default();
    let exchange = async {
        socket.set_nodelay(true).context(ConnectionSnafu)?;
        let body = read_frame(manager, &mut reader, &mut socket).await?;
        let Body::Hello(hello) = body else {
            return UnexpectedFrameSnafu { expected: "Hello" }.fail();
        };
        let peer = peer_from_hello(hello)?;
        ensure!(
            peer.instance != manager.identity.instance,
            SelfConnectionSnafu
        );
        let welcome = welcome_frame(manager);
        let link = manager.add(peer, Origin::Accepted).await;
        let link = link.context(DuplicateSnafu)?;
        manager.send(link.key, Body::Welcome(welcome));
        Ok(link)
    };
    match timeout_at(deadline, exchange)
        .await
        .unwrap_or(TimeoutSnafu.fail())
    {
        Ok(link) => Ok(EstablishedLink {
            socket,
            reader,
            link,
            entries: Vec::new(),
        }),
        Err(error) => {
            reject(manager, &mut socket, &error).await;
            Err(error)
        }
    }
}

/// Connects to `target` and runs the dialling side of the handshake.
pub(super) async fn dial(
    manager: &LinkManager,
    address: &SmolStr,
    target: SocketAddr,
) -> Result<EstablishedLink> {
    let deadline = Instant::now() + HANDSHAKE_TIMEOUT;
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
    let mut socket = connecting
        .unwrap_or_else(|_late| Err(std::io::ErrorKind::TimedOut.into()))
        .context(ConnectionSnafu)?;
    let mut reader = Reader::default();
    let exchange = async {
        socket.set_nodelay(true).context(ConnectionSnafu)?;
        let hello = Body::Hello(hello_frame(manager));
        let written = writer::write_frame(manager, &mut socket, hello).await;
        written.context(ConnectionSnafu)?;
        match read_frame(manager, &mut reader, &mut socket).await? {
            Body::Welcome(welcome) => {
                let (peer, entries) = peer_from_welcome(manager, address, welcome)?;
                let link = manager.add(peer, Origin::Dialled(address.clone())).await;
                Ok((link.context(DuplicateSnafu)?, entries))
            }
            Body::Reject(wire::Reject { code, text }) => RefusedSnafu { code, text }.fail(),
            _ => UnexpectedFrameSnafu {
                expected: "Welcome",
            }
            .fail(),
        }
    };
    match timeout_at(deadline, exchange)
        .await
        .unwrap_or(TimeoutSnafu.fail())
    {
        Ok((link, entries)) => Ok(EstablishedLink {
            socket,
            reader,
            link,
            entries,
        }),
        Err(error @ Error::Refused { .. }) => Err(error),
        Err(error) => {
            reject(manager, &mut socket, &error).await;
            Err(error)
        }
    }
}

async fn read_frame(
    manager: &LinkManager,
    reader: &mut Reader,
    socket: &mut TcpStream,
) -> Result<Body> {
    loop {
        if let Some(body) = reader.decode(&manager.metrics).context(ReadSnafu)? {
            return Ok(body);
        }
        reader.fill(socket).await.context(ReadSnafu)?;
    }
}

async fn reject(manager: &LinkManager, socket: &mut TcpStream, error: &Error) {
    let body = Body::Reject(wire::Reject {
        code: error.code().to_owned(),
        text: error.to_string(),
    });
    // The connection is closed in any case; the frame only tells the peer why.
    let _sent = timeout(REJECT_TIMEOUT, writer::write_frame(manager, socket, body)).await;
}

fn hello_frame(manager: &LinkManager) -> wire::Hello {
    let own = &manager.identity;
    wire::Hello {
        role: match own.role {
            Role::Entry => wire::Role::Entry.into(),
            Role::Agent => wire::Role::Agent.into(),
        },
        name: own.name.to_string(),
        zone: own.zone.to_string(),
        instance: own.instance.0,
        address: own.address.to_string(),
        slots: own.slots,
        config_version: 0,
    }
}

fn welcome_frame(manager: &LinkManager) -> wire::Welcome {
    let own = &manager.identity;
    let entries = manager.known_entries().into_iter();
    wire::Welcome {
        name: own.name.to_string(),
        zone: own.zone.to_string(),
        instance: own.instance.0,
        entries: entries
            .map(|(name, address)| wire::EntryAddress {
                name: name.into(),
                address: address.into(),
            })
            .collect(),
        config_version: 0,
    }
}

fn peer_from_hello(hello: wire::Hello) -> Result<PeerInfo> {
    let role = match wire::Role::try_from(hello.role) {
        Ok(wire::Role::Entry) => Role::Entry,
        Ok(wire::Role::Agent) => Role::Agent,
        _ => return InvalidFieldSnafu { field: "role" }.fail(),
    };
    if role == Role::Entry {
        let address = hello.address.parse::<SocketAddr>().ok();
        address.context(InvalidFieldSnafu { field: "address" })?;
    }
    Ok(PeerInfo {
        role,
        name: validate_name("name", &hello.name)?,
        zone: validate_name("zone", &hello.zone)?,
        instance: Instance(hello.instance),
        address: hello.address.into(),
        slots: hello.slots,
    })
}

/// The peer, and the name and address of the entry processes that it knows.
type PeerAndEntries = (PeerInfo, Vec<(SmolStr, SmolStr)>);

fn peer_from_welcome(
    manager: &LinkManager,
    address: &SmolStr,
    welcome: wire::Welcome,
) -> Result<PeerAndEntries> {
    ensure!(
        welcome.instance != manager.identity.instance.0,
        SelfConnectionSnafu
    );
    let peer = PeerInfo {
        role: Role::Entry,
        name: validate_name("name", &welcome.name)?,
        zone: validate_name("zone", &welcome.zone)?,
        instance: Instance(welcome.instance),
        address: address.clone(),
        slots: 0,
    };
    let entries = welcome.entries.into_iter();
    let entries = entries.map(|entry| (entry.name.into(), entry.address.into()));
    Ok((peer, entries.collect()))
}

fn validate_name(field: &'static str, text: &str) -> Result<SmolStr> {
    ensure!(
        (1..=MAX_NAME_BYTES).contains(&text.len()),
        InvalidFieldSnafu { field }
    );
    Ok(text.into())
}
