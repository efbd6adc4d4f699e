# What nodes tell each other of requests that may crash backend servers.

@0xc8a1f0f6c1f3b57d;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuepond::wire");

struct LossId {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct SuspicionRecord {
  fingerprint @0 :UInt64;
  losses @1 :List(LossId);
  cleared @2 :List(LossId);
}

struct SuspicionNews {
  records @0 :List(SuspicionRecord);
}
