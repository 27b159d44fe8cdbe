//! The cases.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Setup;
use crate::fleet::Fleet;
use crate::json::Json;
use crate::machine::SIGTERM;

/// Pause after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(660);
/// How long a machine is away that loses its disk, as on the standard days of the site.
const DISK_LOSS_S: f64 = 1.3;
/// How long a stopped machine is away: as long as a killed store machine in the site's troubles.
const AWAY_S: f64 = 2.8;

pub fn run(case: &str, setup: Setup) -> io::Result<u8> {
    match case {
        "1" => planned_stop_and_disk_loss(setup),
        "3" => disk_loss_and_retirement(setup),
        // Not a case of its own, see the report.
        "given-up" => disk_loss_and_planned_stop(setup),
        _ => Err(io::Error::other("no such case")),
    }
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Whether a part of the disruption happens: with `ONLY=stop` or `ONLY=disk` the other one is left out.
fn has_part(part: &str) -> bool {
    std::env::var("ONLY").map_or(true, |only| only == part)
}

fn number(name: &str, default: f64) -> f64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A storage machine is stopped as planned while an empty one waits for a place, and another one loses its disk meanwhile.
fn planned_stop_and_disk_loss(setup: Setup) -> io::Result<u8> {
    let Setup { root, record, has_trouble } = setup;
    let mut fleet = Fleet::start(root, record.clone(), 4, 3)?;
    let is_up = fleet.wait_until(Duration::from_secs(20), "all edges are ready", |fleet| {
        fleet.members().is_some_and(|(_, members)| members.len() == 3) && fleet.are_edges_ready()
    });
    if !is_up {
        fleet.end();
        return Err(io::Error::other("the system did not start"));
    }
    fleet.add_storage("bhr-a")?;
    let threads = fleet.clients.start(24, 8);
    let traffic_from = record.seconds();
    sleep(number("BEFORE", 14.0));
    let (_, members) = fleet.members().unwrap_or_default();
    record.say(&format!("members {}", members.join(",")));
    let planned = fleet.storage(&members[0]).expect("a member");
    let wiped = fleet.storage(&members[1]).expect("a member");
    let trouble_at = record.seconds();
    if has_trouble {
        if has_part("stop") {
            planned.signal(&fleet.site, SIGTERM);
        }
        std::thread::scope(|scope| {
            scope.spawn(|| {
                let site = &fleet.site;
                if !has_part("stop") {
                    return;
                }
                planned.wait(site, Duration::from_secs(8));
                planned.kill(site);
                std::thread::sleep(RESTART);
                let _ = planned.start(site, false);
                record.say(&format!("{} is back", planned.name));
            });
            scope.spawn(|| {
                let site = &fleet.site;
                if !has_part("disk") {
                    return;
                }
                let has_moved = |fleet: &Fleet| {
                    fleet.members().is_some_and(|(_, members)| !members.contains(&planned.name))
                };
                fleet.wait_until(
                    Duration::from_secs(4),
                    "the store has acknowledged the new members",
                    has_moved,
                );
                sleep(number("DELAY", 0.03));
                wiped.kill(site);
                let _ = wiped.wipe(site);
                sleep(DISK_LOSS_S);
                let _ = wiped.start(site, false);
                record.say(&format!("{} is back", wiped.name));
            });
        });
    }
    let back_at = record.seconds();
    // The bounds of the pages: catchUpS for machines that are back, then recoverS.
    sleep(4.8 + 12.0);
    let from = record.seconds();
    sleep(12.0);
    let to = record.seconds();
    fleet.clients.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let before = fleet.clients.served_between(traffic_from + 2.0, trouble_at);
    let after = fleet.clients.served_between(from, to - 3.5);
    record.say(&format!("before: {} of {} requests served; back at {back_at:.1} s", before.1, before.0));
    record.say(&format!("from {from:.1} s on: {} of {} requests served", after.1, after.0));
    if let Some((epoch, members)) = fleet.members() {
        record.say(&format!("group of epoch {epoch}: {}", members.join(",")));
    }
    let words = [
        "group_changed",
        "group_adopted",
        "catch_up",
        "seat_",
        "\"start\"",
        "stop_begun",
        "journal_replayed",
    ];
    fleet.record_logs(&words);
    let broken = fleet.clients.broken.lock().unwrap().clone();
    for (rule, what) in broken.iter().take(5) {
        record.say(&format!("also {rule}: {what}"));
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        record.say(&format!("ended by themselves: {}", ended.join(",")));
    }
    fleet.end();
    if before.1 * 4 < before.0 {
        return Err(io::Error::other("too little was served before"));
    }
    let is_broken = after.1 * 4 < after.0;
    record.say(if is_broken { "RECOVER is broken" } else { "RECOVER held" });
    Ok(u8::from(is_broken))
}

/// A storage machine loses its disk; soon after its return another one is stopped as planned and is away for some seconds.
fn disk_loss_and_planned_stop(setup: Setup) -> io::Result<u8> {
    let Setup { root, record, has_trouble } = setup;
    let fleet = Fleet::start(root, record.clone(), 4, 3)?;
    let is_up = fleet.wait_until(Duration::from_secs(20), "all edges are ready", |fleet| {
        fleet.members().is_some_and(|(_, members)| members.len() == 3) && fleet.are_edges_ready()
    });
    if !is_up {
        fleet.end();
        return Err(io::Error::other("the system did not start"));
    }
    let threads = fleet.clients.start(16, 8);
    sleep(12.0);
    let (_, members) = fleet.members().unwrap_or_default();
    record.say(&format!("members {}", members.join(",")));
    let trouble_at = record.seconds();
    if has_trouble {
        let site = &fleet.site;
        let wiped = fleet.storage(&members[2]).expect("a member");
        let stopped = fleet.storage(&members[0]).expect("a member");
        if has_part("disk") {
            wiped.kill(site);
            wiped.wipe(site)?;
            sleep(DISK_LOSS_S);
            wiped.start(site, false)?;
            record.say(&format!("{} is back", wiped.name));
        }
        if has_part("stop") {
            sleep(number("DELAY", 0.9));
            stopped.signal(site, SIGTERM);
            stopped.wait(site, Duration::from_secs(8));
            sleep(AWAY_S);
            stopped.start(site, false)?;
            record.say(&format!("{} is back", stopped.name));
        }
    }
    // The bounds of the pages: catchUpS for machines that are back, then recoverS. The turns are kept for 60 s.
    sleep(4.8 + 12.0);
    let (all, found, unknown) = fleet.clients.go_on_from_all(trouble_at, 1500, 12);
    fleet.clients.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    record.say(&format!(
        "of {all} turns answered whole before the disk was lost, {found} could be gone on from, {unknown} got 404"
    ));
    if let Some((epoch, members)) = fleet.members() {
        record.say(&format!("group of epoch {epoch}: {}", members.join(",")));
    }
    let words = [
        "member_reread",
        "group_changed",
        "group_conflict",
        "group_adopted",
        "catch_up",
        "stop_begun",
        "journal_replayed",
    ];
    fleet.record_logs(&words);
    let broken = fleet.clients.broken.lock().unwrap().clone();
    for (rule, what) in broken.iter().take(5) {
        record.say(&format!("{rule}: {what}"));
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        record.say(&format!("ended by themselves: {}", ended.join(",")));
    }
    fleet.end();
    if found == 0 {
        return Err(io::Error::other("no turn could be gone on from"));
    }
    let is_broken = broken.iter().any(|(rule, _)| *rule == "LOST");
    record.say(if is_broken { "LOST is broken" } else { "LOST held" });
    Ok(u8::from(is_broken))
}

/// A storage machine loses its disk, and the operator has it emptied and takes it away.
fn disk_loss_and_retirement(setup: Setup) -> io::Result<u8> {
    let Setup { root, record, has_trouble } = setup;
    let fleet = Fleet::start(root, record.clone(), 4, 4)?;
    let is_up = fleet.wait_until(Duration::from_secs(20), "all edges are ready", |fleet| {
        fleet.members().is_some_and(|(_, members)| members.len() == 3) && fleet.are_edges_ready()
    });
    if !is_up {
        fleet.end();
        return Err(io::Error::other("the system did not start"));
    }
    let threads = fleet.clients.start(16, 8);
    sleep(12.0);
    let (_, members) = fleet.members().unwrap_or_default();
    record.say(&format!("members {}", members.join(",")));
    let trouble_at = record.seconds();
    let site = &fleet.site;
    let retired = fleet.storage(&members[number("RETIRED", 0.0) as usize]).expect("a member");
    if has_trouble && has_part("disk") {
        retired.kill(site);
        retired.wipe(site)?;
        sleep(DISK_LOSS_S);
        retired.start(site, false)?;
        record.say(&format!("{} is back", retired.name));
    }
    sleep(number("DELAY", 0.3));
    fleet.store.put("retirements", &retired.name, "{\"durationS\":8.8}");
    record.say(&format!("{} is to be emptied", retired.name));
    let is_emptied = fleet.wait_until(Duration::from_secs(20), "it is emptied", |fleet| {
        let status = fleet.store.status("retirements", &retired.name);
        status.as_ref().and_then(|status| status.get("state")).and_then(Json::text) == Some("completed")
    });
    if is_emptied {
        retired.kill(site);
        retired.wipe(site)?;
    }
    // The bounds of the pages: catchUpS for machines that are back, then recoverS. The turns are kept for 60 s.
    sleep(4.8 + 12.0);
    let (all, found, unknown) = fleet.clients.go_on_from_all(trouble_at, 1500, 12);
    fleet.clients.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    record.say(&format!(
        "of {all} turns answered whole before the disk was lost, {found} could be gone on from, {unknown} got 404"
    ));
    if let Some((epoch, members)) = fleet.members() {
        record.say(&format!("group of epoch {epoch}: {}", members.join(",")));
    }
    let words = [
        "member_reread",
        "group_changed",
        "group_conflict",
        "group_adopted",
        "catch_up",
        "retirement",
        "journal_replayed",
    ];
    fleet.record_logs(&words);
    let broken = fleet.clients.broken.lock().unwrap().clone();
    for (rule, what) in broken.iter().take(5) {
        record.say(&format!("{rule}: {what}"));
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        record.say(&format!("ended by themselves: {}", ended.join(",")));
    }
    fleet.end();
    if found == 0 {
        return Err(io::Error::other("no turn could be gone on from"));
    }
    let is_broken = broken.iter().any(|(rule, _)| *rule == "LOST");
    record.say(if is_broken { "LOST is broken" } else { "LOST held" });
    Ok(u8::from(is_broken))
}
