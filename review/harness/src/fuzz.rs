//! Random disruptions of storage machines and edges, with at most one disk lost.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Setup;
use crate::fleet::Fleet;
use crate::machine::{SIGCONT, SIGSTOP, SIGTERM};

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn seconds(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (self.next() as f64 / u64::MAX as f64)
    }
}

pub fn run(setup: Setup) -> io::Result<u8> {
    let Setup { root, record, .. } = setup;
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut random = Random(seed.wrapping_mul(7919));
    let mut fleet = Fleet::start(root, record.clone(), 3, 3)?;
    let is_up = fleet.wait_until(Duration::from_secs(20), "all edges are ready", |fleet| {
        fleet.members().is_some_and(|(_, members)| members.len() == 3) && fleet.are_edges_ready()
    });
    if !is_up {
        fleet.end();
        return Err(io::Error::other("the system did not start"));
    }
    let has_spare = random.below(3) == 0;
    if has_spare {
        fleet.add_storage("bhr-a")?;
    }
    let mut threads = fleet.clients.start(8, 8);
    threads.extend(fleet.clients.start_budget(6, 1000));
    std::thread::sleep(Duration::from_secs(7));
    let members = fleet.members().unwrap_or_default().1;
    record.say(&format!("seed {seed}, spare {has_spare}, members {}", members.join(",")));
    let count = fleet.storages.len();
    let wiped = random.below(3) as usize;
    let disk_loss_at = random.seconds(1.0, 16.0);
    // Each storage machine has a schedule of its own.
    let mut plans: Vec<Vec<(f64, u64, f64)>> = Vec::new();
    for index in 0..count {
        let mut plan = Vec::new();
        let mut at = random.seconds(0.0, 8.0);
        while at < 18.0 {
            let kind = random.below(5);
            let length = match kind {
                0 | 1 => random.seconds(0.3, 5.0),
                2 => random.seconds(0.3, 6.0),
                _ => random.seconds(0.3, 3.0),
            };
            if index == wiped && at < disk_loss_at && at + length > disk_loss_at {
                break;
            }
            plan.push((at, kind, length));
            at += length + random.seconds(1.0, 10.0);
        }
        if index == wiped {
            plan.retain(|(at, _, length)| at + length + 0.3 < disk_loss_at || *at > disk_loss_at + 2.0);
            plan.push((disk_loss_at, 9, random.seconds(0.5, 2.0)));
            plan.sort_by(|one, other| one.0.total_cmp(&other.0));
        }
        plans.push(plan);
    }
    let edge_kill = random.below(2) == 0;
    let started = record.seconds();
    let trouble = Arc::new(Mutex::new(()));
    std::thread::scope(|scope| {
        for (index, plan) in plans.into_iter().enumerate() {
            let (fleet, record, trouble) = (&fleet, &record, &trouble);
            scope.spawn(move || {
                let (machine, site) = (&fleet.storages[index], &fleet.site);
                for (at, kind, length) in plan {
                    let now = record.seconds() - started;
                    std::thread::sleep(Duration::from_secs_f64((at - now).max(0.0)));
                    let _ = trouble;
                    match kind {
                        0 | 1 => {
                            record.say(&format!("kill {} for {length:.1} s", machine.name));
                            machine.kill(site);
                            std::thread::sleep(Duration::from_secs_f64(length));
                            let _ = machine.start(site, false);
                        }
                        2 => {
                            machine.signal(site, SIGSTOP);
                            std::thread::sleep(Duration::from_secs_f64(length));
                            machine.signal(site, SIGCONT);
                        }
                        9 => {
                            machine.kill(site);
                            let _ = machine.wipe(site);
                            std::thread::sleep(Duration::from_secs_f64(length));
                            let _ = machine.start(site, false);
                        }
                        _ => {
                            machine.signal(site, SIGTERM);
                            machine.wait(site, Duration::from_secs(8));
                            machine.kill(site);
                            std::thread::sleep(Duration::from_secs_f64(length));
                            let _ = machine.start(site, false);
                        }
                    }
                    record.say(&format!("{} is back", machine.name));
                }
            });
        }
        if edge_kill {
            let (fleet, record) = (&fleet, &record);
            scope.spawn(move || {
                for edge in &fleet.edges {
                    std::thread::sleep(Duration::from_secs(4));
                    record.say(&format!("kill {}", edge.name));
                    edge.kill(&fleet.site);
                    std::thread::sleep(Duration::from_millis(300));
                    let _ = edge.start(&fleet.site, false);
                }
            });
        }
    });
    record.say("all are back");
    std::thread::sleep(Duration::from_secs_f64(4.8 + 12.0));
    let from = record.seconds();
    let (all, found, unknown) = fleet.clients.go_on_from_all(55.0, 400, 8);
    std::thread::sleep(Duration::from_secs(3));
    let to = record.seconds();
    fleet.clients.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let before = fleet.clients.served_between(2.0, started);
    let after = fleet.clients.served_between(from, to);
    record.say(&format!("before {before:?}, after {after:?}; went on from {all}: found {found}, unknown {unknown}"));
    if let Some((epoch, members)) = fleet.members() {
        record.say(&format!("group of epoch {epoch}: {}", members.join(",")));
    }
    let broken = fleet.clients.broken.lock().unwrap().clone();
    let mut counts = std::collections::BTreeMap::new();
    for (rule, what) in &broken {
        let entry: &mut (usize, String) = counts.entry(*rule).or_insert((0, what.clone()));
        entry.0 += 1;
    }
    for (rule, (count, first)) in &counts {
        record.say(&format!("BROKEN {rule} x{count}: {first}"));
    }
    if after.1 * 4 < after.0 {
        record.say("BROKEN RECOVER");
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        record.say(&format!("BROKEN ended by themselves: {}", ended.join(",")));
    }
    fleet.record_logs(&["group_changed", "group_adopted", "catch_up", "member_reread", "seat_", "\"start\"", "stop_begun", "journal_replayed", "failed"]);
    fleet.end();
    Ok(u8::from(!counts.is_empty() || after.1 * 4 < after.0))
}
