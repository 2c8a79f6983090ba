//! The platform inside the test's own process.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use knapweedwall_core::store::{Failure, Outcome, Request};
use knapweedwall_platform::{CallFuture, Platform};
use smol_str::ToSmolStr;

use super::Engine;

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The platform declines the request: nothing is applied, and the caller knows it.
    Declined,
    /// The request is lost: nothing is applied, and the caller does not know it.
    RequestLost,
    /// The reply is lost: the request is applied, and the caller does not know it.
    ReplyLost,
}

/// A [`Platform`] without I/O; every call ends at once.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    engine: Mutex<Engine>,
    faults: Mutex<VecDeque<Fault>>,
}

impl MemoryPlatform {
    /// Plans `fault` for one call, after those planned before.
    pub fn plan(&self, fault: Fault) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.push_back(fault);
    }

    /// Carries out one call.
    fn answer(&self, request: Request) -> Outcome {
        let fault = {
            let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
            faults.pop_front()
        };
        match fault {
            Some(Fault::Declined) => return Err(Failure::NotApplied("planned fault".into())),
            Some(Fault::RequestLost) => return Err(Failure::Unknown("planned fault".into())),
            Some(Fault::ReplyLost) | None => {}
        }
        let mut engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        let reply = engine.apply(request);
        if fault == Some(Fault::ReplyLost) {
            return Err(Failure::Unknown("planned fault".into()));
        }
        reply.map_err(|e| Failure::NotApplied(e.to_smolstr()))
    }
}

impl Platform for MemoryPlatform {
    fn call(&self, request: Request) -> CallFuture<'_> {
        Box::pin(async move { self.answer(request) })
    }
}
