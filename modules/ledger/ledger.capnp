# Messages of the ledger between nodes: bodies of the topics KeyedCall and KeyRecords.

@0xd39a14c7be5f8061;

using Cxx = import "/capnp/c++.capnp";
using Wire = import "../peer/peer.capnp";
$Cxx.namespace("fescuepond::wire");

# A call for the home of its key.
struct KeyedCall {
  # No home: the callee takes the call as its entry node would.
  home @0 :Wire.Id;
  serial @1 :UInt64;
  call @2 :Wire.Call;
}

struct KeyedReply {
  union {
    outcome @0 :Wire.Outcome;
    # The callee is not the home and knows no other.
    notHome @1 :Void;
    # The home has handed over to the node at this address.
    movedTo @2 :Text;
  }
}

struct KeyRecord {
  serial @0 :UInt64;
  fingerprint @1 :Wire.Id;
  outcome @2 :Wire.Outcome;
}

struct KeyRecords {
  home @0 :Wire.Id;
  union {
    # A part of the home's records. Nothing runs from them until the commit.
    part @1 :List(KeyRecord);
    commit :group {
      watermark @2 :UInt64;
      nextSerial @3 :UInt64;
      # Records in all parts together.
      recordCount @4 :UInt64;
    }
    # The home has handed over to the node at this address.
    movedTo @5 :Text;
    # Asks where the home's records are now.
    locate @6 :Void;
  }
}

struct KeyRecordsReply {
  accepted @0 :Bool;
  # Answer to `locate`; empty when it is not known.
  address @1 :Text;
}
