//! Agent process beside an endpoint: starts tasks and remembers what started
