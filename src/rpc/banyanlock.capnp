@0xd1a5c9a1c8e0b7f3;
# RPC protocols: entry to agent, agent to entry, entry to entry, and a pool's owner to the agents of its workers.

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
  # Offers an attempt; the reply is sent when the attempt has ended.
  forward @0 (attempt :Attempt) -> (reply :Reply);
  # Asks the agent to guarantee that an attempt never starts. The state is a RevocationState.
  revoke @1 (revocation :Revocation) -> (state :UInt8);
}

interface EntryRpc {
  # Announces a backend server; repeated periodically as a heartbeat.
  announce @0 (announcement :Announcement) -> ();
  # Reports to a peer that this entry is alive, and which versions of the configuration and the table service it has read.
  heartbeat @1 (peer :PeerHeartbeat) -> (peer :PeerHeartbeat);
}

struct WorkerLife {
  worker @0 :Text;
  bornUnixMilliseconds @1 :Int64;
}

struct RunName {
  job @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
  run @4 :UInt32;
}

struct TaskOrder {
  # A TaskOrderKind.
  kind @0 :UInt8;
  run @1 :RunName;
  life @2 :WorkerLife;
  payload @3 :Text;
  checkpoint @4 :Text;
  startByMicroseconds @5 :Int64;
}

struct SuperviseRequest {
  epoch @0 :UInt64;
  renews @1 :Bool;
  validUntilMicroseconds @2 :Int64;
  batch @3 :UInt64;
  orders @4 :List(TaskOrder);
  acknowledgedLife @5 :WorkerLife;
  acknowledgedEnd @6 :UInt64;
  knownIncarnation @7 :UInt64;
  knownStatus @8 :UInt64;
  waitMicroseconds @9 :Int64;
  workerFence @10 :UInt64;
  services @11 :List(Text);
}

struct RunReport {
  run @0 :RunName;
  starting @1 :Bool;
  checkpoint @2 :Text;
  percent @3 :UInt8;
}

struct RunEnd {
  number @0 :UInt64;
  run @1 :RunName;
  # A RunEnding.
  ending @2 :UInt8;
  checkpoint @3 :Text;
}

struct RunRefusal {
  run @0 :RunName;
  reason @1 :Text;
}

struct WorkerStatus {
  agentIncarnation @0 :UInt64;
  number @1 :UInt64;
  clockMicroseconds @2 :Int64;
  unixMilliseconds @3 :Int64;
  highestEpoch @4 :UInt64;
  ordersSeen @5 :UInt64;
  listed @6 :Bool;
  answering @7 :Bool;
  lapsed @8 :Bool;
  leaving @9 :Bool;
  life @10 :WorkerLife;
  service @11 :Text;
  failureDomain @12 :Text;
  processors @13 :Int64;
  memory @14 :Int64;
  accelerators @15 :Int64;
  labels @16 :List(Text);
  draining @17 :Bool;
  leavesAfterMicroseconds @18 :Int64;
  runs @19 :List(RunReport);
  ends @20 :List(RunEnd);
  refusals @21 :List(RunRefusal);
  refusing @22 :Bool;
  listedEpoch @23 :UInt64;
  unfenced @24 :Bool;
  workerFence @25 :UInt64;
  endsTruncated @26 :Bool;
  listsAgeMicroseconds @27 :Int64;
}

interface SupervisorRpc {
  # Renews the leases, acknowledges run ends and sends orders. Long poll: the status is returned as soon as it is newer than the
  # known one, at the latest after the wait.
  supervise @0 (request :SuperviseRequest) -> (status :WorkerStatus);
}
