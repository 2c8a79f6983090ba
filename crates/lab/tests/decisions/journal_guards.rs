//! Journal writes are conditional on the ownership of what they record.

use std::collections::BTreeSet;

use knapweedwall_core::store::{Condition, Write};
use knapweedwall_wire::{JournalBatch, OwnerRow, journal_record::Body};
use prost::Message;
use rstest::rstest;

use crate::driver::Driver;

/// Shards on whose rows a transaction is conditional.
fn guarded(conditions: &[Condition]) -> BTreeSet<u32> {
    let shard = |condition: &Condition| match condition {
        Condition::Version(key, _) => key.strip_prefix("owner/")?.parse().ok(),
        Condition::Absent(_) => None,
    };
    conditions.iter().filter_map(shard).collect()
}

/// Guards against a superseded owner that admits a job, or extends the list of agents that its
/// successor has already read.
#[rstest]
fn all_conditional() {
    let mut driver = Driver::new(3, 2);
    driver.submit(0, "job-1", &["10"]);
    driver.submit(0, "job-2", &["10"]);
    driver.run(500);
    driver.start_agent(2);
    driver.run(2_000);
    let mut owned = vec![BTreeSet::new(); 3];
    for shard in 0..16 {
        let row = driver
            .row(&format!("owner/{shard:06}"))
            .expect("an owner's row");
        let row = OwnerRow::decode(row.value.as_ref()).expect("an owner's row");
        let entry: usize = row.name["entry-".len()..].parse().expect("an index");
        owned[entry].insert(shard);
    }
    let (mut jobs, mut rosters) = (0, 0);
    for (entry, transaction) in &driver.writes {
        for write in &transaction.writes {
            let Write::Put(key, value) = write else {
                continue;
            };
            if !key.starts_with("journal/") {
                continue;
            }
            let guarded = guarded(&transaction.conditions);
            let batch = JournalBatch::decode(value.as_ref()).expect("a batch");
            for record in batch.records {
                match record.body {
                    Some(Body::Admit(_) | Body::End(_)) => {
                        assert!(guarded.contains(&record.shard));
                        jobs += 1;
                    }
                    Some(Body::RosterAdd(roster)) if roster.name == "agent-2" => {
                        assert_eq!(guarded, owned[*entry]);
                        rosters += 1;
                    }
                    _ => {}
                }
            }
        }
    }
    assert_eq!((jobs, rosters), (4, 3));
}
