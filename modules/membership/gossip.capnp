# Messages of the gossip protocol between nodes, sent as bodies of requests and replies of the peer protocol.

@0xb94d2f0c6a1e7835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuepond::gossip");

# The record of one node; see core/values/member.h.
struct Member {
  name @0 :Text;
  startedAtMs @1 :UInt64;
  incarnationHigh @2 :UInt64;
  incarnationLow @3 :UInt64;
  sequence @4 :UInt64;
  state @5 :UInt8;
  service @6 :Text;
  zone @7 :Text;
  region @8 :Text;
  peerAddress @9 :Text;
  configurationVersion @10 :UInt64;
  isServing @11 :Bool;
  slots @12 :UInt32;
}

# Digest of the records of all members of a zone that are not dead.
struct ZoneDigest {
  zone @0 :Text;
  digest @1 :UInt64;
}

# Version of a record: the fields that decide which of two records of a node is the later one.
struct RecordHead {
  name @0 :Text;
  startedAtMs @1 :UInt64;
  sequence @2 :UInt64;
  state @3 :UInt8;
}

# Which fields are set depends on the kind, a GossipKind (servers/membership/gossip.h).
struct Request {
  kind @0 :UInt8;
  sender @1 :Member;
  records @2 :List(Member);
  address @3 :Text;
  digests @4 :List(ZoneDigest);
  wanted @5 :List(Text);
}

struct Reply {
  sender @0 :Member;
  records @1 :List(Member);
  reached @2 :Bool;  # Reply to an indirect probe: whether the probed member answered.
  heads @3 :List(RecordHead);
  differingZones @4 :List(Text);
}

# A record relayed to the members whose name hashes lie in a range; `passed` names those that have relayed it.
struct Broadcast {
  record @0 :Member;
  firstHash @1 :UInt64;
  lastHash @2 :UInt64;
  passed @3 :List(Text);
}
