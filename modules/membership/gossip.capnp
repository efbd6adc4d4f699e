# Messages of the gossip between nodes, as bodies of the peer protocol's requests.

@0xb94d2f0c6a1e7835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuepond::gossip");

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

struct ZoneDigest {
  zone @0 :Text;
  digest @1 :UInt64;
}

struct RecordHead {
  name @0 :Text;
  startedAtMs @1 :UInt64;
  sequence @2 :UInt64;
  state @3 :UInt8;
}

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
  reached @2 :Bool;
  heads @3 :List(RecordHead);
  differingZones @4 :List(Text);
}

struct Broadcast {
  record @0 :Member;
  firstHash @1 :UInt64;
  lastHash @2 :UInt64;
  passed @3 :List(Text);
}
