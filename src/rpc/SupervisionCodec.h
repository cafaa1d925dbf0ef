#pragma once

#include "pool/WorkerStatus.h"
#include "rpc/generated/banyanlock.capnp.h"

namespace banyanlock
{

/// Encodes a supervision request to an agent.
/// @param request The request.
/// @param builder Message to fill.
void encode(const SuperviseRequest &request, wire::SuperviseRequest::Builder builder);

/// Decodes a supervision request to an agent.
/// @param reader Received message.
/// @return The request.
SuperviseRequest decode(wire::SuperviseRequest::Reader reader);

/// Encodes a worker's status.
/// @param status The status.
/// @param builder Message to fill.
void encode(const WorkerStatus &status, wire::WorkerStatus::Builder builder);

/// Decodes a worker's status.
/// @param reader Received message.
/// @return The status.
WorkerStatus decode(wire::WorkerStatus::Reader reader);

} // namespace banyanlock
