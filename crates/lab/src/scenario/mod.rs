//! Scenarios in a small test language: commands that act on a cluster, with expected output.
//!
//! | Command | Effect |
//! |---|---|
//! | `start [entries=3] [agents=3] [slots=8] [target=5s] [proxied=yes]` | starts a cluster with the class `console` |
//! | `load NAME jobs=N rate=R [tasks=A..B] [ms=A..B] [marked=yes] [cancelled=0.1]` | generates a load beside the next commands |
//! | `answered NAME N` | waits until N jobs of the load are answered |
//! | `settle NAME [allow=CODE,..]` | waits for all answers, checks them against the ledgers |
//! | `submit ID [tasks=N] [ms=N] [entry=NAME] [wait=T]` | submits a job and shows its state |
//! | `running ID [tasks=1]` | waits until so many tasks of the job have started |
//! | `answer ID [entry=NAME]` | waits for the answer of a job and shows it |
//! | `starts ID` | shows how many starts of the job the ledgers hold |
//! | `kill`, `pause`, `continue`, `terminate`, `restart NAME` | acts on a process |
//! | `ended NAME` | waits until a process has ended and shows how |
//! | `ready` | waits until all processes are ready and all shards are served |
//! | `cut NAME [forward=yes] [backward=yes]`, `repair`, `reset NAME`, `delay NAME T` | acts on a proxy |
//! | `store FIELD=VALUE ..`, `endpoint NAME FIELD=VALUE ..` | changes a stand-in |
//! | `elapse T` | lets time pass while a fault is in effect |

mod actions;
mod arguments;
mod jobs;
mod loads;
mod runner;

pub use runner::Scenario;
