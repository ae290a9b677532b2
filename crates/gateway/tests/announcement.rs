//! The size of announcements: in a fleet of 90 hosts, each host sends its own to the 89 others.
//!
//! Guards against new fields or a wordier encoding that make one exceed a packet.

use std::{collections::BTreeMap, time::Instant};

use wasabi_belief::{
    announcement::{Addition, Announcement, DemandByService},
    facts::Facts,
    link, origins,
};
use wasabi_core::units::{
    Epoch, Era, HostId, Incarnation, PoolId, RequestRate, Revision, ServerId,
};
use wasabi_gateway::share::{
    echo::HEADER_BYTES,
    envelope::FORWARDING_BYTES,
    facts::{self, MAX_ANNOUNCED_LIMITS, MAX_ANNOUNCED_STREAMS},
    gossip::MAX_ANNOUNCED_LEAVING,
};
use wasabi_policy::{
    fair_share,
    load_report::LoadReport,
    overload,
    quarantine::{self, BrokenRun, Feature},
    stated_limits,
};

/// The largest UDP payload that fits one Ethernet frame.
const PACKET_BYTES: usize = 1_472;
/// Servers on which a busy host has requests.
const SERVERS: u64 = 50;
/// Servers on which it has placed a request since the last announcement.
const PLACED: u64 = 6;

/// The evidence of one announcement after many runs of long prompts have broken off.
fn facts_of_many_crashes() -> Facts {
    let now = Instant::now();
    let mut view = quarantine::View::new(0.0);
    let service: PoolId = "huda81a".parse().expect("a name");
    for number in 0..64 {
        let features = (0..40).map(|part| Feature::part(&service, number * 100 + part)).collect();
        let server = format!("i-{number:010x}").parse().expect("a name");
        view.record_broken(BrokenRun {
            id: u64::MAX - number,
            service: service.clone(),
            server,
            sent: now,
            ended: now,
            features,
            controlled: false,
        });
    }
    let evidence = view.next_evidence(now);
    assert!(!evidence.runs.is_empty());
    Facts { evidence, ..Facts::default() }
}

/// What a host announces of one service at most.
fn largest_demand() -> overload::Report {
    let workspaces = vec![(u32::MAX, 1_000_000, 1_000_000); fair_share::MAX_ANNOUNCED_WORKSPACES];
    let shares =
        fair_share::Report { short: Some(3), total_ms: (8_000_000, 8_000_000), workspaces };
    let returns = vec![(u32::MAX, 1_000, true); overload::MAX_ANNOUNCED_RETURNS];
    overload::Report { shares: Some(shares), returns }
}

/// Builds before the demand read all that precedes it and nothing else, and their datagrams are read
/// as without demand.
#[test]
fn older_builds_leave_the_demand_unread() {
    let demand: DemandByService = vec![("s".parse().expect("a name"), largest_demand())];
    let (facts, link) = (Facts::default(), link::Report::default());
    let newer = postcard::to_allocvec(&(&facts, &link, &demand)).expect("it can be encoded");
    let older = postcard::to_allocvec(&(&facts, &link)).expect("it can be encoded");
    // As 3efafaf reads what follows the addition.
    let (_, rest): (Facts, &[u8]) = postcard::take_from_bytes(&newer).expect("it can be decoded");
    assert_eq!(postcard::from_bytes::<link::Report>(rest), Ok(link));
    assert_eq!(facts::decode(&newer), (facts.clone(), Some(link), demand));
    assert_eq!(facts::decode(&older), (facts, Some(link), Vec::new()));
}

