#pragma once

#include "rpc/SupervisionCodec.h"
#include "rpc/WireCodec.h"

#include <capnp/message.h>

namespace banyanlock
{

/// @tparam Wire Cap'n Proto type of the message.
/// @param message A message.
/// @return The message as its receiver decodes it.
template <typename Wire, typename Message> Message receivedAs(const Message &message)
{
    capnp::MallocMessageBuilder builder;
    encode(message, builder.initRoot<Wire>());
    return decode(builder.getRoot<Wire>().asReader());
}

} // namespace banyanlock
