//! `Hello` and `Welcome`.

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

use super::hub::Hub;
use super::live::{Live, Origin};
use super::reader::{self, Reader};
use super::writer;

/// Time for the whole hand-shake, connecting included.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);

/// Time for connecting. An opening packet to a host without power is lost, and the kernel repeats it
/// only after a second; a new attempt reaches a host that is back sooner.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Time in which a `Reject` must be written.
const REJECT_LIMIT: Duration = Duration::from_millis(500);

/// Longest name or zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Code of [`Error::Duplicate`].
const DUPLICATE: &str = "duplicate";

/// Code of [`Error::Own`].
const OWN: &str = "own";

/// Result of a hand-shake.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a hand-shake fails.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(super) enum Error {
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Connection { source: std::io::Error },
    /// The other side took too long.
    #[snafu(display("hand-shake not complete within {HANDSHAKE_LIMIT:?}"))]
    Late,
    /// The frame cannot be read.
    #[snafu(display("{source}"))]
    Read { source: reader::Error },
    /// The frame is not the expected one.
    #[snafu(display("expected {expected}"))]
    Unexpected { expected: &'static str },
    /// A field has a value that is not allowed.
    #[snafu(display("{field} is not allowed"))]
    Field { field: &'static str },
    /// The other side refused.
    #[snafu(display("refused by peer: {code}: {text}"))]
    Refused { code: String, text: String },
    /// An older link to the same process stays.
    #[snafu(display("there is a link to this process already"))]
    Duplicate,
    /// The other side is this process.
    #[snafu(display("the address leads to this process"))]
    Own,
}

impl Error {
    /// Stable code for the `Reject` frame.
    pub(super) fn code(&self) -> &'static str {
        match self {
            Self::Connection { .. } => "io",
            Self::Late => "late",
            Self::Read { source } => source.code(),
            Self::Unexpected { .. } => "unexpected",
            Self::Field { .. } => "bad_hello",
            Self::Refused { .. } => "refused",
            Self::Duplicate => DUPLICATE,
            Self::Own => OWN,
        }
    }

    /// Whether either side found that the two processes have a link already.
    pub(super) fn is_duplicate(&self) -> bool {
        self.found(DUPLICATE)
    }

    /// Whether either side found that both are this process.
    pub(super) fn is_own(&self) -> bool {
        self.found(OWN)
    }

    fn found(&self, wanted: &str) -> bool {
        match self {
            Self::Refused { code, .. } => code == wanted,
            other => other.code() == wanted,
        }
    }
}

/// A connection that has completed its hand-shake and was added to the hub.
#[derive(Debug)]
pub(super) struct Joined {
    pub(super) socket: TcpStream,
    pub(super) reader: Reader,
    pub(super) live: Rc<Live>,
    pub(super) entries: Vec<(SmolStr, SmolStr)>,
}

/// Runs the accepting side.
pub(super) async fn accept(hub: &Hub, mut socket: TcpStream) -> Result<Joined> {
    let deadline = Instant::now() + HANDSHAKE_LIMIT;
    let mut reader = Reader::default();
    let joining = async {
        socket.set_nodelay(true).context(ConnectionSnafu)?;
        let body = next(hub, &mut reader, &mut socket).await?;
        let Body::Hello(hello) = body else {
            return UnexpectedSnafu { expected: "Hello" }.fail();
        };
        let peer = introduced(hello)?;
        ensure!(peer.instance != hub.identity.instance, OwnSnafu);
        let welcome = welcome(hub);
        let live = hub.add(peer, Origin::Accepted).await;
        let live = live.context(DuplicateSnafu)?;
        hub.send(live.key, Body::Welcome(welcome));
        Ok(live)
    };
    match timeout_at(deadline, joining)
        .await
        .unwrap_or(LateSnafu.fail())
    {
        Ok(live) => Ok(Joined {
            socket,
            reader,
            live,
            entries: Vec::new(),
        }),
        Err(error) => {
            reject(hub, &mut socket, &error).await;
            Err(error)
        }
    }
}

