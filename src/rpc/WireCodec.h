#pragma once

#include "dispatch/Announcement.h"
#include "dispatch/AttemptReply.h"
#include "dispatch/PeerHeartbeat.h"
#include "dispatch/Revocation.h"
#include "rpc/generated/banyanlock.capnp.h"

namespace banyanlock
{

/// Writes an attempt.
/// @param message The attempt.
/// @param builder Receives it.
void encode(const AttemptMessage &message, wire::Attempt::Builder builder);

/// Reads an attempt.
/// @param reader What was received.
/// @return The attempt.
AttemptMessage decode(wire::Attempt::Reader reader);

/// Writes a reply.
/// @param reply The reply.
/// @param builder Receives it.
void encode(const AttemptReply &reply, wire::Reply::Builder builder);

/// Reads a reply.
/// @param reader What was received.
/// @return The reply.
AttemptReply decode(wire::Reply::Reader reader);

/// Writes a revocation.
/// @param revocation The revocation.
/// @param builder Receives it.
void encode(const Revocation &revocation, wire::Revocation::Builder builder);

/// Reads a revocation.
/// @param reader What was received.
/// @return The revocation.
Revocation decode(wire::Revocation::Reader reader);

/// Writes an announcement.
/// @param announcement The announcement.
/// @param builder Receives it.
void encode(const Announcement &announcement, wire::Announcement::Builder builder);

/// Reads an announcement.
/// @param reader What was received.
/// @return The announcement.
Announcement decode(wire::Announcement::Reader reader);

/// Writes a peer's heartbeat.
/// @param heartbeat The heartbeat.
/// @param builder Receives it.
void encode(const PeerHeartbeat &heartbeat, wire::PeerHeartbeat::Builder builder);

/// Reads a peer's heartbeat.
/// @param reader What was received.
/// @return The heartbeat.
PeerHeartbeat decode(wire::PeerHeartbeat::Reader reader);

} // namespace banyanlock
