# Messages between nodes about requests suspected of crashing backend servers.

@0xc8a1f0f6c1f3b57d;

using Cxx = import "/capnp/c++.capnp";
using Wire = import "../peer/peer.capnp";
$Cxx.namespace("fescuepond::wire");

struct SuspicionRecord {
  fingerprint @0 :Wire.Id;
  # Losses of backend servers that were running the request.
  losses @1 :List(Wire.Id);
  # Losses that it did not cause.
  cleared @2 :List(Wire.Id);
}

struct SuspicionNews {
  records @0 :List(SuspicionRecord);
}
