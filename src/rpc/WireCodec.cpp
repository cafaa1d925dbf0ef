#include "rpc/WireCodec.h"

#include "rpc/WireText.h"

namespace banyanlock
{
namespace
{

std::int64_t toMicroseconds(TimePoint point)
{
    return point.time_since_epoch().count();
}

TimePoint timeFromMicroseconds(std::int64_t microseconds)
{
    return TimePoint(Duration(microseconds));
}

void encodeId(AttemptId id, wire::AttemptId::Builder builder)
{
    builder.setEntryIncarnation(id.entryIncarnation);
    builder.setSequence(id.sequence);
}

AttemptId decodeId(wire::AttemptId::Reader reader)
{
    return {reader.getEntryIncarnation(), reader.getSequence()};
}

void encodeLoad(const AgentLoad &load, wire::AgentLoad::Builder builder)
{
    builder.setInUse(load.inUse);
    builder.setQueued(load.queued);
    builder.setClockMicroseconds(toMicroseconds(load.clock));
}

AgentLoad decodeLoad(wire::AgentLoad::Reader reader)
{
    return {reader.getInUse(), reader.getQueued(), timeFromMicroseconds(reader.getClockMicroseconds())};
}

kj::ArrayPtr<const kj::byte> bytesOf(const Body &body)
{
    if (!body) {
        return nullptr;
    }
    return kj::arrayPtr(reinterpret_cast<const kj::byte *>(body->data()), body->size());
}

Body bodyOf(capnp::Data::Reader data)
{
    return std::make_shared<const std::string>(reinterpret_cast<const char *>(data.begin()), data.size());
}

} // namespace

void encode(const AttemptMessage &message, wire::Attempt::Builder builder)
{
    encodeId(message.id, builder.initId());
    builder.setAgentIncarnation(message.agentIncarnation);
    builder.setStartByMicroseconds(toMicroseconds(message.startBy));
    builder.setTimeoutMicroseconds(message.timeout.count());
    builder.setIdempotent(message.idempotent);
    builder.setWorkspace(readerOf(message.workspace));
    builder.setService(readerOf(message.service));
    builder.setContentType(readerOf(message.contentType));
    builder.setBody(bytesOf(message.body));
}

AttemptMessage decode(wire::Attempt::Reader reader)
{
    AttemptMessage message;
    message.id = decodeId(reader.getId());
    message.agentIncarnation = reader.getAgentIncarnation();
    message.startBy = timeFromMicroseconds(reader.getStartByMicroseconds());
    message.timeout = Duration(reader.getTimeoutMicroseconds());
    message.idempotent = reader.getIdempotent();
    message.workspace = textOf(reader.getWorkspace());
    message.service = textOf(reader.getService());
    message.contentType = textOf(reader.getContentType());
    message.body = bodyOf(reader.getBody());
    return message;
}

void encode(const AttemptReply &reply, wire::Reply::Builder builder)
{
    encodeId(reply.id, builder.initId());
    builder.setAgentIncarnation(reply.agentIncarnation);
    builder.setCode(static_cast<std::uint16_t>(reply.code));
    builder.setStatus(static_cast<std::uint16_t>(reply.status));
    builder.setContentType(readerOf(reply.contentType));
    builder.setBody(bytesOf(reply.body));
    builder.setDeclaredBytes(reply.declaredBytes);
    encodeLoad(reply.load, builder.initLoad());
}

AttemptReply decode(wire::Reply::Reader reader)
{
    AttemptReply reply;
    reply.id = decodeId(reader.getId());
    reply.agentIncarnation = reader.getAgentIncarnation();
    reply.code = resultCodeFromNumber(reader.getCode());
    reply.status = reader.getStatus();
    reply.contentType = textOf(reader.getContentType());
    reply.body = bodyOf(reader.getBody());
    reply.declaredBytes = reader.getDeclaredBytes();
    reply.load = decodeLoad(reader.getLoad());
    return reply;
}

void encode(const Revocation &revocation, wire::Revocation::Builder builder)
{
    encodeId(revocation.id, builder.initId());
    builder.setAgentIncarnation(revocation.agentIncarnation);
    builder.setStartByMicroseconds(toMicroseconds(revocation.startBy));
}

Revocation decode(wire::Revocation::Reader reader)
{
    return {decodeId(reader.getId()), reader.getAgentIncarnation(), timeFromMicroseconds(reader.getStartByMicroseconds())};
}

void encode(const Announcement &announcement, wire::Announcement::Builder builder)
{
    builder.setAgent(readerOf(announcement.agent));
    builder.setIncarnation(announcement.incarnation);
    builder.setService(readerOf(announcement.service));
    builder.setAddress(readerOf(announcement.address));
    builder.setFailureDomain(readerOf(announcement.failureDomain));
    builder.setRegion(readerOf(announcement.region));
    builder.setSlots(announcement.slots);
    builder.setQueueSlots(announcement.queueSlots);
    encodeLoad(announcement.load, builder.initLoad());
    builder.setLeaving(announcement.leaving);
    builder.setHealthy(announcement.healthy);
}

Announcement decode(wire::Announcement::Reader reader)
{
    Announcement announcement;
    announcement.agent = textOf(reader.getAgent());
    announcement.incarnation = reader.getIncarnation();
    announcement.service = textOf(reader.getService());
    announcement.address = textOf(reader.getAddress());
    announcement.failureDomain = textOf(reader.getFailureDomain());
    announcement.region = textOf(reader.getRegion());
    announcement.slots = reader.getSlots();
    announcement.queueSlots = reader.getQueueSlots();
    announcement.load = decodeLoad(reader.getLoad());
    announcement.leaving = reader.getLeaving();
    announcement.healthy = reader.getHealthy();
    return announcement;
}

void encode(const PeerHeartbeat &heartbeat, wire::PeerHeartbeat::Builder builder)
{
    builder.setEntry(readerOf(heartbeat.entry));
    builder.setIncarnation(heartbeat.incarnation);
    builder.setFailureDomain(readerOf(heartbeat.failureDomain));
    builder.setRegion(readerOf(heartbeat.region));
    builder.setConfigurationVersion(heartbeat.configurationVersion);
    builder.setDraining(heartbeat.draining);
    builder.setStoreVersion(heartbeat.storeVersion);
}

PeerHeartbeat decode(wire::PeerHeartbeat::Reader reader)
{
    PeerHeartbeat heartbeat;
    heartbeat.entry = textOf(reader.getEntry());
    heartbeat.incarnation = reader.getIncarnation();
    heartbeat.failureDomain = textOf(reader.getFailureDomain());
    heartbeat.region = textOf(reader.getRegion());
    heartbeat.configurationVersion = reader.getConfigurationVersion();
    heartbeat.draining = reader.getDraining();
    heartbeat.storeVersion = reader.getStoreVersion();
    return heartbeat;
}

} // namespace banyanlock
