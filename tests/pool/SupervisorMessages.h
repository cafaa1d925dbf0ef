#pragma once

#include "pool/WorkerStatus.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// @param incarnation Incarnation of the worker.
/// @param service Service of the worker.
/// @param sequence Sequence number.
/// @return An announcement of a worker with eight accelerators.
inline WorkerAnnouncement makeAnnouncement(const WorkerIncarnation &incarnation, const std::string &service, std::uint64_t sequence)
{
    WorkerAnnouncement announcement;
    announcement.incarnation = incarnation;
    announcement.service = service;
    announcement.sequence = sequence;
    announcement.capacity = {1000, 1000, 8};
    return announcement;
}

/// @param run The run to start.
/// @param incarnation Incarnation of the worker that the start is for.
/// @param batch Number of the batch.
/// @param now Current time.
/// @return A call of the first owner that orders one start and renews nothing.
inline SuperviseRequest makeStartRequest(const RunName &run, const WorkerIncarnation &incarnation, std::uint64_t batch, TimePoint now)
{
    SuperviseRequest request;
    request.epoch = 1;
    request.validUntil = now + fromMilliseconds(1000);
    request.batch = batch;
    TaskOrder order;
    order.run = run;
    order.incarnation = incarnation;
    order.startBy = now + fromMilliseconds(1500);
    request.orders = {order};
    return request;
}

} // namespace banyanlock
