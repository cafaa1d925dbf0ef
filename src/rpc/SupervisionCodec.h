#pragma once

#include "pool/WorkerStatus.h"
#include "rpc/generated/banyanlock.capnp.h"

namespace banyanlock
{

/// Writes a call to an agent.
/// @param request The call.
/// @param builder Receives it.
void encode(const SuperviseRequest &request, wire::SuperviseRequest::Builder builder);

/// Reads a call to an agent.
/// @param reader What was received.
/// @return The call.
SuperviseRequest decode(wire::SuperviseRequest::Reader reader);

/// Writes a status.
/// @param status The status.
/// @param builder Receives it.
void encode(const WorkerStatus &status, wire::WorkerStatus::Builder builder);

/// Reads a status.
/// @param reader What was received.
/// @return The status.
WorkerStatus decode(wire::WorkerStatus::Reader reader);

} // namespace banyanlock
