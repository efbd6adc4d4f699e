# Messages between nodes about the keys of calls that run at most once: bodies of the topics KeyedCall and KeyRecords.
# `home` is the incarnation of the node that owns a key.

@0xd39a14c7be5f8061;

using Cxx = import "/capnp/c++.capnp";
using Wire = import "../peer/peer.capnp";
$Cxx.namespace("fescuepond::wire");

# A call forwarded to the owner of its key.
struct KeyedCall {
  # If it is none, the receiving node submits the call as its entry node.
  home @0 :Wire.Id;
  serial @1 :UInt64;
  call @2 :Wire.Call;
}

struct KeyedReply {
  union {
    outcome @0 :Wire.Outcome;
    # The receiving node does not hold the owner's ledger and does not know which node does.
    notHome @1 :Void;
    # The owner's ledger was transferred to the node at this address.
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
    # A batch of the owner's records. They are not used before the commit.
    part @1 :List(KeyRecord);
    commit :group {
      watermark @2 :UInt64;
      nextSerial @3 :UInt64;
      # Total number of records in all batches.
      recordCount @4 :UInt64;
    }
    # The owner's ledger was transferred to the node at this address.
    movedTo @5 :Text;
    # Asks which node holds the owner's ledger now.
    locate @6 :Void;
  }
}

struct KeyRecordsReply {
  accepted @0 :Bool;
  # Reply to `locate`: the peer address of that node; empty if unknown.
  address @1 :Text;
}
