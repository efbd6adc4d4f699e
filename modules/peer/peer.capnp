# The RPC protocol between nodes.

@0xe1a5b3a0c7d94f12;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuepond::wire");

# Version of this protocol. Nodes with different versions reject each other's calls.
const protocolVersion :UInt32 = 2;

struct Id {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# The clocks of two nodes have different origins, so a deadline is sent in several forms. The callee uses the earlier of
# the remaining time, counted from the arrival of the message, and the deadline on its own clock. The first is too late
# by the transmission delay of this message. The second is never too late: the caller computes it from readings of the
# callee's clock, which hello and ping return. Callers that don't know the callee's clock send 0 there; the callee then
# relates the deadline on the sender's clock to its own by the arrival of hello, and is too late by the delay of hello.
struct Deadline {
  remainingNs @0 :Int64;
  senderClockNs @1 :Int64;
  calleeClockNs @2 :Int64;
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
  goalNs @22 :Int64;  # Remaining time until the latency objective when the call was sent; negative if missed.
  notice @23 :Notice;  # The latest notice of the target's backend server that the caller knows.
  bodySource @24 :BodySource;  # Set if the body isn't part of the message; `body` is empty then.
  bodySize @25 :UInt64;  # In bytes, if bodySource is set.
}

# A body that its receiver reads in pieces once it has room for it. `count` bytes at most are returned; fewer only at the
# end of the body or if the sender chooses smaller pieces, but at least one before the end.
interface BodySource {
  read @0 (offset :UInt64, count :UInt32) -> (bytes :Data);
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
  pathLimit @10 :Float64;  # CallOutcome::pathHeadroom.
  retryAfterMs @11 :Int64;
  backendWasReached @12 :Bool;
  notice @13 :Notice;
  bodySource @14 :BodySource;  # As in Call.
  bodySize @15 :UInt64;
}

# What a backend server says of itself in its answers: the calls a second that it takes from all nodes together (0: no
# limit), and the name and start time of its instance if that is about to leave.
struct Notice {
  rate @0 :Float64;
  leavingInstance @1 :Text;
  leavingStartedAtMs @2 :UInt64;
}

interface Peer {
  # First request on each connection, with the caller's clock. The reply carries the callee's version, name, clock, and
  # incarnation, which identifies one run of its process. A clock of 0 is unknown.
  # `fetchesBodies`: the node reads bodies that aren't part of a message; without it, all are.
  hello @0 (version :UInt32, name :Text, clockNs :Int64, fetchesBodies :Bool)
      -> (version :UInt32, name :Text, incarnation :Id, clockNs :Int64, fetchesBodies :Bool);

  # Runs a call at the callee, which is its target. The reply repeats `attemptId` to be matched to its request.
  call @1 (call :Call) -> (outcome :Outcome, attemptId :Id);

  # Queries the status of an attempt and waits up to `waitNs` for a running one to finish. An attempt that the callee
  # has not received is fenced: it will be rejected if it arrives later. The outcome is set if the attempt is finished.
  settle @2 (attemptId :Id, deadline :Deadline, waitNs :Int64) -> (status :UInt8, outcome :Outcome);

  # Cancels an attempt. It will never run if it has not been passed to the backend server yet.
  cancel @3 (attemptId :Id, deadline :Deadline);

  # A request on one of the topics of PeerTopic. The bodies are encoded by the plug-in that owns the topic.
  # Bodies of forwarded calls may be fetched, as in Call.
  ask @4 (topic :UInt16, body :Data, bodySource :BodySource, bodySize :UInt64, bodyDigest :UInt64)
      -> (answered :Bool, body :Data, bodySource :BodySource, bodySize :UInt64, bodyDigest :UInt64);

  # Health check of the connection, answered at once with the callee's clock.
  ping @5 () -> (clockNs :Int64);
}
