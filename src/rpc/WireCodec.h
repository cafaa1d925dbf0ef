#pragma once

#include "dispatch/Announcement.h"
#include "dispatch/AttemptReply.h"
#include "dispatch/PeerHeartbeat.h"
#include "dispatch/Revocation.h"
#include "rpc/generated/banyanlock.capnp.h"

namespace banyanlock
{

/// Encodes an attempt.
/// @param message The attempt.
/// @param builder Message to fill.
void encode(const AttemptMessage &message, wire::Attempt::Builder builder);

/// Decodes an attempt.
/// @param reader Received message.
/// @return The attempt.
AttemptMessage decode(wire::Attempt::Reader reader);

/// Encodes a reply.
/// @param reply The reply.
/// @param builder Message to fill.
void encode(const AttemptReply &reply, wire::Reply::Builder builder);

/// Decodes a reply.
/// @param reader Received message.
/// @return The reply.
AttemptReply decode(wire::Reply::Reader reader);

/// Encodes a revocation.
/// @param revocation The revocation.
/// @param builder Message to fill.
void encode(const Revocation &revocation, wire::Revocation::Builder builder);

/// Decodes a revocation.
/// @param reader Received message.
/// @return The revocation.
Revocation decode(wire::Revocation::Reader reader);

/// Encodes an announcement.
/// @param announcement The announcement.
/// @param builder Message to fill.
void encode(const Announcement &announcement, wire::Announcement::Builder builder);

/// Decodes an announcement.
/// @param reader Received message.
/// @return The announcement.
Announcement decode(wire::Announcement::Reader reader);

/// Encodes a peer's heartbeat.
/// @param heartbeat The heartbeat.
/// @param builder Message to fill.
void encode(const PeerHeartbeat &heartbeat, wire::PeerHeartbeat::Builder builder);

/// Decodes a peer's heartbeat.
/// @param reader Received message.
/// @return The heartbeat.
PeerHeartbeat decode(wire::PeerHeartbeat::Reader reader);

} // namespace banyanlock