/// Connects and runs the dialling side.
pub(super) async fn dial(hub: &Hub, address: &SmolStr, target: SocketAddr) -> Result<Joined> {
    let deadline = Instant::now() + HANDSHAKE_LIMIT;
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(target)).await;
    let mut socket = connecting
        .unwrap_or_else(|_late| Err(std::io::ErrorKind::TimedOut.into()))
        .context(ConnectionSnafu)?;
    let mut reader = Reader::default();
    let joining = async {
        socket.set_nodelay(true).context(ConnectionSnafu)?;
        let hello = Body::Hello(hello(hub));
        let written = writer::write_one(hub, &mut socket, hello).await;
        written.context(ConnectionSnafu)?;
        match next(hub, &mut reader, &mut socket).await? {
            Body::Welcome(welcome) => {
                let (peer, entries) = welcomed(hub, address, welcome)?;
                let live = hub.add(peer, Origin::Dialled(address.clone())).await;
                Ok((live.context(DuplicateSnafu)?, entries))
            }
            Body::Reject(wire::Reject { code, text }) => RefusedSnafu { code, text }.fail(),
            _ => UnexpectedSnafu {
                expected: "Welcome",
            }
            .fail(),
        }
    };
    match timeout_at(deadline, joining)
        .await
        .unwrap_or(LateSnafu.fail())
    {
        Ok((live, entries)) => Ok(Joined {
            socket,
            reader,
            live,
            entries,
        }),
        Err(error @ Error::Refused { .. }) => Err(error),
        Err(error) => {
            reject(hub, &mut socket, &error).await;
            Err(error)
        }
    }
}

async fn next(hub: &Hub, reader: &mut Reader, socket: &mut TcpStream) -> Result<Body> {
    loop {
        if let Some(body) = reader.decode(&hub.metrics).context(ReadSnafu)? {
            return Ok(body);
        }
        reader.fill(socket).await.context(ReadSnafu)?;
    }
}

async fn reject(hub: &Hub, socket: &mut TcpStream, error: &Error) {
    let body = Body::Reject(wire::Reject {
        code: error.code().to_owned(),
        text: error.to_string(),
    });
    // The connection is closed in any case; the frame only tells the other side why.
    let _sent = timeout(REJECT_LIMIT, writer::write_one(hub, socket, body)).await;
}

fn hello(hub: &Hub) -> wire::Hello {
    let own = &hub.identity;
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

fn welcome(hub: &Hub) -> wire::Welcome {
    let own = &hub.identity;
    let entries = hub.entries().into_iter();
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

fn introduced(hello: wire::Hello) -> Result<PeerInfo> {
    let role = match wire::Role::try_from(hello.role) {
        Ok(wire::Role::Entry) => Role::Entry,
        Ok(wire::Role::Agent) => Role::Agent,
        _ => return FieldSnafu { field: "role" }.fail(),
    };
    if role == Role::Entry {
        let address = hello.address.parse::<SocketAddr>().ok();
        address.context(FieldSnafu { field: "address" })?;
    }
    Ok(PeerInfo {
        role,
        name: checked("name", &hello.name)?,
        zone: checked("zone", &hello.zone)?,
        instance: Instance(hello.instance),
        address: hello.address.into(),
        slots: hello.slots,
    })
}

type Welcomed = (PeerInfo, Vec<(SmolStr, SmolStr)>);

fn welcomed(hub: &Hub, address: &SmolStr, welcome: wire::Welcome) -> Result<Welcomed> {
    ensure!(welcome.instance != hub.identity.instance.0, OwnSnafu);
    let peer = PeerInfo {
        role: Role::Entry,
        name: checked("name", &welcome.name)?,
        zone: checked("zone", &welcome.zone)?,
        instance: Instance(welcome.instance),
        address: address.clone(),
        slots: 0,
    };
    let entries = welcome.entries.into_iter();
    let entries = entries.map(|entry| (entry.name.into(), entry.address.into()));
    Ok((peer, entries.collect()))
}

fn checked(field: &'static str, text: &str) -> Result<SmolStr> {
    ensure!(
        (1..=MAX_NAME_BYTES).contains(&text.len()),
        FieldSnafu { field }
    );
    Ok(text.into())
}
