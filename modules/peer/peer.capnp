# The protocol between nodes.

@0xe1a5b3a0c7d94f12;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuepond::wire");

# Version of this protocol. Nodes of different versions refuse each other's calls.
const protocolVersion :UInt32 = 2;

struct Id {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# Clocks of two nodes have no common zero, so a deadline is given twice; the callee takes the earlier one. The time
# that was left when it was sent is too late by the message's way; the sender's clock, which hello related to the
# callee's, is too late by the way of that hello, however long this message was held up.
struct Deadline {
  remainingNs @0 :Int64;
  senderClockNs @1 :Int64;
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
  deadline @9 :Deadline;
  retryAllowance @10 :Int32;
  depth @11 :Int32;
  crashCount @12 :Int32;
  service @13 :Text;
  method @14 :Text;
  path @15 :Text;
  headers @16 :List(Header);
  body @17 :Data;
  bodyDigest @18 :UInt64;
  host @19 :Text;
  callerAttempt @20 :Text;
  callerService @21 :Text;
  goalNs @22 :Int64;  # Time that was left to the response-time goal; negative when it has passed.
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
  retryAfterMs @11 :Int64;
  backendWasReached @12 :Bool;
}

interface Peer {
  # First request on each connection, with the caller's clock. The reply carries the callee's own version and name, and
  # an identifier of this life of its process.
  hello @0 (version :UInt32, name :Text, clockNs :Int64) -> (version :UInt32, name :Text, incarnation :Id);

  # Runs a call at the callee, which is its target. `attemptId` again lets a reply be matched to its request.
  call @1 (call :Call) -> (outcome :Outcome, attemptId :Id);

  # Asks what became of an attempt; waits for at most `waitNs` while it runs. One that the callee never saw is fenced:
  # it will never run. The outcome is set when the attempt is finished.
  settle @2 (attemptId :Id, deadline :Deadline, waitNs :Int64) -> (status :UInt8, outcome :Outcome);

  # The caller no longer wants the outcome. An attempt that the backend server doesn't have yet will never run.
  cancel @3 (attemptId :Id, deadline :Deadline);

  # A request of one of the topics of PeerTopic; the plug-in that owns the topic encodes the bodies.
  ask @4 (topic :UInt16, body :Data) -> (answered :Bool, body :Data);

  # Answered at once: shows that the connection is alive.
  ping @5 ();
}
