@0xd1a5c9a1c8e0b7f3;
# Protocols between entries and agents, and between entries.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("banyanlock::wire");

struct AttemptId {
  entryIncarnation @0 :UInt64;
  sequence @1 :UInt64;
}

struct AgentLoad {
  inUse @0 :UInt16;
  queued @1 :UInt16;
  clockMicroseconds @2 :Int64;
}

struct Attempt {
  id @0 :AttemptId;
  agentIncarnation @1 :UInt64;
  startByMicroseconds @2 :Int64;
  timeoutMicroseconds @3 :Int64;
  idempotent @4 :Bool;
  workspace @5 :Text;
  service @6 :Text;
  contentType @7 :Text;
  body @8 :Data;
}

struct Reply {
  id @0 :AttemptId;
  agentIncarnation @1 :UInt64;
  code @2 :UInt16;
  status @3 :UInt16;
  contentType @4 :Text;
  body @5 :Data;
  declaredBytes @6 :UInt64;
  load @7 :AgentLoad;
}

struct Revocation {
  id @0 :AttemptId;
  agentIncarnation @1 :UInt64;
  startByMicroseconds @2 :Int64;
}

struct Announcement {
  agent @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  address @3 :Text;
  failureDomain @4 :Text;
  region @5 :Text;
  slots @6 :UInt16;
  queueSlots @7 :UInt16;
  load @8 :AgentLoad;
  leaving @9 :Bool;
  healthy @10 :Bool;
}

struct PeerHeartbeat {
  entry @0 :Text;
  incarnation @1 :UInt64;
  failureDomain @2 :Text;
  region @3 :Text;
  configurationVersion @4 :UInt64;
  draining @5 :Bool;
  storeVersion @6 :UInt64;
}

interface AgentRpc {
  # Offers an attempt; the reply comes when the attempt has ended.
  forward @0 (attempt :Attempt) -> (reply :Reply);
  # Asks for the promise that an attempt never starts. The state is a RevocationState.
  revoke @1 (revocation :Revocation) -> (state :UInt8);
}

interface EntryRpc {
  # Announces a backend server; repeated as a heartbeat.
  announce @0 (announcement :Announcement) -> ();
  # Tells a peer that this entry lives, and what configuration it has.
  heartbeat @1 (peer :PeerHeartbeat) -> (peer :PeerHeartbeat);
}
