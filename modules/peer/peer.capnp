# The protocol between nodes.

@0xe1a5b3a0c7d94f12;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuepond::wire");

# Version of this protocol. Nodes of different versions refuse each other's calls.
const protocolVersion :UInt32 = 1;

struct Id {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  callId @0 :Id;
  rootId @1 :Id;
  attemptId @2 :Id;
  kind @3 :Text;
  rootKind @4 :Text;
  rank @5 :Int32;
  keptShare @6 :Float64;
  idempotent @7 :Bool;
  key @8 :Text;
  # Time left until the deadline: the clocks of two nodes have no common zero.
  remainingNs @9 :Int64;
  retryAllowance @10 :Int32;
  depth @11 :Int32;
  crashCount @12 :Int32;
  service @13 :Text;
  method @14 :Text;
  path @15 :Text;
  headers @16 :List(Header);
  body @17 :Data;
  bodyDigest @18 :UInt64;
}

struct Outcome {
  state @0 :UInt8;
  reason @1 :UInt8;
  detail @2 :Text;
  status @3 :Int32;
  headers @4 :List(Header);
  body @5 :Data;
  bodyDigest @6 :UInt64;
  unusedAllowance @7 :Int32;
  targetLimit @8 :Float64;
  targetInFlight @9 :Int32;
  pathLimit @10 :Float64;
}

interface Peer {
  # First request on each connection. The reply carries the callee's own version and name.
  hello @0 (version :UInt32, name :Text) -> (version :UInt32, name :Text);

  # Runs a call at the callee, which is its target. `attemptId` again lets a reply be matched to its request.
  call @1 (call :Call) -> (outcome :Outcome, attemptId :Id);

  # Asks what became of an attempt. One that the callee never saw is fenced: it will never run.
  settle @2 (attemptId :Id, waitNs :Int64) -> (status :UInt8, outcome :Outcome);

  # The caller no longer wants the outcome.
  cancel @3 (attemptId :Id);

  # A request of one of the topics of PeerTopic; the plug-in that owns the topic encodes the bodies.
  ask @4 (topic :UInt16, body :Data) -> (answered :Bool, body :Data);

  # Answered at once: shows that the connection is alive.
  ping @5 ();
}