#[test]
fn an_announcement_of_a_busy_host_fits_one_packet() {
    let shares = (0..SERVERS).map(|number| {
        let id: ServerId = format!("i-{number:010x}").parse().expect("a name");
        let mut share =
            LoadReport { running: 3, light: 1, tokens: 20_000 + number, ..LoadReport::default() };
        if number < PLACED {
            share.added_ms = BTreeMap::from([(4, 71.25)]);
            share.parts = vec![(u64::MAX - number, 3_800)];
        }
        (id, share)
    });
    let host: HostId = "front-tn-north-a-17".parse().expect("a name");
    let announcement = Announcement {
        incarnation: Incarnation::fresh(&host),
        host,
        domain: "tn-north-a".parse().expect("a name"),
        leaving: false,
        wall_ms: 1_796_351_968_201,
        truth_ms: (1_796_351_968_201, 40_000),
        catalog: Some((Revision(1_000_000), 300)),
        members: Some((u64::MAX, 300)),
        fence: None,
        shares: Some(vec![("huda81a".parse().expect("a name"), shares.collect())]),
        counts: None,
    };
    let leaving = (0..MAX_ANNOUNCED_LEAVING as u64)
        .map(|number| (format!("i-{number:010x}").parse().expect("a name"), 1_796_351_968_201));
    let addition = Addition {
        leaving_servers: leaving.collect(),
        era: Some((Era(1_000), 40_000_000, true)),
        highest_fence: Epoch(1_000_000),
    };
    let datagram = postcard::to_allocvec(&(&announcement, &addition, Facts::default()));
    let length = HEADER_BYTES + FORWARDING_BYTES + datagram.expect("it can be encoded").len();
    assert!(length <= PACKET_BYTES, "{length} bytes");
    let limits = (0..MAX_ANNOUNCED_LIMITS as u64).map(|number| stated_limits::Report {
        server: format!("i-{number:010x}").parse().expect("a name"),
        born_ms: 1_796_351_968_201,
        rate: RequestRate::new(3.5),
        age_ms: 40_000,
    });
    let facts = Facts { limits: limits.collect(), ..Facts::default() };
    let proofs = Announcement { shares: None, ..announcement.clone() };
    let datagram = postcard::to_allocvec(&(&proofs, &addition, &facts));
    let datagram = datagram.expect("it can be encoded");
    let length = HEADER_BYTES + FORWARDING_BYTES + datagram.len();
    assert!(length <= PACKET_BYTES, "{length} bytes");
    let (service, build) =
        ("huda81a".parse().expect("a name"), "v1.10.2".parse().expect("a version"));
    let streams = vec![[u8::MAX; 8]; MAX_ANNOUNCED_STREAMS];
    let group = origins::Group { origin: origins::Origin { service, build }, streams };
    let facts = Facts { origins: vec![group], ..Facts::default() };
    let datagram = postcard::to_allocvec(&(&proofs, &addition, &facts));
    let length = HEADER_BYTES + FORWARDING_BYTES + datagram.expect("it can be encoded").len();
    assert!(length <= PACKET_BYTES, "{length} bytes");
    for part in facts::split(facts_of_many_crashes()) {
        let datagram = postcard::to_allocvec(&(&proofs, &addition, &part));
        let datagram = datagram.expect("it can be encoded");
        let length = HEADER_BYTES + FORWARDING_BYTES + datagram.len();
        assert!(length <= PACKET_BYTES, "{length} bytes");
        let (_, rest): ((Announcement, Addition), &[u8]) =
            postcard::take_from_bytes(&datagram).expect("it can be decoded");
        assert_eq!(facts::decode(rest).0, part);
    }
    let demand: DemandByService = vec![("huda81a".parse().expect("a name"), largest_demand())];
    let parts = (&proofs, &addition, Facts::default(), link::Report::default(), &demand);
    let datagram = postcard::to_allocvec(&parts).expect("it can be encoded");
    let length = HEADER_BYTES + FORWARDING_BYTES + datagram.len();
    assert!(length <= PACKET_BYTES, "{length} bytes");
    let bytes = postcard::to_allocvec(&announcement).expect("it can be encoded");
    assert_eq!(
        postcard::from_bytes::<Announcement>(&bytes).expect("it can be decoded"),
        announcement
    );
    let json = serde_json::to_vec(&announcement).expect("it can be encoded");
    assert!(
        json.len() > 2 * bytes.len(),
        "{} bytes in JSON: the reason for the binary encoding is gone",
        json.len()
    );
}
